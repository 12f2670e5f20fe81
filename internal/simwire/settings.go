package simwire

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranegate/routing"
)

// settings are the raw path=value pairs of an instance; err keeps the first fault met while reading them.
type settings struct {
	values map[string]string
	err    error
}

// parseSettings splits the pairs of an open_instance line.
func parseSettings(fields []string) (*settings, error) {
	s := &settings{values: make(map[string]string, len(fields))}
	for _, f := range fields {
		path, value, ok := strings.Cut(f, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q has no value", f)
		}
		s.values[path] = value
	}
	return s, nil
}

// Config turns settings, by their paths on the wire, into the module's configuration. The real gateway finds
// the same settings in its configuration file.
func Config(pairs map[string]string) (routing.Config, error) {
	return (&settings{values: pairs}).config()
}

// SettingError is a setting that can't be used. It says what an operator can do.
type SettingError struct {
	Path  string // as on the simulator's wire; the object's names are set apart by dots
	Value string // as it was given; empty if it is missing
	Needs string // what it has to be
}

func (e *SettingError) Error() string {
	given := "is missing"
	if e.Value != "" {
		given = fmt.Sprintf("is %q", e.Value)
	}
	return fmt.Sprintf("setting %s %s: it has to be %s; correct it where the settings stand and start again", e.Path, given, e.Needs)
}

// What settings may be at most: past these they are taken for mistakes.
const (
	mostSeconds = 24 * 60 * 60.0
	mostCount   = 1e6
	mostNumber  = 1e9
	mostZero    = 4e9 // seconds: Unix time is well within
)

// fail keeps the first fault.
func (s *settings) fail(path, needs string) {
	if s.err == nil {
		s.err = &SettingError{Path: path, Value: s.values[path], Needs: needs}
	}
}

func (s *settings) has(path string) bool {
	v := s.values[path]
	return v != "" && v != "-"
}

// text returns a needed setting.
func (s *settings) text(path string) string {
	if !s.has(path) {
		s.fail(path, "given")
	}
	return s.values[path]
}

// number returns an optional number within bounds, zero if absent.
func (s *settings) number(path string, least, most float64) float64 {
	if !s.has(path) {
		return 0
	}
	n, err := strconv.ParseFloat(s.values[path], 64)
	if err != nil || !(n >= least && n <= most) { // NaN is neither
		s.fail(path, fmt.Sprintf("a number from %g to %g", least, most))
		return 0
	}
	return n
}

// count returns a needed whole number, of 1 at least.
func (s *settings) count(path string) int {
	s.text(path)
	n := s.number(path, 1, mostCount)
	if n != math.Trunc(n) {
		s.fail(path, "a whole number")
	}
	return int(n)
}

// seconds returns an optional time, and mustSeconds one that is needed and more than 0.
func (s *settings) seconds(path string) time.Duration {
	return seconds(s.number(path, 0, mostSeconds))
}

func (s *settings) mustSeconds(path string) time.Duration {
	s.text(path)
	d := s.seconds(path)
	if d <= 0 {
		s.fail(path, "more than 0 s")
	}
	return d
}

// flag returns an optional truth value.
func (s *settings) flag(path string) bool {
	switch v := s.values[path]; v {
	case "true", "1":
		return true
	case "", "-", "false", "0":
		return false
	default:
		s.fail(path, "true or false")
		return false
	}
}

// list returns a comma-joined list.
func (s *settings) list(path string) []string {
	v := s.values[path]
	if v == "" || v == "-" {
		return nil
	}
	return strings.Split(v, ",")
}

// word maps a setting's word to its typed value; the empty word stands for an absent setting.
func word[T any](s *settings, path string, words map[string]T) T {
	v, ok := words[s.values[path]]
	if !ok {
		s.fail(path, "one of "+strings.Join(slices.Sorted(maps.Keys(words)), ", "))
	}
	return v
}

var (
	needWords = map[string]routing.Consistency{"any": routing.ConsistencyAny, "bounded": routing.ConsistencyBounded,
		"session": routing.ConsistencySession, "fresh": routing.ConsistencyStrong, "write": routing.ConsistencyWrite}
	effectWords = map[string]routing.Effect{"repeatable": routing.Idempotent, "by_key": routing.IdempotentByKey, "once": routing.NonIdempotent}
	guardWords  = map[string]routing.StaleReadPolicy{"none": routing.StaleReadServed, "refuse": routing.StaleReadRejected, "wait": routing.StaleReadDelayed}
	roleWords   = map[string]routing.RoleSource{"": routing.RoleSourceNone, "none": routing.RoleSourceNone,
		"start": routing.RoleSourceInitial, "late": routing.RoleSourceDelayed}
	markWords      = map[string]bool{"": false, "carried": false, "remembered": true}
	scopeWords     = map[string]bool{"": false, "-": false, "cell": false, "all": true}
	discoveryWords = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

// config turns the pairs into the module's configuration.
func (s *settings) config() (routing.Config, error) {
	c := routing.Config{
		Gateways:          s.count("balancers"),
		Zone:              s.values["zone"],
		OverQuotaWeight:   s.number("overShareWorth", 0, mostNumber),
		Subscribe:         word(s, "discovery", discoveryWords),
		MaxPollInterval:   s.seconds("rules.askWithinS"),
		StaleReads:        word(s, "domain.guards", guardWords),
		CatchUpTimeout:    s.seconds("domain.catchUpWaitS"),
		Positions:         s.flag("domain.positions"),
		PositionEpoch:     seconds(s.number("domain.positionZeroS", -mostZero, mostZero)),
		LocalSessions:     word(s, "domain.writeMarks", markWords),
		RoleSource:        word(s, "domain.roleInList", roleWords),
		AllowCancel:       s.flag("policyLimits.mayCancel"),
		AllowHedging:      s.flag("policyLimits.mayDuplicate"),
		AllowHealthChecks: s.flag("policyLimits.probes"),
		MaxAttempts:       s.count("policyLimits.maxAttempts"),
		MaxRetryAfter:     s.seconds("policyLimits.maxRetryAfterS"),
		CrossZoneCost:     s.number("deductions.crossZone", -mostNumber, mostNumber),
		SlowStartCapacity: s.number("rules.coldFrom", 0, 1),
		SlowStartDuration: s.seconds("rules.coldS"),
		OverloadFactor:    s.number("rules.tipMultiple", 0, mostNumber),
		OverloadWindow:    s.seconds("rules.fallS"),
		UseRemovedMembers: s.flag("rules.onlyDrainingBinds"),
	}
	if !s.flag("policyLimits.retryAfter") {
		c.MaxRetryAfter = 0 // advice does not reach clients
	}
	needs, bounds := s.list("domain.needsByClass"), s.list("domain.classBoundS")
	n := s.count("classes.count")
	if s.err == nil && len(needs) != n {
		s.fail("domain.needsByClass", fmt.Sprintf("a list of %d needs, one for each class", n))
	}
	names := map[string]bool{}
	for i := 0; i < n && s.err == nil; i++ {
		k := s.class(i, needs[i], bounds)
		if names[k.Name] {
			s.fail(fmt.Sprintf("classes.%d.name", i), "a name that no class before has")
		}
		names[k.Name] = true
		c.Classes = append(c.Classes, k)
	}
	if c.SlowStartDuration > 0 && c.OverloadFactor <= 0 {
		s.fail("rules.tipMultiple", "more than 0 where rules.coldS is given")
	} else if c.SlowStartDuration > 0 && c.OverloadWindow <= 0 {
		s.fail("rules.fallS", "more than 0 where rules.coldS is given")
	}
	c.Tenants = s.tenants()
	return c, s.err
}

// class reads one class.
func (s *settings) class(i int, need string, bounds []string) routing.Class {
	p := fmt.Sprintf("classes.%d.", i)
	s.text(p + "points")
	c := routing.Class{
		Name:                s.text(p + "name"),
		LatencyObjective:    s.mustSeconds(p + "aimS"),
		ObjectiveWorkFactor: s.number(p+"aimStretch", 0, mostNumber),
		Deadline:            s.mustSeconds(p + "deadlineS"),
		PriorityWeight:      s.number(p+"points", 0, mostNumber),
		LateShare:           s.number(p+"lateWorth", 0, 1),
		Effect:              word(s, p+"repeat", effectWords),
		KeyIsGlobal:         word(s, p+"keyScope", scopeWords),
		IdempotencyTTL:      s.seconds(p + "keyTtlS"),
		Stream:              s.flag(p + "stream"),
	}
	var ok bool
	if c.Consistency, ok = needWords[need]; !ok {
		s.fail("domain.needsByClass", "a list of "+strings.Join(slices.Sorted(maps.Keys(needWords)), ", "))
	}
	if c.Consistency == routing.ConsistencyBounded {
		b := math.NaN()
		if i < len(bounds) {
			if x, err := strconv.ParseFloat(bounds[i], 64); err == nil {
				b = x
			}
		}
		if !(b >= 0 && b <= mostSeconds) {
			s.fail("domain.classBoundS", fmt.Sprintf("a list with the bound of class %d, %s: from 0 to %g s", i, c.Name, mostSeconds))
			return c
		}
		c.StalenessBound = seconds(b)
	}
	return c
}

// tenants reads the tenants: an object list with a count, or names alone.
func (s *settings) tenants() []routing.Tenant {
	if !s.has("realms.count") {
		var out []routing.Tenant
		for _, name := range s.list("realms") {
			out = append(out, routing.Tenant{Name: name})
		}
		return out
	}
	n := int(s.number("realms.count", 0, mostCount))
	var out []routing.Tenant
	for i := 0; i < n && s.err == nil; i++ {
		p := fmt.Sprintf("realms.%d.", i)
		out = append(out, routing.Tenant{Name: s.text(p + "name"), Quota: s.number(p+"quotaPerS", 0, mostNumber)})
	}
	return out
}
