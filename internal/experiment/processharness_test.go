package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranegate/internal/config"
	"cranegate/internal/gossip"
	"cranegate/internal/logging"
)

// breakEnv is the environment variable with the defect of the member that the test binary runs as.
const breakEnv = "CRANELAB_BROKEN_MEMBER"

func TestMain(m *testing.M) {
	if defect := os.Getenv(breakEnv); defect != "" {
		logging.Use(logging.New(os.Stderr, slog.LevelInfo)) // as the program does
		fmt.Fprintln(os.Stderr, brokenMember(defect, os.Args[1]))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// buildGateway builds the gateway's program with further flags of go build.
func buildGateway(t *testing.T, flags ...string) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "cranegate")
	args := append(append([]string{"build"}, flags...), "-o", program, "cranegate/cmd/cranegate")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return program
}

// brokenMember runs a member with a deliberate defect. It returns only with an error.
func brokenMember(defect, file string) error {
	operator, err := config.LoadOperator(file, nil)
	if err != nil {
		return err
	}
	opt := operator.Fleet.Options(operator.Seed)
	opt.Members.PlainSWIM = defect == "hasty" // see membership.Options.PlainSWIM
	peers, err := gossip.Listen(opt)
	if err != nil {
		return err
	}
	go peers.Run(context.Background())
	return http.ListenAndServe(operator.Admin.Listen, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		view, err := peers.View(context.Background())
		if err != nil {
			panic(err)
		}
		if defect == "greedy" { // it takes all of every budget
			view.BudgetShare = 1
		}
		for i := range view.Members {
			if defect == "blind" { // it does not notice ended members
				view.Members[i].State = "alive"
			}
		}
		json.NewEncoder(w).Encode(view)
	}))
}

// brokenCommand returns commands that run members with a defect.
func brokenCommand(defect string) func(string) *exec.Cmd {
	return func(file string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], file)
		cmd.Env = append(os.Environ(), breakEnv+"="+defect)
		return cmd
	}
}

// TestProcesses runs a scenario with five gateways: messages are lost, duplicated, corrupted and delayed, one link is
// cut in one direction, one process pauses, one is killed and restarts, and one receives nothing.
func TestProcesses(t *testing.T) {
	t.Parallel()
	program := buildGateway(t, "-race")
	e, err := Find("members-short")
	if err != nil {
		t.Fatal(err)
	}
	var logs strings.Builder
	stats, err := runProcessScenario(context.Background(), e.membership, 5, e.membership.LossRates[0], 1,
		func(file string) *exec.Cmd { return exec.Command(program, "--operator", file) }, &logs)
	if err != nil {
		t.Fatalf("%v\n%s", err, logs.String())
	}
	if stats.falseVerdicts != 0 || stats.maxBudgetShare > 1+1e-9 || stats.divergedViews != 0 || stats.healSeconds >= processTimeout.Seconds() {
		t.Errorf("%d running members considered failed, maximum budget share %.3f, %d views differ from the running members after %.1f s: %v",
			stats.falseVerdicts, stats.maxBudgetShare, stats.divergedViews, stats.healSeconds, stats.notes)
	}
	if stats.changes < 20 {
		t.Errorf("the harness read only %d state changes", stats.changes)
	}
	if text := logs.String(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
		t.Errorf("a gateway had a data race or a panic:\n%s", text)
	}
}

// TestGatewaysCut runs clients and hosts with a fleet of three gateways, of which one is partitioned from the others while
// hosts of a zone restart. The checks do not depend on the speed of the machine.
func TestGatewaysCut(t *testing.T) {
	t.Parallel()
	program := buildGateway(t, "-race")
	scenario := gatewayScenarios[0].gatewayScenario
	scenario.spec.Rate, scenario.spec.Length = 10, 17*sec
	scenario.spec.Faults = []Fault{{Kind: Crash, Zone: "nuernberg", At: 9 * sec, Duration: 3 * sec}}
	scenario.membership = mustParseScenario(`
about = "one of three is cut off"
losses = [0.1]
length_s = 8
[[fault]]
kind = "cut"
who = "one 0"
to = "but 0"
both = true
excuses = ["one 0", "but 0"]
`)
	var logs strings.Builder
	stats, judge, err := runGatewayArm(context.Background(), scenario, 3, 0.1, 3, program, true, &logs)
	if err != nil {
		t.Fatalf("%v\n%s", err, logs.String())
	}
	for _, name := range []string{"stale_reads", "second_runs", "wrong_answers", "tipped_over"} {
		if n := judge.violations()[name]; n > 0 {
			t.Errorf("%s: %.0f: %v", name, n, judge.notes)
		}
	}
	if stats.falseVerdicts != 0 || stats.maxBudgetShare > 1+1e-9 || stats.changes < 6 || stats.excusedVerdicts == 0 {
		t.Errorf("%d running members considered failed, maximum budget share %.3f, %d state changes, %d verdicts across the partition: %v",
			stats.falseVerdicts, stats.maxBudgetShare, stats.changes, stats.excusedVerdicts, stats.notes)
	}
	if _, requested, earned := judge.earnedWeight(epoch, epoch+8*sec); len(judge.operations) < 200 || earned < requested/2 {
		t.Errorf("%d operations; of a requested weight of %.0f before the partition, %.0f was earned", len(judge.operations), requested, earned)
	}
}

// TestProcessJudgeDetectsDefects runs members with one defect each, which the harness must detect.
func TestProcessJudgeDetectsDefects(t *testing.T) {
	scenario := func(text string) *membershipScenario {
		parsed, err := parseScenario("about = \"broken members\"\nlosses = [0.0]\n" + text)
		if err != nil {
			t.Fatal(err)
		}
		return parsed
	}
	for _, c := range []struct {
		defect   string
		scenario *membershipScenario
		found    func(processStats) bool
	}{
		{"hasty", scenario("length_s = 7\n[[fault]]\nkind = \"cut\"\nwho = \"but 1\"\nto = \"one 1\"\nexcuses = [\"one 1\"]"), func(x processStats) bool { return x.falseVerdicts > 0 }},
		{"greedy", scenario("length_s = 1"), func(x processStats) bool { return x.maxBudgetShare > 1.5 }},
		{"blind", scenario("length_s = 7\n[[fault]]\nkind = \"kill\"\nat_s = 1\nwho = \"one 1\""), func(x processStats) bool { return x.divergedViews > 0 }},
	} {
		t.Run(c.defect, func(t *testing.T) {
			t.Parallel()
			stats, err := runProcessScenario(context.Background(), c.scenario, 4, c.scenario.LossRates[0], 2, brokenCommand(c.defect), io.Discard)
			if err == nil && !c.found(stats) {
				t.Errorf("the defect was not detected: %+v", stats)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

// startUnexpectedMembers starts three regular members, a fourth with the name of the first and a fifth with another key.
// It checks that a sixth with an invalid file does not start.
func startUnexpectedMembers(t *testing.T) *processHarness {
	t.Helper()
	program := buildGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	dir := t.TempDir()
	h := newProcessHarness(ctx, &membershipScenario{Duration: seconds(time.Hour)}, 6, 0, 1, dir, io.Discard)
	h.command = func(file string) *exec.Cmd { return exec.Command(program, "--operator", file) }
	t.Cleanup(func() {
		for _, p := range h.processes {
			p.kill()
		}
		cancel()
		h.network.work.Wait()
	})
	if err := h.prepare(6); err != nil {
		t.Fatal(err)
	}
	h.network.serve()
	otherKey := filepath.Join(dir, "other")
	if err := os.WriteFile(otherKey, []byte(strings.Repeat("00", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	replaceInConfig(t, h.processes[3], "g3", "g0")
	replaceInConfig(t, h.processes[4], filepath.Join(dir, "key"), otherKey)
	replaceInConfig(t, h.processes[5], "zone =", "zones =")
	for i := range 5 {
		if err := h.launch(h.processes[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.launch(h.processes[5]); err == nil {
		t.Error("a process with an invalid file started")
	}
	h.mu.Lock()
	h.startedAt = h.network.now()
	h.mu.Unlock()
	return h
}

// replaceInConfig replaces a text in a member's file before its start.
func replaceInConfig(t *testing.T, p *process, old, replacement string) {
	t.Helper()
	text := strings.Replace(p.operatorTables, old, replacement, 1)
	if text == p.operatorTables {
		t.Fatalf("%q does not occur in the file", old)
	}
	if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestUnexpectedMembers checks that two members with the same name are reported and neither is considered failed, and
// that members with another key or an invalid file don't join.
func TestUnexpectedMembers(t *testing.T) {
	t.Parallel()
	h := startUnexpectedMembers(t)
	settled := func() bool {
		for i := range 4 {
			v, err := h.fetchView(h.processes[i])
			if err != nil || len(v.Members) != 3 || len(v.Conflicts) != 1 || v.Conflicts[0] != "g0" {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(processTimeout); !settled(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the views do not show that two of four members have the same name")
		}
	}
	time.Sleep(4 * time.Second) // longer than any verdict takes
	h.mu.Lock()
	falseVerdicts, notes := h.falseVerdicts, h.notes
	h.mu.Unlock()
	if falseVerdicts > 0 || !settled() {
		t.Errorf("%d running members considered failed: %v", falseVerdicts, notes)
	}
	if v, err := h.fetchView(h.processes[4]); err != nil || len(v.Members) != 0 || v.BudgetShare != 0 {
		t.Errorf("the member with another key: view %+v, error %v", v, err)
	}
}

// TestProcessesEndWithContext cancels a run and checks that no process is left.
func TestProcessesEndWithContext(t *testing.T) {
	t.Parallel()
	scenario, err := parseScenario("about = \"long\"\nlosses = [0.0]\nlength_s = 60")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var started []*exec.Cmd
	_, err = runProcessScenario(ctx, scenario, 3, 0, 1, func(file string) *exec.Cmd {
		started = append(started, brokenCommand("none")(file))
		return started[len(started)-1]
	}, io.Discard)
	if err == nil || len(started) != 3 {
		t.Fatalf("the run was not cancelled: error %v, %d members started", err, len(started))
	}
	for _, cmd := range started {
		if cmd.ProcessState == nil {
			t.Errorf("process %d has not ended", cmd.Process.Pid)
		}
	}
}

// TestInvalidScenarios parses scenarios with errors.
func TestInvalidScenarios(t *testing.T) {
	head := "about = \"x\"\nlosses = [0.0]\nlength_s = 5\n"
	for _, text := range []string{"", "about = \"x\"\nlength_s = 5", head + "heals_s = 1", head + "[[fault]]\nkind = \"flood\"\nwho = \"all\"",
		head + "[[fault]]\nkind = \"cut\"\nwho = \"all\"", head + "[[fault]]\nkind = \"kill\"\nwho = \"one\"", head + "[[fault]]\nkind = \"kill\"\nwho = \"one 1\"\nat_s = 6",
		head + "[[fault]]\nkind = \"noise\"\nwho = \"all\"\nto = \"all\"\nlose = 2.0", head + "[[fault]]\nkind = \"narrow\"\nwho = \"all\"\nto = \"all\""} {
		if _, err := parseScenario(text); err == nil {
			t.Errorf("no error for this scenario:\n%s", text)
		}
	}
	if _, err := parseScenario(head); err != nil {
		t.Error(err)
	}
}

// TestLinkPartition checks which messages pass a partition in one direction and in both.
func TestLinkPartition(t *testing.T) {
	for _, both := range []bool{false, true} {
		scenario := mustParseScenario(fmt.Sprintf("about = \"x\"\nlosses = [0.0]\nlength_s = 5\n[[fault]]\nkind = \"cut\"\nwho = \"one 1\"\nto = \"one 2\"\nboth = %t", both))
		l := links{memberCount: 4, rng: rand.New(rand.NewPCG(1, 1)), freeAt: map[[2]int]time.Duration{}}
		l.startFault(scenario.Faults[0])
		for from := range 4 {
			for to := range 4 {
				want := from == 1 && to == 2 || both && from == 2 && to == 1
				if got := l.deliver(0, from, to, 100, false).lost; got != want {
					t.Errorf("both %t: message from %d to %d: lost is %t", both, from, to, got)
				}
			}
		}
		if l.endFault(scenario.Faults[0]); l.deliver(0, 1, 2, 100, false).lost {
			t.Error("the partition does not end")
		}
	}
}
