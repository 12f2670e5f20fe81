package statemachine

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// drawn is a command that keeps the bounds, from small sets of clients, names and holders so that they meet.
func drawn(t *rapid.T, index uint64) Command {
	if rapid.IntRange(0, 3).Draw(t, "renew") == 0 {
		c := Command{Op: Renew}
		for range rapid.IntRange(0, 3).Draw(t, "acks") {
			a := Ack{Holder: rapid.Uint64Range(1, 3).Draw(t, "h"), Round: rapid.Uint64Range(1, 40).Draw(t, "round"), Acked: rapid.Uint64Range(0, index).Draw(t, "acked")}
			if rapid.IntRange(0, 4).Draw(t, "ended") == 0 {
				c.Ended = append(c.Ended, a)
			} else {
				c.Acks = append(c.Acks, a)
			}
		}
		return c
	}
	c := Command{Key: Key{rapid.Uint64Range(1, 4).Draw(t, "client"), rapid.Uint64Range(1, 12).Draw(t, "seq")}, Born: rapid.Uint64Range(0, index).Draw(t, "born"),
		Op: Op(rapid.IntRange(int(Set), int(Remove)).Draw(t, "op")), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
		Value: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "value"), Expect: rapid.Uint64Range(0, 6).Draw(t, "expect"), Any: rapid.Bool().Draw(t, "any")}
	c.Done = rapid.Uint64Range(0, c.Key.Seq-1).Draw(t, "done")
	return c
}

// TestState holds in every state: a snapshot is the state; a key is applied once and answered alike; what is in force follows the
// rule of narrowings; the size is the sum.
func TestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, served := New(), map[Key]Result{}
		for i := uint64(1); i < 60; i++ {
			c := drawn(t, i)
			text, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			snap, err := s.Encode()
			if err != nil {
				t.Fatal(err)
			}
			other, err := Restore(snap)
			if err != nil {
				t.Fatal(err)
			}
			before, _, _ := s.Get(c.Name)
			k, r, ok := s.Apply(i, text)
			other.Apply(i, text)
			a, _ := s.Encode()
			if b, _ := other.Encode(); !bytes.Equal(a, b) {
				t.Fatal("a snapshot is another state")
			}
			if ok && r.Code != Open && r.Code != Released && r.Code != Expired {
				if old, ok := served[k]; ok && old != r {
					t.Fatalf("%v: %v, then %v", k, old, r)
				} else if after, _, _ := s.Get(c.Name); ok && after.Version != before.Version {
					t.Fatalf("%v was applied twice", k)
				}
				served[k] = r
			}
			size := 0
			for _, p := range s.regs {
				size += p.bytes()
				if p.Next != nil && !s.Waits(p.Next.Index) {
					t.Fatal("a widening waits for nothing")
				}
			}
			for _, n := range s.narrows {
				done := true
				for _, h := range s.holders {
					done = done && h.Acked >= n.Index
				}
				if done {
					t.Fatal("a narrowing that everybody knows is under way")
				}
			}
			if size != s.size {
				t.Fatalf("size %d, summed %d", s.size, size)
			}
		}
	})
}

// TestBounds fills everything to its bound: a snapshot and an aggregate stay within theirs.
func TestBounds(t *testing.T) {
	s := New()
	var i uint64
	apply := func(c Command) Result {
		i++
		text, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		_, r, _ := s.Apply(i, text)
		return r
	}
	last := ^uint64(0)
	name := func(n int) string {
		return string(bytes.Repeat([]byte{'x'}, 110)) + string(rune('0'+n/64)) + string(rune('0'+n%64))
	}
	full := 0
	for n := range MaxClients * Window {
		r := apply(Command{Key: Key{last - uint64(n/Window), last - uint64(n%Window)}, Op: Set, Name: name(n), Value: make([]byte, 60), Any: true})
		if r.Code == Full {
			full++
		}
	}
	if r := apply(Command{Key: Key{1, 1}, Op: Set, Name: "one more", Any: true}); r.Code != Open {
		t.Error(r)
	}
	for h := 0; h < MaxHolders; h += MaxAcks {
		c := Command{Op: Renew}
		for k := range MaxAcks {
			c.Acks = append(c.Acks, Ack{last - uint64(h+k), last, 0})
		}
		apply(c)
	}
	b, err := s.Encode()
	if err != nil || full == 0 || len(s.holders) != MaxHolders {
		t.Error(err, full, len(s.holders))
	}
	t.Logf("%d bytes with %d registers, %d clients, %d holders", len(b), len(s.regs), len(s.clients), len(s.holders))
	c := Command{Op: Renew}
	for k := range MaxAcks {
		c.Acks = append(c.Acks, Ack{last - uint64(k), last, last})
	}
	if b, err := c.Encode(); err != nil {
		t.Error(err)
	} else {
		t.Logf("an aggregate of %d acknowledgements has %d bytes", MaxAcks, len(b))
	}
}

// TestExpiry: who asks again after its results were dropped is refused, however late.
func TestExpiry(t *testing.T) {
	s := New()
	c := Command{Key: Key{1, 1}, Op: Set, Name: "a", Any: true}
	text, _ := c.Encode()
	s.Apply(1, text)
	for i := uint64(2); i < 3*Expiry; i++ {
		if i%512 == 0 {
			s.expire()
		}
		var next []byte
		if i%1001 == 0 {
			next = text
		}
		if _, r, ok := s.Apply(i, next); ok && r.Code != Expired && (r.Code != OK || r.Index != 1) {
			t.Fatalf("at %d: %v", i, r)
		}
	}
	if r, _, _ := s.Get("a"); r.Version != 1 {
		t.Error(r)
	}
}
