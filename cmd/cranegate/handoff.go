package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/hotrestart/frame"
	"cranegate/routing"
)

// exportTimeout bounds how long exportState collects the state, for which a newer process waits.
const exportTimeout = 300 * time.Millisecond

// handoffState is what a process hands to a newer one, in addition to detached hosts and lameduck. Its JSON form is shared with processes of
// other versions. All maps are keyed by the fleet's name.
type handoffState struct {
	EndpointLists map[string]discovery.Snapshot   `json:"lists"`
	StartTimes    map[string]map[string]time.Time `json:"starts"` // by host id, of hosts that may be warming up
	Learned       map[string]routing.Snapshot     `json:"learned"`
}

// exportState returns the state for a newer process, with what the cores return within exportTimeout. It returns nil if the state can't
// be encoded.
func (g *gateway) exportState() []byte {
	ctx, cancel := context.WithTimeout(g.lifetime, exportTimeout)
	defer cancel()
	exported := handoffState{
		EndpointLists: map[string]discovery.Snapshot{},
		StartTimes:    map[string]map[string]time.Time{},
		Learned:       map[string]routing.Snapshot{},
	}
	for name, f := range g.fleets {
		exported.EndpointLists[name] = f.watcher.Snapshot()
		if starts, err := f.core.StartTimes(ctx); err == nil {
			exported.StartTimes[name] = starts
		}
		if learned, err := f.core.Learned(ctx); err == nil {
			exported.Learned[name] = learned
		}
	}
	text, err := exported.encode(frame.MaxBlobBytes)
	if err != nil {
		slog.Warn("hotrestart_unconfirmed", "error", err)
		return nil
	}
	return text
}

// encode returns the state as JSON. If that is longer than maxBytes, it leaves out the latency samples of hosts and then, if needed, all
// observations of hosts, because a newer process soon collects them again. Endpoint lists and start times always stay, even beyond
// maxBytes: without them requests would wait, and hosts that are warming up would get too many requests.
func (s handoffState) encode(maxBytes int) ([]byte, error) {
	text, err := json.Marshal(s)
	for _, reduce := range []func(routing.Snapshot) routing.Snapshot{withoutSamples, withoutMembers} {
		if err != nil || len(text) <= maxBytes {
			break
		}
		slog.Warn("hotrestart_state_truncated", "bytes", len(text), "max_bytes", maxBytes)
		for fleetName, learned := range s.Learned {
			s.Learned[fleetName] = reduce(learned)
		}
		text, err = json.Marshal(s)
	}
	return text, err
}

func withoutSamples(learned routing.Snapshot) routing.Snapshot {
	for id, member := range learned.Members {
		member.LatencyWindow = nil
		learned.Members[id] = member
	}
	return learned
}

func withoutMembers(learned routing.Snapshot) routing.Snapshot {
	learned.Members = nil
	return learned
}
