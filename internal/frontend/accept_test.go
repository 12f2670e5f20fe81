package frontend_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/pgwire"
)

// busy is a listener whose accepts, once held, are held up until it is being closed, as those of a process are that has
// not run for a while.
type busy struct {
	*net.TCPListener
	held  chan struct{} // closed to hold
	ends  chan struct{} // closed as it is being closed
	once  sync.Once
	looks chan struct{} // holds one: an accept has been held up
}

func (b *busy) end() {
	select {
	case <-b.held:
		b.once.Do(func() { close(b.ends) })
	default:
	}
}

func (b *busy) Accept() (net.Conn, error) {
	c, err := b.TCPListener.Accept()
	select {
	case <-b.held:
		select {
		case b.looks <- struct{}{}:
		default:
		}
		<-b.ends
	default:
	}
	return c, err
}

func (b *busy) SetDeadline(t time.Time) error { b.end(); return b.TCPListener.SetDeadline(t) }
func (b *busy) Close() error                  { err := b.TCPListener.Close(); b.end(); return err }

// greeting is a startup with a first request right behind.
func greeting(id string) []byte {
	return append(pgwire.AppendStartup(nil, "svc", "main"), pgQuery(fmt.Sprintf(look, id))...)
}

// TestBacklogIsTakenBeforeTheClose: clients that wait in the listener's backlog as it is closed have a connection, and have
// asked; all of them are served.
func TestBacklogIsTakenBeforeTheClose(t *testing.T) {
	rig := newRig(false, &fake.Host{Primary: true})
	defer rig.close()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &busy{TCPListener: tcp.(*net.TCPListener), held: make(chan struct{}), ends: make(chan struct{}), looks: make(chan struct{}, 1)}
	s := &frontend.Server{Name: "backlog", Protocol: postgres.Protocol{}, Core: rig.core, Limiter: connlimit.New(50),
		Budget: framebuf.NewBudget(rigBudget), Counters: &metrics.Counters{}}
	stopped, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(stopped, l) }()
	close(l.held)
	var conns []net.Conn
	for i := range 5 { // the first keeps the accept
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(greeting(fmt.Sprint("b", i)))
		conns = append(conns, c)
	}
	<-l.looks
	stop()
	for i, c := range conns {
		text, err := io.ReadAll(c)
		if want := fmt.Sprint("value of b", i); err != nil || !bytes.Contains(text, []byte(want)) {
			t.Errorf("client %d has %q, %v", i, text, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the listener is open still")
	}
}

// TestAllAreTurnedAwayWithAWord has more clients come at once than are told side by side, none of which closes. Each is told,
// and none is cut off by what it has sent.
func TestAllAreTurnedAwayWithAWord(t *testing.T) {
	hold := make(chan struct{})
	rig := newRigFor(1, 1, false, &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act { <-hold; return fake.Serve }})
	defer rig.close()
	defer close(hold)
	busy, far := loopback(t)
	rig.pipes.conns <- far
	p, err := fake.DialPostgres(busy, "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // one request after the other, until the test ends
		for i, err := 0, error(nil); err == nil; i++ {
			_, err = p.Ask(fmt.Sprintf(look, fmt.Sprint("held", i)))
		}
	}()
	rig.until(t, "the request is out", func() bool { return rig.hosts[0].Conns() > 0 })
	var conns []net.Conn
	for i := range 30 {
		near, far := loopback(t)
		near.Write(greeting(fmt.Sprint("n", i)))
		(&crossing{TCPConn: far}).arrived()
		rig.pipes.conns <- far
		conns = append(conns, near)
	}
	for i, c := range conns {
		text, err := io.ReadAll(c)
		if !bytes.Contains(text, []byte("C53300\x00")) || err != nil {
			t.Errorf("client %d: %q, %v", i, text, err)
		}
	}
}

// until waits for something to come true.
func (r *rig) until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// TestNewcomersWaitSideBySide: with two places, whose clients may go 0.25 s after their answers, five newcomers at once have
// theirs or a no within 0.4 s. One behind the other the fourth is told 0.49 s after it came, the fifth later.
func TestNewcomersWaitSideBySide(t *testing.T) {
	inBubble(t, func() error {
		rig := newRigFor(32, 1, false, &fake.Host{Primary: true}) // a room so large has eight wait
		defer rig.close()
		rig.room.Resize(2)
		for i, pause := range []time.Duration{200 * time.Millisecond, 10 * time.Millisecond} {
			a, err := rig.asker("postgres")
			if err != nil {
				return err
			}
			defer a.leave()
			if r, err := a.ask("look", fmt.Sprint("a", i)); err != nil || r.Outcome != "served" {
				return fmt.Errorf("%+v, %v", r, err)
			}
			time.Sleep(pause) // its connection rests
		}
		came := time.Now()
		told := make(chan time.Duration, 5)
		served := make(chan string, 5)
		for i := range 5 {
			go func() {
				c := rig.connect()
				defer c.Close()
				go c.Write(greeting(fmt.Sprint("n", i)))
				buf := framebuf.New(c, pgwire.MaxMessage)
				for {
					kind, body, err := pgwire.ReadMessage(buf)
					if kind == 'D' {
						served <- string(body)
					}
					if err != nil || kind == 'D' || kind == 'E' {
						told <- time.Since(came)
						time.Sleep(2 * time.Second) // it stays
						return
					}
				}
			}()
		}
		for range 5 {
			if took := <-told; took > 400*time.Millisecond {
				return fmt.Errorf("a newcomer is told after %v", took)
			}
		}
		if len(served) < 2 {
			return fmt.Errorf("only %d were served", len(served))
		}
		return nil
	})
}

// TestNewcomerWaitsHalfOfTheShortestDeadline: a place that is free 0.23 s after a newcomer came is one for it where deadlines are
// of 1 s, and comes too late where they may be of 0.2 s: that client is told at once.
func TestNewcomerWaitsHalfOfTheShortestDeadline(t *testing.T) {
	for deadline, want := range map[time.Duration]bool{time.Second: true, 200 * time.Millisecond: false} {
		inBubble(t, func() error {
			rig := newRigFor(1, 1, false, &fake.Host{Primary: true})
			defer rig.close()
			rig.room.ObserveDeadline(5 * time.Second)
			rig.room.ObserveDeadline(deadline)
			a, err := rig.asker("postgres")
			if err != nil {
				return err
			}
			defer a.leave()
			if r, err := a.ask("look", "a"); err != nil || r.Outcome != "served" {
				return fmt.Errorf("%+v, %v", r, err)
			}
			time.Sleep(20 * time.Millisecond)
			came, c := time.Now(), rig.connect()
			defer c.Close()
			go c.Write(greeting("b"))
			buf := framebuf.New(c, pgwire.MaxMessage)
			kind := byte(0)
			for err == nil && kind != 'D' && kind != 'E' {
				kind, _, err = pgwire.ReadMessage(buf)
			}
			if took := time.Since(came); err != nil || (kind == 'D') != want || !want && took > deadline/2 {
				return fmt.Errorf("deadline %v: answered with %q after %v, %v", deadline, kind, took, err)
			}
			return nil
		})
	}
}

// TestListensAgainAtOnce has a server leave its clients to another process and take them again at once, twenty times: it listens
// at its address again, where the listener before is closed behind its backlog, and serves.
func TestListensAgainAtOnce(t *testing.T) {
	rig := newRig(false, &fake.Host{Primary: true})
	defer rig.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &frontend.Server{Name: "again", Protocol: postgres.Protocol{}, Core: rig.core, Limiter: connlimit.New(50),
		Budget: framebuf.NewBudget(rigBudget), Counters: &metrics.Counters{}}
	stopped, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(stopped, l) }()
	for i := range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		p, err := fake.DialPostgres(c, "")
		if err != nil {
			t.Fatal(err)
		}
		if r, err := p.Ask(fmt.Sprintf(look, fmt.Sprint("a", i))); err != nil || r.Outcome != "served" {
			t.Fatalf("round %d: %+v, %v", i, r, err)
		}
		p.Close()
		s.Retire()
		if err := s.Resume(); err != nil {
			t.Fatalf("round %d: %v", i, err)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestTakesOverToTheEnd passes a connection with a request in it to a server that was told to end and has closed its listener,
// while it still has a request under way: it is served. Whoever passed it holds it no more. That another process takes its
// clients is said only then.
func TestTakesOverToTheEnd(t *testing.T) {
	hold := make(chan struct{})
	rig := newRig(false, &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
		if id == "held" {
			<-hold
		}
		return fake.Serve
	}})
	defer rig.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &frontend.Server{Name: "to", Protocol: postgres.Protocol{}, Core: rig.core, Limiter: connlimit.New(50),
		Budget: framebuf.NewBudget(rigBudget), Counters: &metrics.Counters{}}
	stopped, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(stopped, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p, err := fake.DialPostgres(c, "")
	if err != nil {
		t.Fatal(err)
	}
	half := pgQuery(fmt.Sprintf(look, "held"))
	p.Write([]byte(half[:20])) // keeps the session at work for longer than a request
	stop()
	rig.until(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	time.Sleep(100 * time.Millisecond)
	s.Retire() // the process that goes on says so late
	near, far := loopback(t)
	near.Write([]byte(pgQuery(fmt.Sprintf(look, "passed"))))
	if !s.Adopt(far, true, true) {
		far.Close()
		t.Error("it is not taken over")
	}
	if text, err := io.ReadAll(near); err != nil || !bytes.Contains(text, []byte("value of passed")) {
		t.Errorf("%q, %v", text, err)
	}
	p.Write([]byte(half[20:]))
	close(hold)
	p.Read()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if near, far := loopback(t); s.Adopt(far, true, true) {
		t.Error("it takes over once it has ended")
	} else {
		near.Close()
		far.Close()
	}
}

// TestStartGuard runs a server before its core has a list: that is counted as a violation of the rule on starts.
func TestStartGuard(t *testing.T) {
	counters := &metrics.Counters{}
	c, err := core.New(core.Options{Routing: testRules, Seed: 1, Counters: counters}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &frontend.Server{Name: "early", Protocol: postgres.Protocol{}, Core: c, Limiter: connlimit.New(5), Counters: counters,
		Monitor: &invariant.Monitor{Counters: counters}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	if err := s.Run(stopped, l); err != nil || counters.Get("violations_start") != 1 {
		t.Errorf("%v, %v", err, counters)
	}
}
