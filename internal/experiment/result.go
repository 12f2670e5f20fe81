package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
)

// Result is the outcome of one experiment, as stored in result.json.
type Result struct {
	Experiment string               `json:"experiment"`
	About      string               `json:"about"`
	Seed       uint64               `json:"seed"`
	Seeds      int                  `json:"seeds"`
	Driver     string               `json:"driver"`
	Version    string               `json:"version"`
	Size       string               `json:"size"`
	Machine    string               `json:"machine"`
	Figures    map[string]float64   `json:"figures"`
	Claims     []Claim              `json:"claims"`
	Series     map[string][]float64 `json:"series,omitempty"` // a value per second from the start of the run
	Faults     []string             `json:"faults,omitempty"`
	Notes      []string             `json:"notes,omitempty"` // details of violations
}

// The drivers of experiments, as results name them.
const (
	driverVirtual   = "virtual"   // the decision module, or the members, in virtual time
	driverSockets   = "sockets"   // real gateways in real time
	driverProcesses = "processes" // real members, and relays between them
)

// maxNotes is the maximum number of notes of a judge and of a result.
const maxNotes = 20

// newResult returns a result without figures and claims.
func (e *Experiment) newResult(o Options, driver, size string) *Result {
	return &Result{
		Experiment: e.Name,
		About:      e.About,
		Seed:       o.Seed,
		Seeds:      o.Seeds,
		Driver:     driver,
		Version:    o.Version,
		Size:       size,
		Machine:    fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures:    map[string]float64{},
		Series:     map[string][]float64{},
	}
}

// limitNotes drops all but the first maxNotes notes.
func (r *Result) limitNotes() { r.Notes = r.Notes[:min(len(r.Notes), maxNotes)] }

// claimNoViolations claims that no invariant was violated, one claim for each.
func (r *Result) claimNoViolations(prefix string, violations map[string]float64) {
	for _, name := range violationNames {
		r.addClaim(prefix+strings.ReplaceAll(name, "_", " "), violations[name], "==", 0)
	}
}

// Claim compares one measured figure with a bound.
type Claim struct {
	Name     string  `json:"name"`
	Figure   float64 `json:"figure"`
	Relation string  `json:"relation"` // "<=", ">=" or "=="
	Bound    float64 `json:"bound"`
	Holds    bool    `json:"holds"`
}

// addClaim compares a figure with a bound and appends the claim. A NaN figure never satisfies its claim.
func (r *Result) addClaim(name string, figure float64, relation string, bound float64) {
	c := Claim{Name: name, Figure: figure, Relation: relation, Bound: bound}
	switch relation {
	case "<=":
		c.Holds = figure <= bound
	case ">=":
		c.Holds = figure >= bound
	case "==":
		c.Holds = figure == bound
	}
	r.Claims = append(r.Claims, c)
}

// Holds reports whether all claims hold. A result without claims does not hold.
func (r *Result) Holds() bool {
	return len(r.Claims) > 0 && !slices.ContainsFunc(r.Claims, func(c Claim) bool { return !c.Holds })
}

// weightSeries returns the earned fraction of the requested priority weight for each second of arrival.
func (j *Judge) weightSeries() []float64 {
	n := int(j.fleet.Length.Seconds())
	requested, earned := make([]float64, n), make([]float64, n)
	for _, op := range j.operations {
		if i := int((op.arrived - epoch).Seconds()); i < n {
			requested[i], earned[i] = requested[i]+op.class.PriorityWeight, earned[i]+op.earned
		}
	}
	for i := range earned {
		earned[i] /= max(requested[i], 1)
	}
	return earned
}

// meanSeries returns the element-wise mean of series of equal length.
func meanSeries(s [][]float64) []float64 {
	out := make([]float64, len(s[0]))
	for _, x := range s {
		for i, v := range x {
			out[i] += v / float64(len(s))
		}
	}
	return out
}
