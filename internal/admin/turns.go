package admin

import (
	"context"
	"sync"
)

// mostActs bounds the actions at once, with those that outlast their calls.
const mostActs = 64

// Turns has actions on one thing follow each other: the later yes is to the action that came later. Servers with the
// same control share one. The zero value is ready.
type Serializer struct {
	mu    sync.Mutex
	acts  int
	lines map[string]*line // by thing
}

// line is who acts on a thing, and who waits to.
type line struct {
	turn  chan struct{} // of one, held by who acts
	users int
}

// do acts in turn, and not beyond the context's end, when it gives TimeoutError. Otherwise the turn lasts until the caller
// releases it, behind the answer; of an action that goes on beyond its time, until that ends.
func (t *Serializer) do(ctx context.Context, key string, act func() error) (release func(), err error) {
	end, ok := t.take(ctx, key)
	if !ok {
		return func() {}, ErrTimeout
	}
	done := make(chan error, 1)
	go func() { done <- act() }()
	select {
	case err := <-done:
		return end, err
	case <-ctx.Done():
		go func() {
			<-done
			end()
		}()
		return func() {}, ErrTimeout
	}
}

// take waits for a turn.
func (t *Serializer) take(ctx context.Context, key string) (release func(), ok bool) {
	t.mu.Lock()
	if t.acts >= mostActs {
		t.mu.Unlock()
		return nil, false
	}
	t.acts++
	x := t.lines[key]
	if x == nil {
		if t.lines == nil {
			t.lines = map[string]*line{}
		}
		x = &line{turn: make(chan struct{}, 1)}
		t.lines[key] = x
	}
	x.users++
	t.mu.Unlock()
	leave := func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.acts--
		if x.users--; x.users == 0 {
			delete(t.lines, key)
		}
	}
	select {
	case x.turn <- struct{}{}:
		return func() { <-x.turn; leave() }, true
	case <-ctx.Done():
		leave()
		return nil, false
	}
}
