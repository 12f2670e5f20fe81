package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// localSessionsConfig returns a configuration in which members check no read and only the gateway knows what a
// session has written.
func localSessionsConfig() Config {
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	cfg.LocalSessions = true
	return cfg
}

// TestSessionReadsWhileSharedGoToThePrimary has another process of the gateway serve writes from 0 s to 5 s. A
// session's read that arrived meanwhile, or whose members have not caught up with the end of that time, must go
// to the primary, whether this router has a mark of the session or not: the other process may have a later one.
func TestSessionReadsWhileSharedGoToThePrimary(t *testing.T) {
	const lag = 4 * time.Second
	h := newHarness(t, localSessionsConfig())
	atPrimary := func(session string) bool {
		h.reportAll("a", lag)
		id := h.request(sessionRead, func(req *Request) { req.Session = session })
		tried := h.membersTried(id)
		h.endAttempt(id, ResultOK, RoleUnknown, 0)
		return tried[0] == "a"
	}
	expect := func(when string, sharedSession, noSession bool) {
		t.Helper()
		h.want("a known session's read at the primary "+when, atPrimary("known"), sharedSession)
		h.want("an unknown session's read at the primary "+when, atPrimary("unknown"), sharedSession)
		h.want("a read without a session at the primary "+when, atPrimary(""), noSession)
	}
	write := h.request(nonIdempotentWrite, func(req *Request) { req.Session = "known" })
	h.endAttempt(write, ResultOK, RolePrimary, h.position(0))
	h.advance(lag + time.Second)
	expect("before", false, false)
	h.router.ShareSessions(h.now, true)
	expect("at 0 s", true, false)
	h.advance(5 * time.Second)
	expect("at 5 s", true, false)
	h.router.ShareSessions(h.now, false)
	h.advance(lag - 100*ms)
	expect("before the replicas have caught up", true, false)
	h.router.ShareSessions(h.now, false) // no change, as when the limits of processes are updated
	h.advance(200 * ms)
	expect("after the replicas have caught up", false, false)
}

// TestDroppedMarkRequiresTheFloor has more sessions write than are stored. The reads of each must still require
// the session's own write: the mark of a session that was dropped must not be taken for no mark.
func TestDroppedMarkRequiresTheFloor(t *testing.T) {
	const limit = 100
	marks := newSessionMarks()
	for i := range 3 * limit {
		marks.put(fmt.Sprint("s", i), int64(1000+i), limit)
	}
	for i := range 3 * limit {
		if got := marks.required(fmt.Sprint("s", i), 5000); got < int64(1000+i) {
			t.Fatalf("session %d wrote at %d, and its read requires %d", i, 1000+i, got)
		}
	}
	if marks.size() > limit || marks.floor >= 1000+3*limit-limit/2 {
		t.Errorf("%d marks are stored, and the floor is %d", marks.size(), marks.floor)
	}
}

// TestMarksOfLongSessionNames has sessions write whose names are parts of long statements. The marks must not keep
// the statements: memory grew by a statement with each session that wrote, until the process was killed.
func TestMarksOfLongSessionNames(t *testing.T) {
	const sessions, statementBytes = 2000, 64 << 10
	h := newHarness(t, localSessionsConfig())
	h.reportAll("a", 0)
	write := func(i int) {
		statement := fmt.Sprint(i, strings.Repeat(" ", statementBytes))
		h.endAttempt(h.request(nonIdempotentWrite, func(req *Request) { req.Session = statement[:4] }), ResultOK, RolePrimary, h.position(0))
		h.sends = h.sends[:0]
		h.advance(10 * ms)
	}
	write(1000)
	before := liveBytes()
	for i := range sessions {
		write(1000 + i)
	}
	if kept := liveBytes() - before; kept > sessions*statementBytes/32 {
		t.Errorf("%d KiB are kept for %d sessions", kept>>10, sessions)
	}
	h.want("marks", h.router.sessionMarks.size(), sessions)
}

// TestMarksTakeBoundedMemory has three times as many sessions write as are stored: the bytes of the marks need a
// bound, not only their number.
func TestMarksTakeBoundedMemory(t *testing.T) {
	const maxMarkBytes = 64 // with the map's own memory
	before := liveBytes()
	marks := newSessionMarks()
	for i := range 3 * maxSessionMarks {
		marks.put(fmt.Sprint("session", i), int64(i), maxSessionMarks)
	}
	if kept := liveBytes() - before; marks.size() > maxSessionMarks || kept > maxSessionMarks*maxMarkBytes {
		t.Errorf("%d marks take %d KiB", marks.size(), kept>>10)
	} else {
		t.Logf("%d marks take %d KiB", marks.size(), kept>>10)
	}
	runtime.KeepAlive(&marks)
}

// liveBytes returns the size of the heap's live objects.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
