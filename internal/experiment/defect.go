package experiment

import (
	"time"

	"cranegate/routing"
)

// Defect is a deliberate defect of the gateways. It shows whether an experiment would find it.
type Defect int

// The defects.
const (
	NoDefect              Defect = iota
	DefectSlowStartBudget        // cold hosts are taken to bear seven times what they do
	DefectIgnoreDraining         // drains are not heard
	DefectStaleReads             // data may be ten seconds older than it may, and hosts do not check
	DefectRepeatWrites           // writes are repeated like reads
)

// Defects maps names of the command line to defects.
var Defects = map[string]Defect{"": NoDefect, "cold-room": DefectSlowStartBudget, "no-drains": DefectIgnoreDraining, "old-reads": DefectStaleReads, "two-runs": DefectRepeatWrites}

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
