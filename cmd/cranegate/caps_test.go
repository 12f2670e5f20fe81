package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/hotrestart/frame"
	"cranegate/routing"
)

// knows is what a process knows of so many hosts, with a round trip in each place of their windows.
func knows(hosts, window int) knowledge {
	k := knowledge{Lists: map[string]discovery.Snapshot{}, Starts: map[string]map[string]time.Time{"postgres": {}},
		Learned: map[string]routing.Snapshot{"postgres": {Members: map[string]routing.MemberSnapshot{}, ExpectedLatency: []time.Duration{1, 2}}}}
	s := discovery.Snapshot{Rev: 1 << 40, All: true}
	at := 123456789 * time.Second
	for i := range hosts {
		id := fmt.Sprintf("replica-%04d.zone-%d.kita.example", i, i%3)
		s.Targets = append(s.Targets, discovery.Target{UID: id, Endpoint: "replica." + id + ":5432", Zone: "zone-a", Group: i % 9, State: "SERVING",
			Capacity: 1.25, BootMS: 1790000000000, Replication: "replica"})
		k.Starts["postgres"][id] = time.Now()
		m := routing.MemberSnapshot{RolePosition: 1 << 50, Position: 1 << 50, PositionAt: at, AnsweredAt: at, NextTrialAt: at, EndedSilence: 1.0 / 3, StartedAt: at, TokensAt: at,
			HealthCheckAnsweredAt: at, UnansweredCheckAt: at, PreviousStartedAt: at, AnsweredBeforeZoneLoss: at, Tokens: 1.0 / 3}
		for range window {
			m.LatencyWindow = append(m.LatencyWindow, routing.LatencySnapshot{At: at, Ratio: 1.0 / 3})
		}
		k.Learned["postgres"].Members[id] = m
	}
	k.Lists["postgres"] = s
	return k
}

// TestAThousandHostsAreHandedOver writes what a newer process is told of 1,024 hosts: it fits, with all hosts of the list, when
// each was started and what was learned of each; of round trips nothing stays where they take too much. Of many more hosts
// what was learned is left out, and the list stays.
func TestAThousandHostsAreHandedOver(t *testing.T) {
	for _, x := range []struct{ hosts, window, learned, windows int }{{100, 8, 100, 8}, {1024, 0, 1024, 0}, {1024, 64, 1024, 0}, {1025, 64, 1025, 0}, {2500, 8, 0, 0}} {
		text, err := knows(x.hosts, x.window).within(frame.MaxBlob)
		if err != nil || len(text) > frame.MaxBlob {
			t.Fatalf("%+v: %d bytes, %v", x, len(text), err)
		}
		var w strings.Builder
		if err := frame.Write(&w, frame.Message{Kind: frame.Blob, Blob: text}); err != nil {
			t.Fatalf("%+v: %v", x, err)
		}
		m, err := frame.Read(strings.NewReader(w.String()))
		var k knowledge
		if err == nil {
			err = json.Unmarshal(m.Blob, &k)
		}
		if err != nil || len(k.Lists["postgres"].Targets) != x.hosts || len(k.Starts["postgres"]) != x.hosts || len(k.Learned["postgres"].Members) != x.learned ||
			len(k.Learned["postgres"].ExpectedLatency) != 2 {
			t.Fatalf("%+v: %d hosts, %d starts, %d learned of, %v", x, len(k.Lists["postgres"].Targets), len(k.Starts["postgres"]), len(k.Learned["postgres"].Members), err)
		}
		for id, m := range k.Learned["postgres"].Members {
			if len(m.LatencyWindow) != x.windows {
				t.Fatalf("%+v: %d round trips of %s", x, len(m.LatencyWindow), id)
			}
		}
		t.Logf("%d hosts with %d round trips each take %d bytes", x.hosts, x.window, len(text))
	}
}
