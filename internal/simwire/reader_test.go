package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"cranegate/routing"
)

// validSettingsLine is a small complete set of settings, as in an open_instance line.
const validSettingsLine = "balancers=2 zone=east classes.count=2 classes.0.name=look classes.0.aimS=0.5 " +
	"classes.0.deadlineS=1.5 classes.0.points=1 classes.0.repeat=repeatable classes.1.name=put classes.1.aimS=0.5 " +
	"classes.1.deadlineS=3 classes.1.points=4 classes.1.repeat=by_key classes.1.keyScope=cell classes.1.keyTtlS=2 " +
	"discovery=subscribe domain.guards=wait domain.needsByClass=bounded,write domain.classBoundS=0.8,0 " +
	"domain.positions=true domain.positionZeroS=100.5 domain.roleInList=late domain.writeMarks=remembered " +
	"loadInfo.columns=depth,x0,x1 policyLimits.maxAttempts=10 realms.count=1 realms.0.name=acme " +
	"realms.0.quotaPerS=12.5 something.unknown=7"

// openingBatch is a batch that opens an instance.
const openingBatch = "tick 8.5\nopen_instance gateway/0 42 " + validSettingsLine + "\nover_to_you\n"

// readBatch reads a batch that must be valid.
func readBatch(t *testing.T, r *Reader) *Batch {
	t.Helper()
	b, err := r.Batch()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestOpenInstance checks how settings are mapped to the configuration.
func TestOpenInstance(t *testing.T) {
	batch := readBatch(t, NewReader(strings.NewReader(openingBatch)))
	opened := batch.Events[0].Payload.(InstanceOpened)
	config := opened.Config
	if batch.Now != 8500*time.Millisecond || opened.Seed != 42 || config.Gateways != 2 || !config.Subscribe || !config.LocalSessions {
		t.Fatalf("batch at %v, instance opened with %+v", batch.Now, opened)
	}
	if config.StaleReads != routing.StaleReadDelayed || config.RoleSource != routing.RoleSourceDelayed || config.PositionEpoch != 100500*time.Millisecond {
		t.Errorf("domain settings: %+v", config)
	}
	if config.Classes[0].Consistency != routing.ConsistencyBounded || config.Classes[0].StalenessBound != 800*time.Millisecond {
		t.Errorf("bounded class: %+v", config.Classes[0])
	}
	if k := config.Classes[1]; k.Effect != routing.IdempotentByKey || k.KeyIsGlobal || k.IdempotencyTTL != 2*time.Second || k.Consistency != routing.ConsistencyWrite {
		t.Errorf("keyed class: %+v", k)
	}
	if len(config.Tenants) != 1 || config.Tenants[0].Quota != 12.5 {
		t.Errorf("tenants: %+v", config.Tenants)
	}
}

// TestEvents checks each event, and that the number of an endpoint list can be reused for another list.
func TestEvents(t *testing.T) {
	r := NewReader(strings.NewReader(openingBatch + `tick 9
list 3 1
entry on east std 2 1 7.25 10.0.0.1:50 4
roster_change gateway/0 stale_copy 1 3
list 3 2
entry fading west std 1 0 - 10.0.0.1:50 4
entry off west std 1 0 - 10.0.0.2:50 4
roster_change gateway/0 patch 2 3
roster_change gateway/0 broken - -
knock gateway/0 77 look acme s1 0.25 0.012 4 12.5 3
reply gateway/0 77 25486 10.0.0.1:50 0 0.0185 1 1 3,6.204,1
reply gateway/0 77 0 10.0.0.1:50 1 0.2 0 3
probed gateway/0 10.0.0.1:50 1 0.001 -,7.5,0
ack_first gateway/0 77 1 10.0.0.1:50 0.1
datagram gateway/0 1 aGkgNw==
hangup gateway/0 77
tick_due gateway/0 sweep
detach gateway/0
over_to_you
`))
	readBatch(t, r)
	events := readBatch(t, r).Events
	first, second := events[0].Payload.(routing.EndpointList), events[1].Payload.(routing.EndpointList)
	if len(first.Endpoints) != 1 || !first.Endpoints[0].Primary || first.Endpoints[0].StartedAt != 7250*time.Millisecond {
		t.Errorf("first list: %+v", first)
	}
	if len(second.Endpoints) != 2 || second.Endpoints[0].Phase != routing.PhaseDraining || second.Endpoints[1].Phase != routing.PhaseRemoved {
		t.Errorf("second list: %+v", second)
	}
	if events[2].Payload.(routing.EndpointList).Kind != routing.EndpointListFailed {
		t.Errorf("broken: %+v", events[2])
	}
	want := routing.Request{ID: 77, Session: "s1", Remaining: 250 * time.Millisecond, Work: 12 * time.Millisecond,
		Group: 4, SinceWrite: 12500 * time.Microsecond, Retry: true}
	if got := events[3].Payload.(routing.Request); got != want {
		t.Errorf("request %+v, want %+v", got, want)
	}
	o := events[4].Payload.(routing.Outcome)
	if o.Role != routing.RoleReplica || o.Position != 6371 || !o.Closed || o.Report.Position != 6204 || o.Report.Role != routing.RolePrimary {
		t.Errorf("reply: %+v", o)
	}
	if o := events[5].Payload.(routing.Outcome); o.Result != routing.ResultTimeout || o.Role != routing.RoleUnknown || o.Report.Role != routing.RoleUnknown {
		t.Errorf("timeout: %+v", o)
	}
	if p := events[6].Payload.(routing.HealthCheckResult); p.Report.Position != 7500 || p.Report.Role != routing.RoleReplica {
		t.Errorf("probe: %+v", p)
	}
	if s := events[7].Payload.(AnswerStarted); s.Attempt != 1 {
		t.Errorf("started: %+v", s)
	}
	if string(events[8].Payload.(Datagram).Payload) != "hi 7" {
		t.Errorf("datagram: %+v", events[8])
	}
	if _, err := r.Batch(); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

// TestErrorsNameTheLine checks that invalid input gives an error with the line's number.
func TestErrorsNameTheLine(t *testing.T) {
	for _, line := range []string{"nonsense gateway/0", "knock gateway/0 77 nosuch - - 0.2", "knock gateway/0 x look",
		"knock gateway/9 77 look", "reply gateway/0 77 0 10.0.0.1:50 0 0.1 0 11", "list 1 1\nentr",
		"roster_change gateway/0 patch 2 9", "roster_change gateway/0 odd 2 9", "knock gateway/0 77 look - - NaN"} {
		_, err := func() (*Batch, error) {
			r := NewReader(strings.NewReader(openingBatch + "tick 9\n" + line + "\nover_to_you\n"))
			readBatch(t, r)
			return r.Batch()
		}()
		if err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: %v", line, err)
		}
	}
	missing := strings.Replace(openingBatch, "balancers=2 ", "", 1)
	if _, err := NewReader(strings.NewReader(missing)).Batch(); err == nil || !strings.Contains(err.Error(), "balancers") {
		t.Errorf("missing setting: %v", err)
	}
	cut := strings.TrimSuffix(openingBatch, "over_to_you\n")
	if _, err := NewReader(strings.NewReader(cut)).Batch(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut input: %v", err)
	}
}

// FuzzBatch checks that no input panics, and that each event has an instance.
func FuzzBatch(f *testing.F) {
	f.Add(openingBatch)
	f.Add(openingBatch + "tick 9\nlist 1 1\nentry on a k 1 1 - m 1\nroster_change gateway/0 whole 1 1\nover_to_you\n")
	f.Add("tick -\nover_to_you\n")
	f.Add("tick 1\nlist 1 -5\nover_to_you\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := NewReader(strings.NewReader(s))
		for {
			b, err := r.Batch()
			if err != nil {
				return
			}
			for _, e := range b.Events {
				if e.Instance == "" {
					t.Fatal("an event without an instance")
				}
			}
		}
	})
}
