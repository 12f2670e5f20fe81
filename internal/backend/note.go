package backend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cranegate/routing"
)

// Note is what a database host tells of itself beside an answer: in ParameterStatus messages, in tracked session
// variables, or as a probe's row.
type Event struct {
	Role     routing.Role
	Position int64 // Unix time in milliseconds, 0 if not told
	Report   routing.Report
}

// ahead is how far a position may lie past this clock: commits are rounded up, and nothing else does. One further
// off is a misprint, and must not make a member look fresh for ever.
const ahead = time.Second

// position reads a Unix time in milliseconds, and says whether it can be one.
func position(ms float64) (int64, bool) {
	most := float64(time.Now().Add(ahead).UnixMilli())
	return int64(math.Floor(ms + 1e-3)), ms > 0 && ms <= most
}

// Set takes one value by its name. What can't be read is passed over.
func (n *Event) Set(name, value string) {
	switch name {
	case "replication_role":
		switch value {
		case "primary":
			n.Role = routing.RolePrimary
		case "standby":
			n.Role = routing.RoleReplica
		}
	case "log_position":
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil {
			if p, ok := position(float64(ms)); ok {
				n.Position = p
			}
		}
	case "pressure":
		n.report(strings.Split(value, ","))
	}
}

// Row takes a probe's row: one column with the whole report, or a column a field.
func (n *Event) SetRow(names []string, values [][]byte) {
	var pairs []string
	for i, v := range values {
		if len(v) > mostReport {
			return
		}
		if i < len(names) && !strings.Contains(string(v), "=") {
			pairs = append(pairs, names[i]+"="+string(v))
		} else {
			pairs = append(pairs, strings.Split(string(v), ",")...)
		}
	}
	n.report(pairs)
}

const mostReport = 256 // bytes of a load report

// report takes a load report, whole or not at all: where one field can't be read the others are not to be trusted.
// Positions there are in seconds and are rounded down: a member must not seem further ahead than it is.
func (n *Event) report(pairs []string) {
	r, ok := routing.Report{}, true
	for _, pair := range pairs {
		name, value, found := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !found || err != nil || !(x >= 0 && x < 1e12) || len(pair) > mostReport {
			return
		}
		switch strings.TrimSpace(name) {
		case "x0":
			r.Position, r.HasPosition = position(x * 1000)
			ok = ok && r.HasPosition
		case "x1":
			if r.Role = routing.RoleReplica; x == 1 {
				r.Role = routing.RolePrimary
			}
			ok = ok && (x == 0 || x == 1)
		}
	}
	if ok {
		n.Report = r
	}
}
