package frontend_test

import (
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
)

// stepped is the gateway's side of a client's connection, a real socket. Once it is held, what a read has brought reaches
// the session only when the test lets it, as on a machine that is busy; and likewise a write goes out.
type stepped struct {
	*net.TCPConn
	read, write chan chan struct{} // a read has ended, or a write is about to begin: closing what comes lets it go on
	closed      chan struct{}

	mu          sync.Mutex
	holds       bool
	holdsWrites bool
	once        sync.Once
}

func (c *stepped) hold(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds, c.holdsWrites = reads, writes
}

func (c *stepped) pass(held *bool, at chan chan struct{}) {
	c.mu.Lock()
	is := *held
	c.mu.Unlock()
	if is {
		goOn := make(chan struct{})
		select {
		case at <- goOn:
			select {
			case <-goOn:
			case <-c.closed:
			}
		case <-c.closed:
		}
	}
}

func (c *stepped) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.pass(&c.holds, c.read)
	return n, err
}

func (c *stepped) Write(b []byte) (int, error) {
	c.pass(&c.holdsWrites, c.write)
	return c.TCPConn.Write(b)
}

func (c *stepped) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// within waits for what must come, however busy the machine is.
func within[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not within 10 s", what)
	}
	return v
}

// holds waits until something holds, however busy the machine is.
func holds(t *testing.T, what string, f func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// sockets are both ends of a connection on this machine; the gateway has not been given its own yet.
func sockets(t *testing.T) (client *net.TCPConn, gateway *stepped) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	gateway = &stepped{TCPConn: far.(*net.TCPConn), read: make(chan chan struct{}), write: make(chan chan struct{}),
		closed: make(chan struct{})}
	t.Cleanup(func() { near.Close(); gateway.Close() })
	return near.(*net.TCPConn), gateway
}

// endHasCome waits until the gateway's system has the client's end, or its reset.
func (c *stepped) endHasCome(t *testing.T) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	holds(t, "the client's end", func() bool {
		const closed, closeWait = 7, 8
		var state uint8
		if raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		}) != nil {
			return true // the gateway has closed it already
		}
		return state == closed || state == closeWait
	})
}

// ends are the ways in which a client goes.
var ends = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// login connects a client by sockets. It has said who it is and is welcome.
func (r *rig) login(t *testing.T) (*net.TCPConn, *stepped) {
	t.Helper()
	client, gateway := sockets(t)
	r.pipes.conns <- gateway
	var err error
	if r.mysql {
		_, err = fake.DialMySQL(client, 0)
	} else {
		_, err = fake.DialPostgres(client, "")
	}
	if err != nil {
		t.Fatal(err)
	}
	return client, gateway
}

// request is one on the wire. Its key is its id.
func (r *rig) request(class, id, behind string) string {
	text := "/* id=" + id + ",c=" + class + ",d=1000,cluster=4 */ " + verbs[class] + "'" + id + "'" + behind
	if r.mysql {
		return packet(mysqlwire.ComQuery, text)
	}
	return pgQuery(text)
}

// end ends a rig on the system's clock.
func (r *rig) end() {
	r.stop()
	<-r.ended
	r.kill()
	r.pool.Wait()
}

// onSockets runs a test on either front, once for each way to go.
func onSockets(t *testing.T, test func(t *testing.T, mysqlFront bool, end func(*net.TCPConn))) {
	for _, mysqlFront := range []bool{false, true} {
		for name, end := range ends {
			t.Run(fmt.Sprintf("mysql=%v,%s", mysqlFront, name), func(t *testing.T) { t.Parallel(); test(t, mysqlFront, end) })
		}
	}
}

// TestCloseBehindWhatIsReadLate has a client pipeline two requests and go, all before its session gets to see the first of
// them: neither is begun, though the session reads the end only after an attempt has had all the time to begin.
func TestCloseBehindWhatIsReadLate(t *testing.T) {
	onSockets(t, func(t *testing.T, mysqlFront bool, end func(*net.TCPConn)) {
		began := make(chan string, 10)
		host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act { began <- id; return fake.Serve }}
		r := newRig(mysqlFront, host)
		t.Cleanup(r.end) // after the connections were closed
		client, gateway := r.login(t)
		gateway.hold(true, false)
		fmt.Fprint(client, r.request("look", "q1", "")+r.request("look", "q2", ""))
		read := within(t, "the requests", gateway.read)
		end(client)
		gateway.endHasCome(t)
		close(read)
		noneBegins(t, gateway, began)
	})
}

// TestCloseWhileTheAnswerGoesOut has a client go that has pipelined a second request, while the answer to its first is being
// written: the second is not begun.
func TestCloseWhileTheAnswerGoesOut(t *testing.T) {
	onSockets(t, func(t *testing.T, mysqlFront bool, end func(*net.TCPConn)) {
		began := make(chan string, 10)
		host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act { began <- id; return fake.Serve }}
		r := newRig(mysqlFront, host)
		t.Cleanup(r.end) // after the connections were closed
		client, gateway := r.login(t)
		gateway.hold(false, true)
		fmt.Fprint(client, r.request("look", "q1", "")+r.request("look", "q2", ""))
		if id := within(t, "the first attempt", began); id != "q1" {
			t.Fatalf("%s begins first", id)
		}
		write := within(t, "the answer", gateway.write)
		gateway.hold(true, false)
		end(client)
		gateway.endHasCome(t)
		close(write)
		noneBegins(t, gateway, began)
	})
}

// noneBegins waits for a session's end. No attempt may begin till then, whatever the session reads late.
func noneBegins(t *testing.T, gateway *stepped, began chan string) {
	t.Helper()
	select {
	case <-gateway.closed:
	case id := <-began:
		t.Errorf("%s begins after its client has gone", id)
	case <-time.After(10 * time.Second):
		t.Error("the client's end is not seen")
	}
	gateway.hold(false, false)
	gateway.Close()
	select {
	case id := <-began:
		t.Errorf("%s begins after its client has gone", id)
	default:
	}
}

// TestCloseBehindMoreThanIsRead has a client go behind more than the gateway reads while the client's request is open: its
// buffer is full, or there is no memory left. The request ends as one whose client has gone, and nothing more is sent for it.
func TestCloseBehindMoreThanIsRead(t *testing.T) {
	for _, budget := range []bool{false, true} {
		onSockets(t, func(t *testing.T, mysqlFront bool, end func(*net.TCPConn)) {
			began, release := make(chan string, 10), make(chan struct{})
			host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
				began <- id
				<-release
				return fake.Reject // another attempt may follow
			}}
			r := newRig(mysqlFront, host)
			t.Cleanup(r.end)
			client, gateway := r.login(t)
			gateway.SetReadBuffer(1 << 20) // all that comes, and the end behind it, is taken in by the system
			client.SetWriteBuffer(1 << 20)
			fmt.Fprint(client, r.request("look", "q1", ""))
			if id := within(t, "the first attempt", began); id != "q1" {
				t.Fatalf("%s begins first", id)
			}
			size := 250 << 10
			if budget {
				if size = 8 << 10; !r.budget.Reserve(rigBudget - 1<<10) {
					t.Fatal("the budget is taken already")
				}
				defer r.budget.Release(rigBudget - 1<<10)
			}
			client.SetWriteDeadline(time.Now().Add(10 * time.Second))
			if _, err := client.Write([]byte(strings.Repeat(r.request("look", "q2", strings.Repeat(" ", 1<<10)), size>>10))); err != nil {
				t.Fatal(err)
			}
			holds(t, "unread bytes", func() bool { return r.counters.Get("test_looks_past_unread") > 0 })
			end(client)
			gateway.endHasCome(t)
			within(t, "the end of the session", gateway.closed)
			c := r.counters
			holds(t, "the end of the request", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") > 0 })
			close(release)
			if c.Get("clients_gone") != 1 || c.Get("requests") != 1 || c.Get("attempts") != 1 || len(began) > 0 {
				t.Errorf("%d further attempts began: %s", len(began), c)
			}
		})
	}
}

// TestPipelinedPastTheBuffer has a client that stays send more than is read while its request is open: each request has its
// answer.
func TestPipelinedPastTheBuffer(t *testing.T) {
	const more = 12
	release, begun := make(chan struct{}), make(chan struct{}, more+1)
	host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
		begun <- struct{}{}
		<-release
		return fake.Serve
	}}
	r := newRig(false, host)
	t.Cleanup(r.end)
	client, gateway := r.login(t)
	gateway.SetReadBuffer(1 << 20)
	var out strings.Builder
	for i := range more + 1 {
		out.WriteString(r.request("look", fmt.Sprint("q", i), strings.Repeat(" ", 30<<10)))
	}
	go fmt.Fprint(client, out.String())
	within(t, "the first attempt", begun)
	holds(t, "unread bytes", func() bool { return r.counters.Get("test_looks_past_unread") > 1 })
	close(release)
	c := fake.PostgresClient{Conn: framebuf.New(client, pgwire.MaxMessage)}
	client.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range more + 1 {
		if a, err := c.Read(); err != nil || a.Value != fmt.Sprint("value of q", i) {
			t.Fatalf("answer %d: %+v, %v", i, a, err)
		}
	}
}

// TestCloseBeforeTheLastGate has a client go whose request waits for a connection, and keeps its session from reading of it:
// the attempt does not begin once the connection is there.
func TestCloseBeforeTheLastGate(t *testing.T) {
	onSockets(t, func(t *testing.T, mysqlFront bool, end func(*net.TCPConn)) {
		began := make(chan string, 10)
		host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act { began <- id; return fake.Serve }}
		r := newRig(mysqlFront, host)
		t.Cleanup(r.end)
		opening, open := make(chan struct{}, 100), make(chan struct{})
		r.opening = func() { opening <- struct{}{}; <-open }
		client, gateway := r.login(t)
		asked := time.Now()
		fmt.Fprint(client, r.request("look", "q1", ""))
		within(t, "an attempt that waits for a connection", opening)
		gateway.hold(true, false)
		end(client)
		gateway.endHasCome(t)
		within(t, "the read of the end", gateway.read) // goes no further
		holds(t, "some time", func() bool { return time.Since(asked) > 50*time.Millisecond })
		close(open)
		c := r.counters
		holds(t, "the end of the attempt", func() bool { return len(began) > 0 || c.Get("clients_gone")+c.Get("refused") > 0 })
		if len(began) > 0 || c.Get("attempts_ok") > 0 {
			t.Errorf("%s begins after its client has gone: %s", <-began, c)
		}
		gateway.hold(false, false)
	})
}

// TestManyCloseAtOnce has a hundred clients go at once whose requests wait for connections: none begins.
func TestManyCloseAtOnce(t *testing.T) {
	const clients = 100
	var began atomic.Int64
	host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act { began.Add(1); return fake.Serve }}
	r := newRigFor(2*clients, 1, false, host)
	t.Cleanup(r.end)
	open := make(chan struct{})
	r.opening = func() { <-open }
	var all []*net.TCPConn
	var gateways []*stepped
	for range clients {
		client, gateway := r.login(t)
		all, gateways = append(all, client), append(gateways, gateway)
	}
	for i, client := range all {
		fmt.Fprint(client, r.request("look", fmt.Sprint("q", i), ""))
	}
	c := r.counters
	holds(t, "the requests", func() bool { return c.Get("requests") == clients })
	for _, client := range all {
		client.Close()
	}
	for _, gateway := range gateways {
		within(t, "the end of a session", gateway.closed)
	}
	close(open)
	holds(t, "the ends of the requests", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") == clients })
	if c.Get("clients_gone") == 0 || began.Load() > 0 {
		t.Errorf("%d attempts began: %s", began.Load(), c)
	}
}

// TestCloseBehindPipelined has a client go that has pipelined a request behind one that is out: the first ends as one whose
// client has gone, without another attempt, and the second is not begun.
func TestCloseBehindPipelined(t *testing.T) {
	onSockets(t, func(t *testing.T, mysqlFront bool, end func(*net.TCPConn)) {
		began, release := make(chan string, 10), make(chan struct{})
		host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
			began <- id
			<-release
			return fake.Reject // another attempt may follow
		}}
		r := newRig(mysqlFront, host)
		t.Cleanup(r.end)
		client, gateway := r.login(t)
		fmt.Fprint(client, r.request("look", "q1", ""))
		within(t, "the first attempt", began)
		gateway.hold(true, false)
		fmt.Fprint(client, r.request("look", "q2", ""))
		read := within(t, "the second request", gateway.read)
		end(client)
		gateway.endHasCome(t)
		gateway.hold(false, false)
		close(read)
		within(t, "the end of the session", gateway.closed)
		c := r.counters
		holds(t, "the end of the request", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") > 0 })
		close(release)
		if c.Get("clients_gone") != 1 || c.Get("requests") != 1 || c.Get("attempts") != 1 || len(began) > 0 {
			t.Errorf("%d further attempts began: %s", len(began), c)
		}
	})
}

// TestCloseWhilePreparing has a client go while its statement is prepared anew on a host's connection, and keeps its session
// from reading of it: the execute is not written.
func TestCloseWhilePreparing(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			preparing, release := make(chan struct{}, 10), make(chan struct{})
			var held atomic.Bool
			host := &fake.Host{Primary: true, Act: func(_, _ string, prepare bool) fake.Act {
				if prepare && held.Load() {
					preparing <- struct{}{}
					<-release
				}
				return fake.Serve
			}}
			r := newRig(true, host)
			t.Cleanup(r.end)
			client, gateway := sockets(t)
			r.pipes.conns <- gateway
			c, err := fake.DialMySQL(client, mysqlwire.CapQueryAttributes)
			if err != nil {
				t.Fatal(err)
			}
			_, statement, _, err := c.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
			if err != nil {
				t.Fatal(err)
			}
			host.Die() // and its connections, which knew the statement
			holds(t, "the ends of the host's connections", func() bool { return host.Conns() == 0 })
			held.Store(true)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				c.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", "q1")}, mysqlwire.Attribute("id", "q1"))
			}()
			within(t, "a prepare", preparing)
			asked := time.Now()
			gateway.hold(true, false)
			end(client)
			gateway.endHasCome(t)
			within(t, "the read of the end", gateway.read) // goes no further
			holds(t, "some time", func() bool { return time.Since(asked) > 50*time.Millisecond })
			close(release)
			n := r.counters
			holds(t, "the end of the attempt", func() bool { return host.Ran("q1") > 0 || n.Get("clients_gone")+n.Get("refused") > 0 })
			if host.Ran("q1") > 0 {
				t.Errorf("it begins after its client has gone: %s", n)
			}
			client.Close()
			within(t, "the end of the client", answered)
		})
	}
}

// TestIdOfAClientThatHasGone has a client go while its write is out, and another send a copy of it: hosts would take that for
// a second attempt of the first. Once the first's time is up its id is free, and so is its memory.
func TestIdOfAClientThatHasGone(t *testing.T) {
	for _, form := range forms[:2] {
		inBubble(t, func() (err error) {
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act { <-hold; return fake.Serve }}
			r := newRig(form != "postgres", host)
			defer func() { err = cmp.Or(err, r.close()) }()
			defer release()
			a, err := r.asker(form)
			if err != nil {
				return err
			}
			go a.ask("put", "q1")
			synctest.Wait() // it is at the host
			a.leave()
			synctest.Wait()
			if n := r.counters.Get("clients_gone"); n != 1 {
				return fmt.Errorf("%s: %d clients have gone", form, n)
			}
			b, err := r.asker(form)
			if err != nil {
				return err
			}
			defer b.leave()
			if got, err := b.ask("put", "q1"); err != nil || got.Outcome == "served" || r.counters.Get("requests") != 1 {
				return fmt.Errorf("%s: a copy: %+v, %v, %d requests", form, got, err, r.counters.Get("requests"))
			}
			release()
			time.Sleep(1100 * time.Millisecond)
			if got, err := b.ask("put", "q1"); err != nil || got.Outcome != "served" {
				return fmt.Errorf("%s: after its time: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}
