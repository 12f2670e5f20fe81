package gossip

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranegate/internal/membership"
	"cranegate/internal/metrics"
)

const patience = 20 * time.Second

func key(b byte) []byte { return bytes.Repeat([]byte{b}, keyBytes) }

func seals(t *testing.T, fleet string, keys ...[]byte) *sealer {
	t.Helper()
	s, err := newSealer(fleet, keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSeal holds what is opened against what may be: nothing but the words of the same fleet, unchanged and whole, sealed with
// a key that both know.
func TestSeal(t *testing.T) {
	text := []byte("\x01some words")
	a, b := seals(t, "f", key(1)), seals(t, "f", key(1))
	whole := a.seal(text)
	if got, err := b.open(whole); err != nil || !bytes.Equal(got, text) {
		t.Fatalf("%q, %v", got, err)
	}
	if len(whole) > len(text)+membership.SealOverhead || bytes.Contains(whole, text[1:]) {
		t.Errorf("%d bytes for %d, or in the clear", len(whole), len(text))
	}
	if bytes.Equal(whole, a.seal(text)) {
		t.Error("the same words are sealed alike")
	}
	for i := range whole {
		if _, err := b.open(whole[:i]); err == nil {
			t.Errorf("cut at byte %d it opens", i)
		}
		for bit := range 8 {
			bad := bytes.Clone(whole)
			bad[i] ^= 1 << bit
			if _, err := b.open(bad); err == nil {
				t.Errorf("with bit %d of byte %d flipped it opens", bit, i)
			}
		}
	}
	for name, s := range map[string]*sealer{"another key": seals(t, "f", key(2)), "another fleet": seals(t, "g", key(1)), "no key": seals(t, "f"), "the sender": a} {
		if _, err := s.open(whole); !errors.Is(err, errNotSealed) {
			t.Errorf("%s opens it: %v", name, err)
		}
	}
	if _, err := b.open(text); !errors.Is(err, errNotSealed) {
		t.Errorf("what is not sealed is taken: %v", err)
	}
}

// TestKeysReplaced replaces the key as the operators' page says, one member after the other: all understand each other all along.
func TestKeysReplaced(t *testing.T) {
	a, b := seals(t, "f", key(1)), seals(t, "f", key(1))
	for _, step := range []struct {
		of   *sealer
		keys Keys
	}{{a, Keys{key(1), key(2)}}, {b, Keys{key(1), key(2)}}, {a, Keys{key(2), key(1)}}, {b, Keys{key(2), key(1)}}, {a, Keys{key(2)}}, {b, Keys{key(2)}}} {
		if err := step.of.replace(step.keys); err != nil {
			t.Fatal(err)
		}
		for _, pair := range [][2]*sealer{{a, b}, {b, a}} {
			if _, err := pair[1].open(pair[0].seal([]byte("\x01x"))); err != nil {
				t.Errorf("keys %x: %v", step.keys, err)
			}
		}
	}
}

func TestReadKeys(t *testing.T) {
	good := strings.Repeat("0aF1", 16)
	for text, want := range map[string]int{good: 1, "# old\n" + good + "  # in use\n\n" + good + "\n": 2, "": 0, good[1:]: 0, good + "\n" + good + "\n" + good: 0, "password": 0} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if len(keys) != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d keys, %v", text, len(keys), err)
		}
		if err != nil && strings.Contains(err.Error(), "password") {
			t.Errorf("the fault shows the key: %v", err)
		}
	}
}

func listen(t *testing.T, name string, keys Keys, join ...string) *Transport {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p, err := Listen(Options{Listen: l.Addr().String(), Keys: keys, Counters: &metrics.Counters{},
		Members: membership.Options{Fleet: "f", Name: name, Addr: l.Addr().String(), Join: join, Seed: uint64(len(name)) + uint64(name[0])}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func run(t *testing.T, p *Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in %v", what, patience)
		}
	}
}

func states(t *testing.T, p *Transport) map[string]string {
	t.Helper()
	v, err := p.View(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s := map[string]string{}
	for _, m := range v.Members {
		s[m.Name] = m.State
	}
	return s
}

// TestSockets has two gateways meet, one with another key try in vain, and one leave. Meanwhile somebody sends what is no
// message.
func TestSockets(t *testing.T) {
	a := listen(t, "a", Keys{key(1)})
	b := listen(t, "bb", Keys{key(1)}, a.Addr().String())
	c := listen(t, "ccc", Keys{key(9)}, a.Addr().String())
	counted := make(chan int, 64)
	a.options.OnSizeChange = func(n int, _ float64) { counted <- n }
	for _, p := range []*Transport{a, b, c} {
		run(t, p)
	}
	for range 100 {
		conn, err := net.Dial("udp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(bytes.Repeat([]byte{2}, 1500))
		conn.Close()
	}
	stream, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	stream.Write(binary.BigEndian.AppendUint32(nil, 1<<31))
	stream.SetReadDeadline(time.Now().Add(patience))
	if n, err := stream.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a stream of 2 GiB is waited for: %v", err)
	}
	eventually(t, "a and b meet", func() bool { return states(t, a)["bb"] == "alive" && states(t, b)["a"] == "alive" })
	eventually(t, "what does not open is counted", func() bool { return a.options.Counters.Get("peers_unopened") > 0 })
	eventually(t, "a counts on two", func() bool { return <-counted == 2 })
	if s := states(t, a); len(s) != 1 {
		t.Errorf("a knows %v", s)
	}
	if s := states(t, c); len(s) != 0 {
		t.Errorf("the one with another key knows %v", s)
	}
	b.Drain()
	eventually(t, "a hears that b drains", func() bool { return states(t, a)["bb"] == "draining" })
	b.Leave()
	eventually(t, "a hears that b left", func() bool { return states(t, a)["bb"] == "left" })
}

// TestFullMailbox hands messages to an actor that does not run: nobody waits for it.
func TestFullMailbox(t *testing.T) {
	p := listen(t, "a", nil)
	defer p.udp.Close()
	defer p.tcp.Close()
	b, err := membership.Encode(membership.Message{Kind: membership.Ping, Fleet: "f", From: membership.MemberState{Incarnation: 1, Name: "x", Addr: "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	for range mailboxSize + 10 {
		p.deliver(b, false)
	}
	p.deliver(b, true)     // a ping does not come by a stream
	p.deliver(b[:9], true) // and half a message not at all
	if full, bad := p.options.Counters.Get("peers_mail_dropped"), p.options.Counters.Get("peers_malformed"); full != 10 || bad != 2 {
		t.Errorf("%d dropped, %d malformed", full, bad)
	}
}

// TestPeerKeysAreCached opens the words of many starts: their keys are kept in bounded room, and those of strangers not at all.
func TestPeerKeysAreCached(t *testing.T) {
	s, stranger := seals(t, "f", key(1)), seals(t, "f", key(2))
	for range maxPeerKeys + 10 {
		if _, err := s.open(seals(t, "f", key(1)).seal([]byte("\x01x"))); err != nil {
			t.Fatal(err)
		}
	}
	kept := len(s.keys.Load().peerKeys)
	if _, err := s.open(stranger.seal([]byte("\x01x"))); err == nil || kept == 0 || kept > maxPeerKeys || len(s.keys.Load().peerKeys) != kept {
		t.Errorf("%d keys kept, then %d: %v", kept, len(s.keys.Load().peerKeys), err)
	}
}

// BenchmarkOpen opens a message of a known start.
func BenchmarkOpen(b *testing.B) {
	text := bytes.Repeat([]byte{1}, 300)
	from, err := newSealer("f", Keys{key(1)})
	if err != nil {
		b.Fatal(err)
	}
	to, err := newSealer("f", Keys{key(1)})
	if err != nil {
		b.Fatal(err)
	}
	whole := from.seal(text)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := to.open(whole); err != nil {
			b.Fatal(err)
		}
	}
}
