package processtest

import (
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// minPipeBytes is the smallest capacity of a pipe: one page.
const minPipeBytes = 4096

// notificationTimeout bounds the time in which a change of the endpoint list reaches a gateway whose discovery is reachable.
const notificationTimeout = 6 * time.Second

// pipeLogs redirects the log of the next processes to a pipe of one page and returns its reading end.
func (h *harness) pipeLogs() *os.File {
	h.t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, minPipeBytes); err != nil {
		h.t.Fatal(err)
	}
	h.logOutput = write
	h.t.Cleanup(func() {
		read.Close()
		write.Close()
	})
	return read
}

// mustServe sends one request on a new connection, which must be served in time.
func (h *harness) mustServe(id string) {
	h.t.Helper()
	c, err := h.dial()
	if err != nil {
		h.t.Fatalf("connecting: %v", err)
	}
	defer c.Close()
	c.Conn.Conn.SetDeadline(time.Now().Add(eventualTimeout / 3))
	if reply, err := c.Ask(longTimeoutStatement(id, 0, false)); err != nil || reply.Outcome != "served" {
		h.t.Fatalf("%s: %+v, %v", id, reply, err)
	}
}

// TestLogCollectorStops fills the pipe to which the gateway logs: a collector that has stopped reading must not block the gateway. The
// gateway continues to serve, new clients too. It stops using a host within notificationTimeout after the host is listed as draining
// at the end of a discovery outage, which is logged. Its process exits cleanly.
func TestLogCollectorStops(t *testing.T) {
	h := newHarness(t, 256)
	h.pipeLogs()
	p := h.start().waitReady()
	h.logOutput = nil
	l := h.startLoad(6, 4*time.Millisecond)
	l.waitProgress()
	for range 40 { // each logs a line of counters
		p.signal(syscall.SIGUSR1)
		time.Sleep(5 * time.Millisecond)
	}
	h.discoveryHung.Store(true)
	time.Sleep(5 * time.Second) // longer than the timeout of a watch
	drained := h.hosts[1]
	h.targets[1].State = "DRAINING"
	h.discovery.Set(h.targets)
	h.discoveryHung.Store(false)
	time.Sleep(notificationTimeout)
	l.excludeHost(drained)
	l.waitProgress()
	time.Sleep(maxForwardDelay)
	l.check(t, 0)
	p.terminate()
}

// TestLogCollectorEnds closes the reading end of the pipe to which the gateway logs: writing the next log line must not end the process.
func TestLogCollectorEnds(t *testing.T) {
	h := newHarness(t, 256, withLongTimeouts)
	read := h.pipeLogs()
	p := h.start().waitReady()
	h.logOutput.Close()
	h.logOutput = nil
	h.mustServe("before")
	read.Close()
	p.signal(syscall.SIGUSR1)
	select {
	case <-p.exited:
		t.Fatalf("the process ended when its log pipe was closed: %v", p.exitErr)
	case <-time.After(time.Second):
	}
	h.mustServe("after")
	p.terminate()
}
