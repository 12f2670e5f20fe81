package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// slowWrite is a write whose host answers only after finish has been called.
type slowWrite struct {
	arrived chan struct{} // closed when the host has received the write
	release chan struct{} // closed by finish
	reply   chan fake.Reply
}

const slowID = "slow"

func newSlowWrite() *slowWrite {
	return &slowWrite{arrived: make(chan struct{}), release: make(chan struct{}), reply: make(chan fake.Reply, 1)}
}

// act decides what a host does with a statement.
func (s *slowWrite) act(id, _ string, _ bool) fake.Act {
	if id == slowID {
		close(s.arrived)
		<-s.release
	}
	return fake.Serve
}

// send sends the write and returns once its host has received it.
func (s *slowWrite) send(client *fake.PostgresClient) {
	go func() {
		r, _ := client.Ask(fmt.Sprintf(writeQuery, slowID, slowID))
		s.reply <- r
	}()
	<-s.arrived
}

// finish lets the host answer and checks that the client is served.
func (s *slowWrite) finish(t *testing.T) {
	t.Helper()
	close(s.release)
	if r := <-s.reply; r.Outcome != "served" {
		t.Errorf("the request in flight: %+v", r)
	}
}

// sendSignals sends signals one by one. After each it sends SIGUSR1 and waits until the program has logged its counters.
func (h *harness) sendSignals(signals ...syscall.Signal) {
	h.t.Helper()
	for _, s := range signals {
		before := strings.Count(h.log.String(), "event=counters")
		h.cmd.Process.Signal(s)
		h.cmd.Process.Signal(syscall.SIGUSR1)
		h.until("counters after "+s.String(), func() bool { return strings.Count(h.log.String(), "event=counters") > before })
	}
}

// TestGracefulShutdown checks the shutdown after SIGTERM: accepted requests are answered, new clients are accepted for a while,
// balancers see the drain, idle clients are closed, and the program exits with 0.
func TestGracefulShutdown(t *testing.T) {
	slow := newSlowWrite()
	h := startGateway(t, slow.act)
	idle := h.dialClient()
	slow.send(h.dialClient())
	h.cmd.Process.Signal(syscall.SIGTERM)
	h.untilLogged("event=stopping")
	if late, err := fake.DialPostgres(h.dial(h.postgresAddress), fmt.Sprintf(readQuery, "late", "late")); err != nil {
		t.Errorf("a client that connects after the signal: %v", err)
	} else if r, err := late.Read(); err != nil || r.Outcome != "served" {
		t.Errorf("the request of a client that connects after the signal: %+v, %v", r, err)
	}
	if line, status := h.checks(); line != "drain\n" || status != 503 {
		t.Errorf("checks after the signal: %q, %d", line, status)
	}
	if _, err := idle.Need(1); err != io.EOF {
		t.Errorf("an idle client is closed with %v", err)
	}
	slow.finish(t)
	h.expectCleanExit()
	if !h.logged("event=counters") {
		t.Error("no counters at the exit")
	}
}

// TestRepeatedSignals sends further signals to a program that is stopping. It must still answer the accepted request.
func TestRepeatedSignals(t *testing.T) {
	slow := newSlowWrite()
	h := startGateway(t, slow.act)
	slow.send(h.dialClient())
	h.cmd.Process.Signal(syscall.SIGTERM)
	h.untilLogged("event=stopping")
	h.sendSignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM)
	slow.finish(t)
	h.expectCleanExit()
}

// TestShutdownBeforeFirstEndpoints stops a program that has no endpoints because discovery accepts its call and never answers. The
// program must never listen for clients, and must exit at once.
func TestShutdownBeforeFirstEndpoints(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		h := startGateway(t, nil)
		silent := listenLoopback(t)
		called := make(chan net.Conn, 10)
		go func() {
			for {
				c, err := silent.Accept()
				if err != nil {
					return
				}
				called <- c
			}
		}()
		h.restartWithConfig(func(config map[string]any) {
			config["discovery"] = silent.Addr().String()
			delete(config, "known")
		})
		defer (<-called).Close()
		h.cmd.Process.Signal(s)
		h.expectCleanExit()
		if h.logged("event=listening front=postgres") || !h.logged("event=stopping") {
			t.Errorf("it listened for clients, or did not log that it was stopping:\n%s", h.log)
		}
		if c, err := net.Dial("tcp", h.postgresAddress); err == nil {
			c.Close()
			t.Error("something still listens at the PostgreSQL address")
		}
	}
}

// TestShutdownWhileHostsHang stops a program whose hosts accept requests and never answer, with request deadlines from 0.4 s to 5 s.
// Each request must get an answer, even if its deadline is later than the time at which the platform kills the process, and the program
// must not abandon clients.
func TestShutdownWhileHostsHang(t *testing.T) {
	for _, deadline := range []float64{0.4, 2, 5} {
		t.Run(fmt.Sprint(deadline, " s"), func(t *testing.T) { shutDownWhileHostsHang(t, deadline) })
	}
}

func shutDownWhileHostsHang(t *testing.T, deadlineSeconds float64) {
	hang, writes := make(chan struct{}), make(chan string, 100)
	defer close(hang)
	h := startGateway(t, func(id, text string, _ bool) fake.Act {
		if strings.Contains(text, "INSERT") {
			writes <- id
		}
		<-hang
		return fake.Serve
	})
	h.restartWithConfig(func(config map[string]any) {
		for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
			class.(map[string]any)["deadlineS"] = deadlineSeconds
			class.(map[string]any)["aimS"] = deadlineSeconds / 2
		}
	})
	h.waitServing()
	var clients []*fake.PostgresClient
	for range 4 {
		clients = append(clients, h.dialClient())
	}
	for i, client := range clients {
		form := []string{readQuery, writeQuery}[i%2]
		id := fmt.Sprint("h", i)
		text := strings.Replace(fmt.Sprintf(form, id, id), "d=2000", fmt.Sprintf("d=%d", int(deadlineSeconds*1000)), 1)
		client.Write(pgwire.Append(nil, 'Q', text, "\x00"))
	}
	h.until("the writes are with their host", func() bool { return len(writes) >= 2 })
	stopped := time.Now()
	h.cmd.Process.Signal(syscall.SIGTERM)
	for i, client := range clients {
		if r, err := client.Read(); err != nil || r.Outcome == "served" {
			t.Errorf("client %d: %+v, %v", i, r, err)
		}
	}
	t.Logf("all are answered %v after the signal", time.Since(stopped).Round(time.Millisecond))
	for _, client := range clients {
		client.Close()
	}
	h.expectCleanExit()
	if h.logged("event=stopped_with_clients") {
		t.Error("the shutdown timed out with open clients")
	}
}

// streamPause is how long a host pauses in the middle of a long value: for longer than a shutdown waits for clients without an answer.
const streamPause = 5 * time.Second

// longAnswer returns a host's answer with a value of 4 MiB.
func longAnswer() []byte { return fake.PostgresAnswer(strings.Repeat("v", 4<<20)) }

// startStreamingGateway runs the program with one host, which gives each request the same answer and pauses in the middle of it. The
// listener is the one that the platform passes on; nil: the program opens its own.
func startStreamingGateway(t *testing.T, inherited net.Listener, answer []byte) *harness {
	h := startGatewayWithListener(t, inherited, nil)
	host := &fake.Host{Primary: true, Malform: func(string, []byte) fake.Malformed {
		return fake.Malformed{Answer: answer[:len(answer)/2], After: streamPause, Surplus: answer[len(answer)/2:]}
	}}
	listener := listenLoopback(t)
	go fake.Accept(listener, host.ServePostgres)
	h.targets = []discovery.Target{{UID: "db-0", Endpoint: listener.Addr().String(), State: "SERVING", Capacity: 1, Replication: "primary"}}
	h.discovery.Set(h.targets)
	h.restartWithConfig(func(config map[string]any) {
		config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: h.targets}
	})
	h.waitServing()
	return h
}

// requestValue sends a request. Once the first bytes of the answer have come, it returns a channel of what its client gets: as many
// bytes as the answer has, or fewer if the connection ends first.
func (h *harness) requestValue(answer []byte) <-chan []byte {
	h.t.Helper()
	client := h.dialClient()
	client.Write(pgwire.Append(nil, 'Q', fmt.Sprintf(readQuery, "long", "long"), "\x00"))
	got := make([]byte, len(answer))
	begun, err := io.ReadAtLeast(client.Conn.Conn, got, 1)
	if err != nil {
		h.t.Fatal(err)
	}
	done := make(chan []byte, 1)
	go func() {
		n, _ := io.ReadFull(client.Conn.Conn, got[begun:])
		done <- got[:begun+n]
	}()
	return done
}

// checkValue checks what a client got against the host's answer.
func checkValue(t *testing.T, got, answer []byte) {
	t.Helper()
	if !bytes.Equal(got, answer) {
		t.Errorf("the client got %d bytes that differ from the host's %d bytes", len(got), len(answer))
	}
}

// TestShutdownWhileValueStreams guards against a value that the gateway's own exit cuts off: the exit waited for requests, which end by
// their deadlines, and not for values, which have none.
func TestShutdownWhileValueStreams(t *testing.T) {
	answer := longAnswer()
	h := startStreamingGateway(t, nil, answer)
	value := h.requestValue(answer)
	h.cmd.Process.Signal(syscall.SIGTERM)
	checkValue(t, <-value, answer)
	h.expectCleanExit()
	if h.logged("event=stopped_with_clients") || !h.logged("event=stopping_after_answers") {
		t.Errorf("the exit did not wait for the value:\n%s", h.log)
	}
}

// TestShutdownWhileValueStreamsInUpgrade guards against the same in a process whose clients a newer one has taken over.
func TestShutdownWhileValueStreamsInUpgrade(t *testing.T) {
	answer := longAnswer()
	h := startStreamingGateway(t, listenLoopback(t), answer)
	value := h.requestValue(answer)
	h.launchNewer(freeAddress(t))
	h.untilLogged("event=superseded")
	h.cmd.Process.Signal(syscall.SIGTERM)
	checkValue(t, <-value, answer)
	h.expectCleanExit()
}

// TestLameduckWhileValueStreams checks that a drain by staff leaves a value alone that is being written.
func TestLameduckWhileValueStreams(t *testing.T) {
	answer := longAnswer()
	h := startStreamingGateway(t, nil, answer)
	value := h.requestValue(answer)
	h.expectStatus("POST", "/_lameduck/on", 200)
	checkValue(t, <-value, answer)
}

// TestShutdownWithBusyClients guards against an exit that never comes: a client that has begun a message and stopped, and one that sends
// requests without an end, must not hold it up as answers that are being written do.
func TestShutdownWithBusyClients(t *testing.T) {
	h := startGateway(t, nil)
	h.dialClient().Write([]byte("Q\x00\x00"))
	flooding := h.dialClient()
	go io.Copy(io.Discard, flooding.Conn.Conn)
	go func() {
		for i := 0; ; i++ {
			id := fmt.Sprint("flood", i)
			if _, err := flooding.Write(pgwire.Append(nil, 'Q', fmt.Sprintf(readQuery, id, id), "\x00")); err != nil {
				return
			}
		}
	}()
	defer time.AfterFunc(testTimeout, func() { h.cmd.Process.Kill() }).Stop() // fails expectCleanExit
	h.cmd.Process.Signal(syscall.SIGTERM)
	h.expectCleanExit()
}
