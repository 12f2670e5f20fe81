package backend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// HostStatus is what a database host reports about itself alongside an answer, in ParameterStatus messages or tracked session
// variables, or in the row of a health check.
type HostStatus struct {
	Role     routing.Role
	Position int64 // Unix time in milliseconds, 0 if not reported
	Report   routing.Report
}

// Outcome returns an outcome with a result and the status.
func (s *HostStatus) Outcome(result routing.Result) core.Outcome {
	return core.Outcome{Result: result, Role: s.Role, Position: s.Position, Report: s.Report}
}

// maxPositionLead is how far a position may be ahead of this machine's clock, because commit times are rounded up. A position
// further ahead is malformed and must not make a member look fresh indefinitely.
const maxPositionLead = time.Second

// parsePosition converts a Unix time in milliseconds to a position, rounded down, and reports whether it is valid.
func parsePosition(ms float64) (position int64, ok bool) {
	latest := float64(time.Now().Add(maxPositionLead).UnixMilli())
	return int64(math.Floor(ms + 1e-3)), ms > 0 && ms <= latest
}

// Set sets one value by its name. An unknown name and a value that can't be parsed are ignored.
func (s *HostStatus) Set(name, value string) {
	switch name {
	case "replication_role":
		switch value {
		case "primary":
			s.Role = routing.RolePrimary
		case "standby":
			s.Role = routing.RoleReplica
		}
	case "log_position":
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil {
			if position, ok := parsePosition(float64(ms)); ok {
				s.Position = position
			}
		}
	case "pressure":
		s.setReport(strings.Split(value, ","))
	}
}

// The fields of a load report that are used; the others are only validated.
const (
	reportPosition = "x0" // seconds of Unix time
	reportPrimary  = "x1" // 1 at the primary, 0 elsewhere
)

// maxReportBytes is the maximum length of a load report.
const maxReportBytes = 256

// SetRow sets the load report from a health check's row, which has one column with the complete report or one column for
// each field.
func (s *HostStatus) SetRow(names []string, values [][]byte) {
	var pairs []string
	for i, value := range values {
		if len(value) > maxReportBytes {
			return
		}
		if i < len(names) && !strings.Contains(string(value), "=") {
			pairs = append(pairs, names[i]+"="+string(value))
		} else {
			pairs = append(pairs, strings.Split(string(value), ",")...)
		}
	}
	s.setReport(pairs)
}

// setReport sets the load report, completely or not at all: if one field is invalid, the others can't be trusted either.
// Positions in a load report are in seconds. They are rounded down, as a member must not seem further ahead than it is.
func (s *HostStatus) setReport(pairs []string) {
	report, ok := routing.Report{}, true
	for _, pair := range pairs {
		name, text, found := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		inRange := value >= 0 && value < 1e12 // false for NaN
		if !found || err != nil || !inRange || len(pair) > maxReportBytes {
			return
		}
		switch strings.TrimSpace(name) {
		case reportPosition:
			report.Position, report.HasPosition = parsePosition(value * 1000)
			ok = ok && report.HasPosition
		case reportPrimary:
			report.Role = routing.RoleReplica
			if value == 1 {
				report.Role = routing.RolePrimary
			}
			ok = ok && (value == 0 || value == 1)
		}
	}
	if ok {
		s.Report = report
	}
}
