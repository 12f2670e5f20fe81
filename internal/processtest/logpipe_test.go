package processtest

import (
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pageSize is the least that a pipe holds.
const pageSize = 4096

// toldWithin is when a change counts as told at the latest, from when discovery had it and could be reached.
const toldWithin = 6 * time.Second

// logPipe gives the next process a pipe of one page in place of its log, and returns the end that a collector reads.
func (r *rig) logPipe() *os.File {
	r.t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pageSize); err != nil {
		r.t.Fatal(err)
	}
	r.logs = write
	r.t.Cleanup(func() { read.Close(); write.Close() })
	return read
}

// asked asks one request, which has to be served in time.
func (r *rig) asked(id string) {
	r.t.Helper()
	c, err := r.dial()
	if err != nil {
		r.t.Fatalf("connecting: %v", err)
	}
	defer c.Close()
	c.Conn.Conn.SetDeadline(time.Now().Add(patience / 3))
	if reply, err := c.Ask(unhurriedStatement(id, 0, false)); err != nil || reply.Outcome != "served" {
		r.t.Fatalf("%s: %+v, %v", id, reply, err)
	}
}

// TestLogCollectorStops fills the pipe that the log goes to: a collector that has stopped reading must not stop the gateway. It
// serves on, also new clients; a drain that discovery tells behind an outage, which is worth a line, is kept in time; and the
// process ends in order.
func TestLogCollectorStops(t *testing.T) {
	r := newRig(t, 256)
	r.logPipe()
	p := r.start().ready()
	r.logs = nil
	l := r.newLoad(6, 4*time.Millisecond)
	l.goesOn()
	for range 40 { // a line of counters each
		p.signal(syscall.SIGUSR1)
		time.Sleep(5 * time.Millisecond)
	}
	r.mute.Store(true)
	time.Sleep(5 * time.Second) // longer than a watch is waited for
	drained := r.hosts[1]
	r.targets[1].State = "DRAINING"
	r.discovery.Set(r.targets)
	r.mute.Store(false)
	time.Sleep(toldWithin)
	l.isOut(drained)
	l.goesOn()
	time.Sleep(inFlight)
	l.judge(t, 0)
	p.term()
}

// TestLogCollectorEnds closes the reading end of the pipe that the log goes to: the next line must not end the gateway.
func TestLogCollectorEnds(t *testing.T) {
	r := newRig(t, 256, unhurried)
	read := r.logPipe()
	p := r.start().ready()
	r.logs.Close()
	r.logs = nil
	r.asked("before")
	read.Close()
	p.signal(syscall.SIGUSR1)
	select {
	case <-p.ended:
		t.Fatalf("it ended with its log's collector: %v", p.err)
	case <-time.After(time.Second):
	}
	r.asked("after")
	p.term()
}
