package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cranegate/rules"
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
func Config(pairs map[string]string) (rules.Config, error) {
	return (&settings{values: pairs}).config()
}

func (s *settings) fail(path string, err error) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %w", path, err)
	}
}

func (s *settings) has(path string) bool { _, ok := s.values[path]; return ok }

// text returns a needed setting.
func (s *settings) text(path string) string {
	v, ok := s.values[path]
	if !ok {
		s.fail(path, fmt.Errorf("missing"))
	}
	return v
}

// number returns an optional number, zero if absent.
func (s *settings) number(path string) float64 {
	v, ok := s.values[path]
	if !ok || v == "-" || v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fail(path, err)
	}
	return n
}

// must returns a needed number.
func (s *settings) must(path string) float64 { s.text(path); return s.number(path) }

func (s *settings) seconds(path string) time.Duration     { return seconds(s.number(path)) }
func (s *settings) mustSeconds(path string) time.Duration { return seconds(s.must(path)) }

// flag returns an optional truth value.
func (s *settings) flag(path string) bool {
	switch v := s.values[path]; v {
	case "true", "1":
		return true
	case "", "-", "false", "0":
		return false
	default:
		s.fail(path, fmt.Errorf("%q is no truth value", v))
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
		s.fail(path, fmt.Errorf("unknown word %q", s.values[path]))
	}
	return v
}

var (
	needWords = map[string]rules.Need{"any": rules.NeedAny, "bounded": rules.NeedBounded,
		"session": rules.NeedSession, "fresh": rules.NeedFresh, "write": rules.NeedWrite}
	effectWords = map[string]rules.Effect{"repeatable": rules.Repeatable, "by_key": rules.Keyed, "once": rules.Once}
	guardWords  = map[string]rules.Guard{"none": rules.GuardNone, "refuse": rules.GuardRefuse, "wait": rules.GuardWait}
	roleWords   = map[string]rules.ListRole{"": rules.ListRoleNone, "none": rules.ListRoleNone,
		"start": rules.ListRoleStart, "late": rules.ListRoleLate}
	markWords      = map[string]bool{"": false, "carried": false, "remembered": true}
	discoveryWords = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

// config turns the pairs into the module's configuration.
func (s *settings) config() (rules.Config, error) {
	c := rules.Config{
		Gateways:          int(s.must("balancers")),
		Zone:              s.values["zone"],
		OverShareWorth:    s.number("overShareWorth"),
		Subscribe:         word(s, "discovery", discoveryWords),
		AskWithin:         s.seconds("rules.askWithinS"),
		Guards:            word(s, "domain.guards", guardWords),
		CatchUpWait:       s.seconds("domain.catchUpWaitS"),
		Positions:         s.flag("domain.positions"),
		PositionZero:      s.seconds("domain.positionZeroS"),
		Remembered:        word(s, "domain.writeMarks", markWords),
		ListRole:          word(s, "domain.roleInList", roleWords),
		MayCancel:         s.flag("policyLimits.mayCancel"),
		MayDuplicate:      s.flag("policyLimits.mayDuplicate"),
		MayProbe:          s.flag("policyLimits.probes"),
		MaxAttempts:       int(s.must("policyLimits.maxAttempts")),
		MaxComeBack:       s.seconds("policyLimits.maxRetryAfterS"),
		CrossZoneCost:     s.number("deductions.crossZone"),
		ColdFrom:          s.number("rules.coldFrom"),
		ColdFor:           s.seconds("rules.coldS"),
		TipMultiple:       s.number("rules.tipMultiple"),
		TipAfter:          s.seconds("rules.fallS"),
		OnlyDrainingBinds: s.flag("rules.onlyDrainingBinds"),
	}
	if !s.flag("policyLimits.retryAfter") {
		c.MaxComeBack = 0 // advice does not reach clients
	}
	needs, bounds := s.list("domain.needsByClass"), s.list("domain.classBoundS")
	n := int(s.must("classes.count"))
	if s.err == nil && len(needs) != n {
		s.fail("domain.needsByClass", fmt.Errorf("%d needs for %d classes", len(needs), n))
	}
	for i := 0; i < n && s.err == nil; i++ {
		c.Classes = append(c.Classes, s.class(i, needs[i], bounds))
	}
	c.Tenants = s.tenants()
	return c, s.err
}

// class reads one class.
func (s *settings) class(i int, need string, bounds []string) rules.Class {
	p := fmt.Sprintf("classes.%d.", i)
	c := rules.Class{
		Name:      s.text(p + "name"),
		Aim:       s.mustSeconds(p + "aimS"),
		Stretch:   s.number(p + "aimStretch"),
		Deadline:  s.mustSeconds(p + "deadlineS"),
		Worth:     s.must(p + "points"),
		LateWorth: s.number(p + "lateWorth"),
		Effect:    word(s, p+"repeat", effectWords),
		KeyAll:    s.values[p+"keyScope"] == "all",
		KeyTTL:    s.seconds(p + "keyTtlS"),
		Stream:    s.flag(p + "stream"),
	}
	var ok bool
	if c.Need, ok = needWords[need]; !ok {
		s.fail("domain.needsByClass", fmt.Errorf("unknown need %q", need))
	}
	if c.Need == rules.NeedBounded {
		if i >= len(bounds) {
			s.fail("domain.classBoundS", fmt.Errorf("no bound for class %d", i))
			return c
		}
		b, err := strconv.ParseFloat(bounds[i], 64)
		if err != nil {
			s.fail("domain.classBoundS", err)
		}
		c.Bound = seconds(b)
	}
	return c
}

// tenants reads the tenants: an object list with a count, or names alone.
func (s *settings) tenants() []rules.Tenant {
	if !s.has("realms.count") {
		var out []rules.Tenant
		for _, name := range s.list("realms") {
			out = append(out, rules.Tenant{Name: name})
		}
		return out
	}
	n := int(s.number("realms.count"))
	var out []rules.Tenant
	for i := 0; i < n && s.err == nil; i++ {
		p := fmt.Sprintf("realms.%d.", i)
		out = append(out, rules.Tenant{Name: s.text(p + "name"), Quota: s.number(p + "quotaPerS")})
	}
	return out
}
