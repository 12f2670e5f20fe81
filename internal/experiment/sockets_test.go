package experiment

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// TestSocketDriver runs real gateways on loopback, with both frontends, while hosts of a zone fall silent and restart,
// and others crash. The checks do not depend on the speed of the machine.
func TestSocketDriver(t *testing.T) {
	program := buildGateway(t)
	spec := baseSpec(8*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 2 * sec, Duration: 3 * sec, RestartAtEnd: true}, Fault{Kind: Crash, Host: "", Zone: "augsburg", Spared: 2, At: 3 * sec, Duration: sec})
	spec.Load, spec.Gateways = 0.3, 2
	judge, err := runSockets(context.Background(), spec, 5, program, "[zones]\n", io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"stale_reads", "second_runs", "wrong_answers"} {
		if n := judge.violations()[name]; n > 0 {
			t.Errorf("%s: %.0f: %v", name, n, judge.notes)
		}
	}
	if requested, earned, _ := judge.weights(epoch, epoch+2*sec); len(judge.operations) < 300 || earned < requested/2 {
		t.Errorf("%d operations; of a requested weight of %.0f before the loss, %.0f was earned", len(judge.operations), requested, earned)
	}
	if judge.extraResponses > 0 {
		t.Errorf("%d extra responses to requests", judge.extraResponses)
	}
}

// TestUp checks the status lines of a fleet of two gateways over two seconds, and that Up fails if the program does not
// exist.
func TestUp(t *testing.T) {
	program := buildGateway(t)
	var out strings.Builder
	if err := Up(context.Background(), UpOptions{Program: program, Duration: 2500 * time.Millisecond, Rate: 30, Seed: 1, Gateways: 2, Logs: io.Discard, Out: &out}); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Count(text, "worth served") != 2 || !strings.Contains(text, "MySQL on 127.0.0.1:") || !strings.Contains(text, "gateways count") {
		t.Errorf("output:\n%s", text)
	}
	if err := Up(context.Background(), UpOptions{Program: "no-such-program", Duration: time.Second, Rate: 30, Logs: io.Discard, Out: io.Discard}); err == nil {
		t.Error("Up returned no error for a program that does not exist")
	}
}
