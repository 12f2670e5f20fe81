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

// maxCallDuration bounds a call on a busy machine, even if it is not acknowledged.
const maxCallDuration = 5 * time.Second

// isStopped reports whether a process is stopped by a signal.
func isStopped(pid int) bool {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return bytes.Contains(stat, []byte(") T "))
}

// TestHotRestart runs a hot restart without faults, with calls to both processes.
func TestHotRestart(t *testing.T) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	older.mustCall("lameduck on")
	newer := openChild(t, dir)
	if newer.opened.Inherited != fmt.Sprintf("of %d", older.cmd.Process.Pid) || !newer.opened.Older || len(newer.opened.Unconfirmed) > 0 {
		t.Fatalf("%+v", newer.opened)
	}
	newer.until("learned at Open", func(r childReply) bool { return r.hasDetached("a") && r.Lameduck && r.Role == "new" })
	older.mustCall("detach b")
	if r := newer.status(); !r.hasDetached("b") {
		t.Fatalf("the older process's change was not applied before its call returned: %+v", r)
	}
	newer.mustCall("detach c")
	if r := older.status(); !r.hasDetached("c") || r.Superseded != 0 {
		t.Fatalf("the newer process's change was not applied before its call returned: %+v", r)
	}
	newer.mustCall("attach a")
	older.mustCall("lameduck off")
	newer.call(readyCommand)
	older.until("superseded", func(r childReply) bool { return r.Superseded == 1 && r.Role == "old" && !r.hasDetached("a") })
	newer.mustCall("detach d")
	older.mustCall(closeCommand)
	newer.until("alone", func(r childReply) bool { return r.OlderEnded == 1 && !r.Older && r.Role == "alone" && !r.Lameduck })
	newer.signal(syscall.SIGKILL)
	third := openChild(t, dir)
	third.until("from the file", func(r childReply) bool { return len(r.Detached) == 3 && !r.hasDetached("a") && r.OlderEnded == 0 })
}

// TestKilledAtEachStep kills a process at each step of a change or of its start, while another process stays alive.
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
	caller.expectKilled()
	survivor.mustCall("detach c")
	third := openChild(t, dir)
	third.mustCall("detach d")
	status := third.status()
	for _, id := range []string{"a", "c", "d"} {
		if !status.hasDetached(id) || !survivor.status().hasDetached(id) {
			t.Fatalf("a detached host was lost: %+v", status)
		}
	}
	survivor.until("agreed on the call that did not return", func(r childReply) bool { return r.hasDetached("b") == status.hasDetached("b") })
}

func killAtJoinStep(t *testing.T, step state.JoinStep) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	startChild(t, dir, killStepVariable+"="+step.String()).expectKilled()
	older.mustCall("detach b")
	newer := openChild(t, dir)
	newer.until("all detached hosts", func(r childReply) bool { return r.hasDetached("a") && r.hasDetached("b") && r.Older })
}

// TestOlderHangs checks that a newer process starts within its time limit although the older one hangs, that it reads every detached
// host from the file, and that it reports one unresponsive process.
func TestOlderHangs(t *testing.T) {
	dir := t.TempDir()
	older := openChild(t, dir)
	older.mustCall("detach a")
	older.signal(syscall.SIGSTOP)
	newer := openChild(t, dir)
	if newer.opened.Took > 3*time.Second || !newer.opened.Older || len(newer.opened.Unconfirmed) != 1 {
		t.Fatalf("%+v", newer.opened)
	}
	newer.until("the detached host of the file", func(r childReply) bool { return r.hasDetached("a") })
	if r := newer.call("detach b"); !r.Unacknowledged || r.Took > maxCallDuration || !r.hasDetached("b") {
		t.Fatalf("the change must be applied by the newer process and not be acknowledged: %+v", r)
	}
	older.signal(syscall.SIGCONT)
	older.until("applied once it continues", func(r childReply) bool { return r.hasDetached("b") })
	newer.mustCall("detach c")
	if !older.status().hasDetached("c") {
		t.Fatal("the change was not applied before its call returned")
	}
	older.signal(syscall.SIGSTOP)
	older.signal(syscall.SIGKILL)
	newer.until("alone", func(r childReply) bool { return r.OlderEnded == 1 })
	newer.mustCall("detach d")
}

// TestNewerHangsAtEachStep stops a newer process at each step of its start. A call to the older process must not succeed while the
// newer one may lack the change, and the newer one must have the change before it may send, after it continues.
func TestNewerHangsAtEachStep(t *testing.T) {
	for _, step := range []state.JoinStep{state.ReadFile, state.QueryPeers, state.ApplyState} {
		t.Run(step.String(), func(t *testing.T) {
			dir := t.TempDir()
			older := openChild(t, dir)
			newer := startChild(t, dir, pauseStepVariable+"="+step.String())
			newer.untilStopped()
			if r := older.call("detach a"); !r.Unacknowledged || r.Took > maxCallDuration {
				t.Fatalf("the call succeeded or took too long although a process that may lack the change hangs: %+v", r)
			}
			newer.signal(syscall.SIGCONT)
			if _, ok := newer.receive(); !ok {
				t.Fatal("the newer process did not continue")
			}
			newer.until("the detached host", func(r childReply) bool { return r.hasDetached("a") })
			older.mustCall("detach a")
		})
	}
}

// TestManyStartAtOnce starts three processes at the same time, with or without an older one, and calls all processes.
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
				t.Fatal("a process did not start")
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
				t.Fatalf("a change was not applied before its call returned: %+v", r)
			}
			p.call(readyCommand)
		}
		expectOneAccepting(t, all)
	}
}

// expectOneAccepting waits until exactly one of the processes accepts connections.
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
		t.Fatalf("%d processes accept connections, want 1", accepting)
	}
}

// TestKilledDuringCalls kills a process at various times during a sequence of calls. Every process must know the changes of the calls
// that succeeded before.
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
			if status := survivor.status(); !status.hasDetached(id) {
				t.Fatalf("the change for %s was not applied before its call returned: %+v", id, status)
			}
		}
		third := openChild(t, dir)
		third.until("started", func(r childReply) bool { return len(r.Detached) >= len(succeeded) })
		status := third.status()
		for _, id := range succeeded {
			if !status.hasDetached(id) {
				t.Fatalf("the change for %s was lost: %+v", id, status)
			}
		}
	}
}

// TestCorruptFileWhileTwoLive checks that the registers of a corrupted file are still known to the live processes, which write them again.
func TestCorruptFileWhileTwoLive(t *testing.T) {
	dir := t.TempDir()
	older, newer := openChild(t, dir), openChild(t, dir)
	older.mustCall("detach a")
	os.WriteFile(filepath.Join(dir, statefile.Name), []byte(`{"format":"cranegate-st`), 0o600)
	newer.mustCall("detach b")
	older.signal(syscall.SIGKILL)
	newer.signal(syscall.SIGKILL)
	third := openChild(t, dir)
	third.until("both detached hosts", func(r childReply) bool { return r.hasDetached("a") && r.hasDetached("b") })
	if len(newer.opened.Unconfirmed) != 0 {
		t.Fatalf("%+v", newer.opened)
	}
}
