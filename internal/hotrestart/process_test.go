package hotrestart

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/hotrestart/statefile"
)

// TestUpgrade is an upgrade as it should be, with calls to both.
func TestUpgrade(t *testing.T) {
	dir := t.TempDir()
	old := launch(t, dir)
	old.yes("out a")
	old.yes("lame on")
	young := launch(t, dir)
	if young.first.Inherited != fmt.Sprintf("of %d", old.cmd.Process.Pid) || !young.first.Older || len(young.first.Doubts) > 0 {
		t.Fatalf("%+v", young.first)
	}
	young.until("learned at Open", func(a answer) bool { return out(a, "a") && a.Lameduck && a.Role == "new" })
	old.yes("out b")
	if a := young.ask("look"); !out(a, "b") {
		t.Fatalf("the ban of the old one came late: %+v", a)
	}
	young.yes("out c")
	if a := old.ask("look"); !out(a, "c") || a.Superseded != 0 {
		t.Fatalf("the ban of the new one came late: %+v", a)
	}
	young.yes("back a")
	old.yes("lame off")
	young.tell("ready")
	young.hear()
	old.until("superseded", func(a answer) bool { return a.Superseded == 1 && a.Role == "old" && !out(a, "a") })
	young.yes("out d")
	old.yes("close")
	young.until("alone", func(a answer) bool { return a.Alone == 1 && !a.Older && a.Role == "alone" && !a.Lameduck })
	young.signal(syscall.SIGKILL)
	third := launch(t, dir)
	third.until("from the file", func(a answer) bool { return len(a.Out) == 3 && !out(a, "a") && a.Alone == 0 })
}

// TestKilledAtEachStep ends a process at each step of a call, or of its start, beside one that lives.
func TestKilledAtEachStep(t *testing.T) {
	for _, step := range []string{"persist", "adopt", "look", "tell"} {
		t.Run("call/"+step, func(t *testing.T) {
			dir := t.TempDir()
			keeper := launch(t, dir)
			keeper.yes("out a")
			caller := launch(t, dir, "HANDOVER_TEST_KILL="+step)
			caller.tell("out b")
			if a, ok := caller.hear(); ok {
				t.Fatalf("it should have died: %+v", a)
			}
			keeper.yes("out c")
			third := launch(t, dir)
			third.yes("out d")
			has := third.ask("look")
			for _, id := range []string{"a", "c", "d"} {
				if !out(has, id) || !out(keeper.ask("look"), id) {
					t.Fatalf("a ban was lost: %+v", has)
				}
			}
			keeper.until("agreed on what had no yes", func(a answer) bool { return out(a, "b") == out(has, "b") })
		})
	}
	for _, step := range []string{"show", "read", "ask", "hold"} {
		t.Run("start/"+step, func(t *testing.T) {
			dir := t.TempDir()
			old := launch(t, dir)
			old.yes("out a")
			if a, ok := begin(t, dir, "HANDOVER_TEST_KILL="+step).hear(); ok {
				t.Fatalf("it should have died: %+v", a)
			}
			old.yes("out b")
			young := launch(t, dir)
			young.until("all bans", func(a answer) bool { return out(a, "a") && out(a, "b") && a.Older })
		})
	}
}

// TestOldHangs: the new one starts in time, knows every ban, and says who does not answer.
func TestOldHangs(t *testing.T) {
	dir := t.TempDir()
	old := launch(t, dir)
	old.yes("out a")
	old.signal(syscall.SIGSTOP)
	young := launch(t, dir)
	if young.first.Took > 3*time.Second || !young.first.Older || len(young.first.Doubts) != 1 {
		t.Fatalf("%+v", young.first)
	}
	young.until("the ban of the file", func(a answer) bool { return out(a, "a") })
	if a := young.ask("out b"); !a.Silent || a.Took > 5*time.Second || !out(a, "b") {
		t.Fatalf("it must hold here and give no yes: %+v", a)
	}
	old.signal(syscall.SIGCONT)
	old.until("took it once it went on", func(a answer) bool { return out(a, "b") })
	young.yes("out c")
	if !out(old.ask("look"), "c") {
		t.Fatal("the ban came late")
	}
	old.signal(syscall.SIGSTOP)
	old.signal(syscall.SIGKILL)
	young.until("alone", func(a answer) bool { return a.Alone == 1 })
	young.yes("out d")
}

// TestNewHangsAtEachStep: a call to the old one gets no yes while a process that may know less is there, and once
// that one goes on it holds the ban before it may send.
func TestNewHangsAtEachStep(t *testing.T) {
	for _, step := range []string{"read", "ask", "hold"} {
		t.Run(step, func(t *testing.T) {
			dir := t.TempDir()
			old := launch(t, dir)
			young := begin(t, dir, "HANDOVER_TEST_STOP="+step)
			for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
				if state, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", young.cmd.Process.Pid)); strings.Contains(string(state), ") T ") {
					break
				} else if time.Now().After(end) {
					t.Fatal("it did not stop")
				}
			}
			a := old.ask("out a")
			if !a.Silent || a.Took > 5*time.Second {
				t.Fatalf("a yes that nobody can give: %+v", a)
			}
			young.signal(syscall.SIGCONT)
			if _, ok := young.hear(); !ok {
				t.Fatal("it did not go on")
			}
			young.until("the ban", func(a answer) bool { return out(a, "a") })
			old.yes("out a")
		})
	}
}

// TestManyStartAtOnce: three start at one instant beside an old one, and calls go to all of them.
func TestManyStartAtOnce(t *testing.T) {
	for round := range 4 {
		dir := t.TempDir()
		var all []*process
		if round%2 == 0 {
			all = append(all, launch(t, dir))
		}
		for range 3 {
			all = append(all, begin(t, dir))
		}
		for _, p := range all[len(all)-3:] {
			if _, ok := p.hear(); !ok {
				t.Fatal("it did not start")
			}
		}
		for i, p := range all {
			p.tell(fmt.Sprint("out h", i))
		}
		for _, p := range all {
			if a, ok := p.hear(); !ok || a.Err != "" {
				t.Fatalf("%+v", a)
			}
		}
		for _, p := range all {
			if a := p.ask("look"); len(a.Out) != len(all) {
				t.Fatalf("a ban came late: %+v", a)
			}
			p.tell("ready")
			p.hear()
		}
		left := 0
		for end := time.Now().Add(20 * time.Second); left != 1 && time.Now().Before(end); {
			left = 0
			for _, p := range all {
				if p.ask("look").Role != "old" {
					left++
				}
			}
		}
		if left != 1 {
			t.Fatalf("%d processes take connections in the end", left)
		}
	}
}

// TestKilledUnderCalls kills a process at any moment of a stream of calls: what got its yes is known to all after it.
func TestKilledUnderCalls(t *testing.T) {
	for round := range 6 {
		dir := t.TempDir()
		keeper, caller := launch(t, dir), launch(t, dir)
		go func() {
			time.Sleep(time.Duration(3+7*round) * time.Millisecond)
			caller.signal(syscall.SIGKILL)
		}()
		var got []string
		for i := range 200 {
			id := fmt.Sprint("h", i)
			caller.tell("out " + id)
			if a, ok := caller.hear(); !ok {
				break
			} else if a.Err != "" {
				t.Fatal(a.Err)
			}
			got = append(got, id)
			if has := keeper.ask("look"); !out(has, id) {
				t.Fatalf("late: %s of %+v", id, has)
			}
		}
		third := launch(t, dir)
		third.until("started", func(a answer) bool { return len(a.Out) >= len(got) })
		has := third.ask("look")
		for _, id := range got {
			if !out(has, id) {
				t.Fatalf("lost: %s of %+v", id, has)
			}
		}
	}
}

// TestTornWhileTwoLive: what the file lost is still known to the live ones, and is written again.
func TestTornWhileTwoLive(t *testing.T) {
	dir := t.TempDir()
	old, young := launch(t, dir), launch(t, dir)
	old.yes("out a")
	os.WriteFile(filepath.Join(dir, statefile.Name), []byte(`{"format":"cranegate-st`), 0o600)
	young.yes("out b")
	old.signal(syscall.SIGKILL)
	young.signal(syscall.SIGKILL)
	third := launch(t, dir)
	third.until("both bans", func(a answer) bool { return out(a, "a") && out(a, "b") })
	if a := young.first; len(a.Doubts) != 0 {
		t.Fatalf("%+v", a)
	}
}
