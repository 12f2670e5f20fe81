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
	s := baseSpec(8*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 2 * sec, Duration: 3 * sec, RestartAtEnd: true}, Fault{Kind: Crash, Host: "", Zone: "augsburg", Spared: 2, At: 3 * sec, Duration: sec})
	s.Load, s.Gateways = 0.3, 2
	j, err := runSockets(context.Background(), s, 5, program, "[zones]\n", io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"stale_reads", "second_runs", "wrong_answers"} {
		if n := j.violations()[name]; n > 0 {
			t.Errorf("%s: %.0f: %v", name, n, j.notes)
		}
	}
	if asked, earned, _ := j.weights(epoch, epoch+2*sec); len(j.operations) < 300 || earned < asked/2 {
		t.Errorf("%d requests; of %.0f asked for before the loss %.0f was earned", len(j.operations), asked, earned)
	}
	if j.extraResponses > 0 {
		t.Errorf("%d requests got a second answer", j.extraResponses)
	}
}

// TestUp shows the fleet for two seconds.
func TestUp(t *testing.T) {
	program := buildGateway(t)
	var out strings.Builder
	if err := Up(context.Background(), UpOptions{Program: program, Duration: 2500 * time.Millisecond, Rate: 30, Seed: 1, Gateways: 2, Logs: io.Discard, Out: &out}); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Count(text, "worth served") != 2 || !strings.Contains(text, "MySQL on 127.0.0.1:") || !strings.Contains(text, "gateways count") {
		t.Errorf("it showed:\n%s", text)
	}
	if err := Up(context.Background(), UpOptions{Program: "no-such-program", Duration: time.Second, Rate: 30, Logs: io.Discard, Out: io.Discard}); err == nil {
		t.Error("a program that is not there is no fault")
	}
}
