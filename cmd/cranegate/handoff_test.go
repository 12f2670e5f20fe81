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

// newHandoffState returns the state of a process with a number of hosts, and with window latency samples for each.
func newHandoffState(hosts, window int) handoffState {
	s := handoffState{
		EndpointLists: map[string]discovery.Snapshot{},
		StartTimes:    map[string]map[string]time.Time{"postgres": {}},
		Learned: map[string]routing.Snapshot{"postgres": {
			Members:         map[string]routing.MemberSnapshot{},
			ExpectedLatency: []time.Duration{1, 2},
		}},
	}
	list := discovery.Snapshot{Rev: 1 << 40, All: true}
	for i := range hosts {
		id := fmt.Sprintf("replica-%04d.zone-%d.kita.example", i, i%3)
		list.Targets = append(list.Targets, discovery.Target{UID: id, Endpoint: "replica." + id + ":5432", Zone: "zone-a", Group: i % 9, State: "SERVING",
			Capacity: 1.25, BootMS: 1790000000000, Replication: "replica"})
		s.StartTimes["postgres"][id] = time.Now()
		s.Learned["postgres"].Members[id] = newLearnedMember(window)
	}
	s.EndpointLists["postgres"] = list
	return s
}

// newLearnedMember fills each field with a value that takes many bytes.
func newLearnedMember(window int) routing.MemberSnapshot {
	at := 123456789 * time.Second
	m := routing.MemberSnapshot{RolePosition: 1 << 50, Position: 1 << 50, PositionAt: at, AnsweredAt: at, NextTrialAt: at, EndedSilence: 1.0 / 3, StartedAt: at, TokensAt: at,
		HealthCheckAnsweredAt: at, UnansweredCheckAt: at, PreviousStartedAt: at, AnsweredBeforeZoneLoss: at, Tokens: 1.0 / 3}
	for range window {
		m.LatencyWindow = append(m.LatencyWindow, routing.LatencySnapshot{At: at, Ratio: 1.0 / 3})
	}
	return m
}

// TestHandoffStateSize encodes the state of up to 2,500 hosts and sends it in a frame. The state of 1,024 hosts keeps the endpoint list,
// the start times and the observations of all of them; latency samples are left out where they take too many bytes. With many more hosts
// the observations are left out, and the endpoint list and the start times stay.
func TestHandoffStateSize(t *testing.T) {
	for _, c := range []struct{ hosts, window, wantLearned, wantWindow int }{
		{100, 8, 100, 8},
		{1024, 0, 1024, 0},
		{1024, 64, 1024, 0},
		{1025, 64, 1025, 0},
		{2500, 8, 0, 0},
	} {
		text, err := newHandoffState(c.hosts, c.window).encode(frame.MaxBlobBytes)
		if err != nil || len(text) > frame.MaxBlobBytes {
			t.Fatalf("%+v: %d bytes, %v", c, len(text), err)
		}
		received, err := sendInFrame(text)
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		learned := received.Learned["postgres"]
		hosts, starts := len(received.EndpointLists["postgres"].Targets), len(received.StartTimes["postgres"])
		if hosts != c.hosts || starts != c.hosts || len(learned.Members) != c.wantLearned || len(learned.ExpectedLatency) != 2 {
			t.Fatalf("%+v: %d hosts, %d start times, %d with observations, expected latencies %v", c, hosts, starts, len(learned.Members), learned.ExpectedLatency)
		}
		for id, m := range learned.Members {
			if len(m.LatencyWindow) != c.wantWindow {
				t.Fatalf("%+v: %d latency samples of %s", c, len(m.LatencyWindow), id)
			}
		}
		t.Logf("%d hosts with %d latency samples each take %d bytes", c.hosts, c.window, len(text))
	}
}

// sendInFrame writes a state in a frame and returns what a newer process reads from it.
func sendInFrame(text []byte) (received handoffState, err error) {
	var w strings.Builder
	if err := frame.Write(&w, frame.Message{Kind: frame.Blob, Blob: text}); err != nil {
		return received, err
	}
	m, err := frame.Read(strings.NewReader(w.String()))
	if err != nil {
		return received, err
	}
	return received, json.Unmarshal(m.Blob, &received)
}
