package discovery

import (
	"log/slog"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// Snapshot is a complete endpoint list or a patch to one, in the format of discovery's answers and of the configuration.
//
// Snapshot and Target map discovery's names to the gateway's terms. Discovery's "rev" is the list's revision, "all" is true for a
// complete list and false for a patch, and "targets" are the endpoints. In a target, "uid" is the member's ID, "az" its zone,
// "pod_group" its group, "state" its phase, "capacity_hint" its capacity, "boot_ms" the time at which it started, and
// "replication" is "primary" for a primary.
type Snapshot struct {
	Rev     int64    `json:"rev" toml:"rev"`
	All     bool     `json:"all" toml:"all"`
	Targets []Target `json:"targets" toml:"targets"`
}

// Target is one entry of the list. BootMS is in milliseconds since the Unix epoch.
type Target struct {
	UID         string  `json:"uid" toml:"uid"`
	Endpoint    string  `json:"endpoint" toml:"endpoint"`
	Zone        string  `json:"az" toml:"az"`
	Group       int     `json:"pod_group" toml:"pod_group"`
	State       string  `json:"state" toml:"state"`
	Capacity    float64 `json:"capacity_hint" toml:"capacity_hint"`
	BootMS      int64   `json:"boot_ms" toml:"boot_ms"`
	Replication string  `json:"replication" toml:"replication"`
}

// stateDeleted is the state of a target that a patch removes from the list.
const stateDeleted = "DELETED"

var phaseByState = map[string]routing.Phase{
	"SERVING":    routing.PhaseServing,
	"DRAINING":   routing.PhaseDraining,
	stateDeleted: routing.PhaseRemoved,
}

// EndpointList converts a snapshot to the core's type. A target with an unknown state counts as draining, so that no new request is
// sent to a host that may not accept it.
func (s Snapshot) EndpointList(kind routing.EndpointListKind) core.EndpointList {
	list := core.EndpointList{Kind: kind}
	for _, target := range s.Targets {
		phase, ok := phaseByState[target.State]
		if !ok {
			slog.Warn("discovery_state_unknown", "host", target.UID, "state", target.State)
			phase = routing.PhaseDraining
		}
		list.Hosts = append(list.Hosts, core.Host{
			Address: target.Endpoint,
			Endpoint: routing.Endpoint{
				Member:    target.UID,
				Group:     target.Group,
				Phase:     phase,
				Zone:      target.Zone,
				Capacity:  target.Capacity,
				Primary:   target.Replication == "primary",
				StartedAt: time.Duration(target.BootMS) * time.Millisecond,
			},
		})
	}
	return list
}
