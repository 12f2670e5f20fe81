package servers

import (
	"math"
	"strconv"
	"strings"

	"cranegate/rules"
)

// Note is what a database host tells of itself beside an answer: in ParameterStatus messages, in tracked session
// variables, or as a probe's row.
type Note struct {
	Role     rules.Role
	Position int64 // Unix time in milliseconds, 0 if not told
	Report   rules.Report
}

// Set takes one value by its name.
func (n *Note) Set(name, value string) {
	switch name {
	case "replication_role":
		switch value {
		case "primary":
			n.Role = rules.RolePrimary
		case "standby":
			n.Role = rules.RoleReplica
		}
	case "log_position":
		if p, err := strconv.ParseInt(value, 10, 64); err == nil {
			n.Position = p
		}
	case "pressure":
		n.pressure(value)
	}
}

// Row takes a probe's row: one column with the whole report, or a column a field.
func (n *Note) Row(names []string, values [][]byte) {
	for i, v := range values {
		if len(v) > 256 {
			continue
		}
		if i < len(names) && !strings.Contains(string(v), "=") {
			n.field(names[i], string(v))
		} else {
			n.pressure(string(v))
		}
	}
}

// pressure reads a load report: names and values.
func (n *Note) pressure(text string) {
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			n.field(strings.TrimSpace(name), value)
		}
	}
}

// field reads one field of a load report. Positions there are in seconds and are rounded down: a member must
// not seem further ahead than it is.
func (n *Note) field(name, value string) {
	x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		return
	}
	switch name {
	case "x0":
		n.Report.HasPosition, n.Report.Position = true, int64(math.Floor(x*1000+1e-3))
	case "x1":
		n.Report.Role = rules.RoleReplica
		if x >= 0.5 {
			n.Report.Role = rules.RolePrimary
		}
	}
}
