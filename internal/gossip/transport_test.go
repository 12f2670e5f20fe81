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

const eventuallyTimeout = 20 * time.Second

func testKey(b byte) []byte { return bytes.Repeat([]byte{b}, keyBytes) }

func newTestSealer(t *testing.T, fleet string, keys ...[]byte) *sealer {
	t.Helper()
	s, err := newSealer(fleet, keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSeal checks that a sealer opens only unchanged, complete messages of its own fleet that another sealer sealed with a
// shared key.
func TestSeal(t *testing.T) {
	text := []byte("\x01some words")
	a, b := newTestSealer(t, "f", testKey(1)), newTestSealer(t, "f", testKey(1))
	sealed := a.seal(text)
	if got, err := b.open(sealed); err != nil || !bytes.Equal(got, text) {
		t.Fatalf("%q, %v", got, err)
	}
	if len(sealed) > len(text)+membership.SealOverhead || bytes.Contains(sealed, text[1:]) {
		t.Errorf("%d bytes sealed from a message of %d, or the message is readable", len(sealed), len(text))
	}
	if bytes.Equal(sealed, a.seal(text)) {
		t.Error("the same message is sealed identically twice")
	}
	for i := range sealed {
		if _, err := b.open(sealed[:i]); err == nil {
			t.Errorf("truncated to %d bytes, it is opened", i)
		}
		for bit := range 8 {
			bad := bytes.Clone(sealed)
			bad[i] ^= 1 << bit
			if _, err := b.open(bad); err == nil {
				t.Errorf("with bit %d of byte %d flipped, it is opened", bit, i)
			}
		}
	}
	for name, s := range map[string]*sealer{"another key": newTestSealer(t, "f", testKey(2)), "another fleet": newTestSealer(t, "g", testKey(1)), "no key": newTestSealer(t, "f"), "the sender": a} {
		if _, err := s.open(sealed); !errors.Is(err, errNotSealed) {
			t.Errorf("%s opens it: %v", name, err)
		}
	}
	if _, err := b.open(text); !errors.Is(err, errNotSealed) {
		t.Errorf("an unsealed message is accepted: %v", err)
	}
}

// TestKeysReplaced rotates the key in the documented order, one gateway after the other: add the new key, make it the first,
// remove the old one. After each step, both gateways must be able to open each other's messages.
func TestKeysReplaced(t *testing.T) {
	a, b := newTestSealer(t, "f", testKey(1)), newTestSealer(t, "f", testKey(1))
	for _, step := range []struct {
		target *sealer
		keys   Keys
	}{{a, Keys{testKey(1), testKey(2)}}, {b, Keys{testKey(1), testKey(2)}}, {a, Keys{testKey(2), testKey(1)}}, {b, Keys{testKey(2), testKey(1)}}, {a, Keys{testKey(2)}}, {b, Keys{testKey(2)}}} {
		if err := step.target.replace(step.keys); err != nil {
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
	validKey := strings.Repeat("0aF1", 16)
	for text, want := range map[string]int{validKey: 1, "# old\n" + validKey + "  # in use\n\n" + validKey + "\n": 2, "": 0, validKey[1:]: 0, validKey + "\n" + validKey + "\n" + validKey: 0, "password": 0} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if len(keys) != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d keys, %v", text, len(keys), err)
		}
		if err != nil && strings.Contains(err.Error(), "password") {
			t.Errorf("the error contains the key: %v", err)
		}
	}
}

func newTestTransport(t *testing.T, name string, keys Keys, join ...string) *Transport {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	transport, err := Listen(Options{Listen: l.Addr().String(), Keys: keys, Counters: &metrics.Counters{},
		Members: membership.Options{Fleet: "f", Name: name, Addr: l.Addr().String(), Join: join, Seed: uint64(len(name)) + uint64(name[0])}})
	if err != nil {
		t.Fatal(err)
	}
	return transport
}

func runTransport(t *testing.T, transport *Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in %v", what, eventuallyTimeout)
		}
	}
}

func memberStates(t *testing.T, transport *Transport) map[string]string {
	t.Helper()
	v, err := transport.View(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s := map[string]string{}
	for _, m := range v.Members {
		s[m.Name] = m.State
	}
	return s
}

// TestSockets starts two gateways, which must find each other, and a third with another key, which must not be accepted. Then
// one drains and leaves. Malformed datagrams and a stream of excessive length arrive before that.
func TestSockets(t *testing.T) {
	a := newTestTransport(t, "a", Keys{testKey(1)})
	b := newTestTransport(t, "bb", Keys{testKey(1)}, a.Addr().String())
	c := newTestTransport(t, "ccc", Keys{testKey(9)}, a.Addr().String())
	sizes := make(chan int, 64)
	a.options.OnSizeChange = func(n int, _ float64) { sizes <- n }
	for _, transport := range []*Transport{a, b, c} {
		runTransport(t, transport)
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
	stream.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if n, err := stream.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a stream that announces 2 GiB is not closed: %v", err)
	}
	eventually(t, "a and b meet", func() bool { return memberStates(t, a)["bb"] == "alive" && memberStates(t, b)["a"] == "alive" })
	eventually(t, "what does not open is counted", func() bool { return a.options.Counters.Get("peers_unopened") > 0 })
	eventually(t, "a counts on two", func() bool { return <-sizes == 2 })
	if s := memberStates(t, a); len(s) != 1 {
		t.Errorf("a has the members %v, want b only", s)
	}
	if s := memberStates(t, c); len(s) != 0 {
		t.Errorf("the gateway with another key has the members %v, want none", s)
	}
	b.Drain()
	eventually(t, "a hears that b drains", func() bool { return memberStates(t, a)["bb"] == "draining" })
	b.Leave()
	eventually(t, "a hears that b left", func() bool { return memberStates(t, a)["bb"] == "left" })
}

// TestFullMailbox delivers messages while the actor does not run: deliver must not block, and drops what does not fit.
func TestFullMailbox(t *testing.T) {
	transport := newTestTransport(t, "a", nil)
	defer transport.udp.Close()
	defer transport.tcp.Close()
	b, err := membership.Encode(membership.Message{Kind: membership.Ping, Fleet: "f", From: membership.MemberState{Incarnation: 1, Name: "x", Addr: "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	for range mailboxSize + 10 {
		transport.deliver(b, false)
	}
	transport.deliver(b, true)     // a ping must not come over a stream
	transport.deliver(b[:9], true) // a truncated message
	if dropped, malformed := transport.options.Counters.Get("peers_mail_dropped"), transport.options.Counters.Get("peers_malformed"); dropped != 10 || malformed != 2 {
		t.Errorf("%d dropped, %d malformed", dropped, malformed)
	}
}

// TestPeerKeysAreCached opens messages of many starts: the cache of their keys must stay within its bound, and a message with
// another shared key must not add to it.
func TestPeerKeysAreCached(t *testing.T) {
	s, stranger := newTestSealer(t, "f", testKey(1)), newTestSealer(t, "f", testKey(2))
	for range maxPeerKeys + 10 {
		if _, err := s.open(newTestSealer(t, "f", testKey(1)).seal([]byte("\x01x"))); err != nil {
			t.Fatal(err)
		}
	}
	cached := len(s.keys.Load().peerKeys)
	if _, err := s.open(stranger.seal([]byte("\x01x"))); err == nil || cached == 0 || cached > maxPeerKeys || len(s.keys.Load().peerKeys) != cached {
		t.Errorf("%d keys cached, then %d after a message with another shared key: %v", cached, len(s.keys.Load().peerKeys), err)
	}
}

// BenchmarkOpen measures opening a message whose sender's key is cached.
func BenchmarkOpen(b *testing.B) {
	text := bytes.Repeat([]byte{1}, 300)
	from, err := newSealer("f", Keys{testKey(1)})
	if err != nil {
		b.Fatal(err)
	}
	to, err := newSealer("f", Keys{testKey(1)})
	if err != nil {
		b.Fatal(err)
	}
	sealed := from.seal(text)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := to.open(sealed); err != nil {
			b.Fatal(err)
		}
	}
}
