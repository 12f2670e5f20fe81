package hotrestart

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// maxCallDuration bounds a call on a busy machine, also where it is not acknowledged.
const maxCallDuration = 5 * time.Second

// isStopped reports whether a process is stopped by a signal.
func isStopped(pid int) bool {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return bytes.Contains(stat, []byte(") T "))
}

// TestHotRestart is a hot restart without faults, with calls to both processes.
func TestHotRestart(t *testing.T) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	older.mustCall("lameduck on")
	newer := openChild(t, dir)
	if newer.opened.Inherited != fmt.Sprintf("of %d", older.cmd.Process.Pid) || !newer.opened.Older || len(newer.opened.Unconfirmed) > 0 {
		t.Fatalf("%+v", newer.opened)
	}
	newer.until("learned at Open", func(r childReply) bool { return r.has("a") && r.Lameduck && r.Role == "new" })
	older.mustCall("detach b")
	if r := newer.status(); !r.has("b") {
		t.Fatalf("the older one's change came late: %+v", r)
	}
	newer.mustCall("detach c")
	if r := older.status(); !r.has("c") || r.Superseded != 0 {
		t.Fatalf("the newer one's change came late: %+v", r)
	}
	newer.mustCall("attach a")
	older.mustCall("lameduck off")
	newer.call(readyCommand)
	older.until("superseded", func(r childReply) bool { return r.Superseded == 1 && r.Role == "old" && !r.has("a") })
	newer.mustCall("detach d")
	older.mustCall(closeCommand)
	newer.until("alone", func(r childReply) bool { return r.OlderEnded == 1 && !r.Older && r.Role == "alone" && !r.Lameduck })
	newer.signal(syscall.SIGKILL)
	third := openChild(t, dir)
	third.until("from the file", func(r childReply) bool { return len(r.Detached) == 3 && !r.has("a") && r.OlderEnded == 0 })
}

// TestKilledAtEachStep kills a process at each step of a change, or of its start, beside one that lives.
func TestKilledAtEachStep(t *testing.T) {
	for _, step := range state.UpdateSteps(true) {
		t.Run("change/"+step.String(), func(t *testing.T) { killAtUpdateStep(t, step) })
	}
	for _, step := range state.JoinSteps() {
		t.Run("start/"+step.String(), func(t *testing.T) { killAtJoinStep(t, step) })
	}
}

func killAtUpdateStep(t *testing.T, step state.UpdateStep) {
	dir := t.TempDir()
	survivor := openChild(t, dir)
	survivor.mustCall("detach a")
	caller := openChild(t, dir, killStepVariable+"="+step.String())
	caller.send("detach b")
	caller.expectDeath()
	survivor.mustCall("detach c")
	third := openChild(t, dir)
	third.mustCall("detach d")
	status := third.status()
	for _, id := range []string{"a", "c", "d"} {
		if !status.has(id) || !survivor.status().has(id) {
			t.Fatalf("a detached host was lost: %+v", status)
		}
	}
	survivor.until("agreed on the call that did not return", func(r childReply) bool { return r.has("b") == status.has("b") })
}

func killAtJoinStep(t *testing.T, step state.JoinStep) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	startChild(t, dir, killStepVariable+"="+step.String()).expectDeath()
	older.mustCall("detach b")
	newer := openChild(t, dir)
	newer.until("all detached hosts", func(r childReply) bool { return r.has("a") && r.has("b") && r.Older })
}

// TestOlderHangs: the newer process starts in time, knows every detached host, and names the one that does not respond.
func TestOlderHangs(t *testing.T) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	older.signal(syscall.SIGSTOP)
	newer := openChild(t, dir)
	if newer.opened.Took > 3*time.Second || !newer.opened.Older || len(newer.opened.Unconfirmed) != 1 {
		t.Fatalf("%+v", newer.opened)
	}
	newer.until("the detached host of the file", func(r childReply) bool { return r.has("a") })
	if r := newer.call("detach b"); !r.Unacknowledged || r.Took > maxCallDuration || !r.has("b") {
		t.Fatalf("it must apply here and not be acknowledged: %+v", r)
	}
	older.signal(syscall.SIGCONT)
	older.until("applied once it continues", func(r childReply) bool { return r.has("b") })
	newer.mustCall("detach c")
	if !older.status().has("c") {
		t.Fatal("the change came late")
	}
	older.signal(syscall.SIGSTOP)
	older.signal(syscall.SIGKILL)
	newer.until("alone", func(r childReply) bool { return r.OlderEnded == 1 })
	newer.mustCall("detach d")
}

// TestNewerHangsAtEachStep: a call to the older process does not succeed while a process that may know less is there, and once
// that one continues it has the change before it may send.
func TestNewerHangsAtEachStep(t *testing.T) {
	for _, step := range []state.JoinStep{state.ReadFile, state.QueryPeers, state.ApplyState} {
		t.Run(step.String(), func(t *testing.T) {
			dir := t.TempDir()
			older := openChild(t, dir)
			newer := startChild(t, dir, pauseStepVariable+"="+step.String())
			newer.untilStopped()
			if r := older.call("detach a"); !r.Unacknowledged || r.Took > maxCallDuration {
				t.Fatalf("a success that nobody can guarantee: %+v", r)
			}
			newer.signal(syscall.SIGCONT)
			if _, ok := newer.receive(); !ok {
				t.Fatal("it did not continue")
			}
			newer.until("the detached host", func(r childReply) bool { return r.has("a") })
			older.mustCall("detach a")
		})
	}
}

// TestManyStartAtOnce: three start at one instant, beside an older one or alone, and calls go to all of them.
func TestManyStartAtOnce(t *testing.T) {
	for round := range 4 {
		dir := t.TempDir()
		var all []*childProcess
		if round%2 == 0 {
			all = append(all, openChild(t, dir))
		}
		for range 3 {
			all = append(all, startChild(t, dir))
		}
		for _, p := range all[len(all)-3:] {
			if _, ok := p.receive(); !ok {
				t.Fatal("it did not start")
			}
		}
		for i, p := range all {
			p.send(fmt.Sprint("detach h", i))
		}
		for _, p := range all {
			if r, ok := p.receive(); !ok || r.Err != "" {
				t.Fatalf("%+v", r)
			}
		}
		for _, p := range all {
			if r := p.status(); len(r.Detached) != len(all) {
				t.Fatalf("a change came late: %+v", r)
			}
			p.call(readyCommand)
		}
		expectOneAccepting(t, all)
	}
}

// expectOneAccepting waits until one of the processes accepts connections.
func expectOneAccepting(t *testing.T, all []*childProcess) {
	t.Helper()
	accepting := 0
	for end := time.Now().Add(testTimeout); accepting != 1 && time.Now().Before(end); {
		accepting = 0
		for _, p := range all {
			if p.status().Role != "old" {
				accepting++
			}
		}
	}
	if accepting != 1 {
		t.Fatalf("%d processes accept connections in the end", accepting)
	}
}

// TestKilledDuringCalls kills a process at any moment of a stream of calls: each call that succeeded is known to all after it.
func TestKilledDuringCalls(t *testing.T) {
	for round := range 6 {
		dir := t.TempDir()
		survivor, caller := openChild(t, dir), openChild(t, dir)
		go func() {
			time.Sleep(time.Duration(3+7*round) * time.Millisecond)
			caller.signal(syscall.SIGKILL)
		}()
		var succeeded []string
		for i := range 200 {
			id := fmt.Sprint("h", i)
			caller.send("detach " + id)
			r, ok := caller.receive()
			if !ok {
				break
			}
			if r.Err != "" {
				t.Fatal(r.Err)
			}
			succeeded = append(succeeded, id)
			if status := survivor.status(); !status.has(id) {
				t.Fatalf("late: %s of %+v", id, status)
			}
		}
		third := openChild(t, dir)
		third.until("started", func(r childReply) bool { return len(r.Detached) >= len(succeeded) })
		status := third.status()
		for _, id := range succeeded {
			if !status.has(id) {
				t.Fatalf("lost: %s of %+v", id, status)
			}
		}
	}
}

// TestCorruptFileWhileTwoLive: what the file lost is still known to the live processes, and is written again.
func TestCorruptFileWhileTwoLive(t *testing.T) {
	dir := t.TempDir()
	older, newer := openChild(t, dir), openChild(t, dir)
	older.mustCall("detach a")
	os.WriteFile(filepath.Join(dir, statefile.Name), []byte(`{"format":"cranegate-st`), 0o600)
	newer.mustCall("detach b")
	older.signal(syscall.SIGKILL)
	newer.signal(syscall.SIGKILL)
	third := openChild(t, dir)
	third.until("both detached hosts", func(r childReply) bool { return r.has("a") && r.has("b") })
	if len(newer.opened.Unconfirmed) != 0 {
		t.Fatalf("%+v", newer.opened)
	}
}
