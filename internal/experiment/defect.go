package experiment

import (
	"time"

	"cranegate/routing"
)

// Defect is a deliberate defect of the gateways. It shows whether the claims of an experiment would detect it.
type Defect int

// The defects.
const (
	NoDefect              Defect = iota
	DefectSlowStartBudget        // slow-start budgets are seven times too large
	DefectIgnoreDraining         // draining states are ignored
	DefectStaleReads             // staleness bounds are 10 s too large, and hosts do not check
	DefectRepeatWrites           // writes are retried like reads
)

// Defects maps the names used on the command line to defects.
var Defects = map[string]Defect{
	"":          NoDefect,
	"cold-room": DefectSlowStartBudget,
	"no-drains": DefectIgnoreDraining,
	"old-reads": DefectStaleReads,
	"two-runs":  DefectRepeatWrites,
}

// apply introduces the defect into the configuration of the decision module.
func (d Defect) apply(c *routing.Config) {
	switch d {
	case DefectSlowStartBudget:
		c.OverloadFactor *= 7
	case DefectStaleReads:
		for i := range c.Classes {
			c.Classes[i].StalenessBound += 10 * time.Second
		}
	case DefectRepeatWrites:
		for i := range c.Classes {
			c.Classes[i].Effect = routing.Idempotent
		}
	}
}
