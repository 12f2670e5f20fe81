package simwire

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"cranegate/routing"
)

// Config maps settings, by their paths in the simulator's protocol, to the router's configuration. The tables below map the words of
// settings to the gateway's terms; the methods config, class and tenants map the paths. A gateway on sockets reads the same settings
// from its configuration file. The error is a *SettingError for the first setting that is missing or invalid.
func Config(values map[string]string) (routing.Config, error) {
	return (&settings{values: values}).config()
}

var consistencyByWord = map[string]routing.Consistency{
	"any":     routing.ConsistencyAny,
	"bounded": routing.ConsistencyBounded,
	"session": routing.ConsistencySession,
	"fresh":   routing.ConsistencyStrong,
	"write":   routing.ConsistencyWrite,
}

var effectByWord = map[string]routing.Effect{
	"repeatable": routing.Idempotent,
	"by_key":     routing.IdempotentByKey,
	"once":       routing.NonIdempotent,
}

var staleReadPolicyByWord = map[string]routing.StaleReadPolicy{
	"none":   routing.StaleReadServed,
	"refuse": routing.StaleReadRejected,
	"wait":   routing.StaleReadDelayed,
}

var roleSourceByWord = map[string]routing.RoleSource{
	"":      routing.RoleSourceNone,
	"none":  routing.RoleSourceNone,
	"start": routing.RoleSourceInitial,
	"late":  routing.RoleSourceDelayed,
}

var localSessionsByWord = map[string]bool{"": false, "carried": false, "remembered": true}

var keyIsGlobalByWord = map[string]bool{"": false, absent: false, "cell": false, "all": true}

var subscribeByWord = map[string]bool{"": false, "automatic": false, "subscribe": true}

// Paths that occur more than once.
const (
	pathConsistencies     = "domain.needsByClass"
	pathStalenessBounds   = "domain.classBoundS"
	pathOverloadFactor    = "rules.tipMultiple"
	pathOverloadWindow    = "rules.fallS"
	pathSlowStartDuration = "rules.coldS"
	pathTenants           = "realms"
	pathTenantCount       = "realms.count"
)

// config maps the settings to the router's configuration.
func (s *settings) config() (routing.Config, error) {
	config := routing.Config{
		Gateways:          s.count("balancers"),
		Zone:              s.values["zone"],
		OverQuotaWeight:   s.number("overShareWorth", 0, maxNumber),
		Subscribe:         word(s, "discovery", subscribeByWord),
		MaxPollInterval:   s.seconds("rules.askWithinS"),
		StaleReads:        word(s, "domain.guards", staleReadPolicyByWord),
		CatchUpTimeout:    s.seconds("domain.catchUpWaitS"),
		Positions:         s.flag("domain.positions"),
		PositionEpoch:     seconds(s.number("domain.positionZeroS", -maxPositionZeroSeconds, maxPositionZeroSeconds)),
		LocalSessions:     word(s, "domain.writeMarks", localSessionsByWord),
		RoleSource:        word(s, "domain.roleInList", roleSourceByWord),
		AllowCancel:       s.flag("policyLimits.mayCancel"),
		AllowHedging:      s.flag("policyLimits.mayDuplicate"),
		AllowHealthChecks: s.flag("policyLimits.probes"),
		MaxAttempts:       s.count("policyLimits.maxAttempts"),
		MaxRetryAfter:     s.seconds("policyLimits.maxRetryAfterS"),
		CrossZoneCost:     s.number("deductions.crossZone", -maxNumber, maxNumber),
		SlowStartCapacity: s.number("rules.coldFrom", 0, 1),
		SlowStartDuration: s.seconds(pathSlowStartDuration),
		OverloadFactor:    s.number(pathOverloadFactor, 0, maxNumber),
		OverloadWindow:    s.seconds(pathOverloadWindow),
		UseRemovedMembers: s.flag("rules.onlyDrainingBinds"),
	}
	if !s.flag("policyLimits.retryAfter") {
		config.MaxRetryAfter = 0 // clients then get no Retry-After
	}
	config.Classes = s.classes()
	if config.SlowStartDuration > 0 {
		if config.OverloadFactor <= 0 {
			s.fail(pathOverloadFactor, "more than 0 where "+pathSlowStartDuration+" is given")
		} else if config.OverloadWindow <= 0 {
			s.fail(pathOverloadWindow, "more than 0 where "+pathSlowStartDuration+" is given")
		}
	}
	config.Tenants = s.tenants()
	return config, s.err
}

// classes reads the classes up to the first error.
func (s *settings) classes() []routing.Class {
	consistencies := s.list(pathConsistencies)
	stalenessBounds := s.list(pathStalenessBounds)
	count := s.count("classes.count")
	if s.err == nil && len(consistencies) != count {
		s.fail(pathConsistencies, fmt.Sprintf("a list of %d needs, one for each class", count))
	}
	var classes []routing.Class
	names := map[string]bool{}
	for i := 0; i < count && s.err == nil; i++ {
		class := s.class(i, consistencies[i], stalenessBounds)
		if names[class.Name] {
			s.fail(fmt.Sprintf("classes.%d.name", i), "a name that no class before has")
		}
		names[class.Name] = true
		classes = append(classes, class)
	}
	return classes
}

// class reads the class with index i. The word of its consistency and its staleness bound come from lists with a value for each class.
func (s *settings) class(i int, consistency string, stalenessBounds []string) routing.Class {
	prefix := fmt.Sprintf("classes.%d.", i)
	s.required(prefix + "points")
	class := routing.Class{
		Name:                s.required(prefix + "name"),
		LatencyObjective:    s.positiveSeconds(prefix + "aimS"),
		ObjectiveWorkFactor: s.number(prefix+"aimStretch", 0, maxNumber),
		Deadline:            s.positiveSeconds(prefix + "deadlineS"),
		PriorityWeight:      s.number(prefix+"points", 0, maxNumber),
		LateShare:           s.number(prefix+"lateWorth", 0, 1),
		Effect:              word(s, prefix+"repeat", effectByWord),
		KeyIsGlobal:         word(s, prefix+"keyScope", keyIsGlobalByWord),
		IdempotencyTTL:      s.seconds(prefix + "keyTtlS"),
		Stream:              s.flag(prefix + "stream"),
	}
	var ok bool
	if class.Consistency, ok = consistencyByWord[consistency]; !ok {
		s.fail(pathConsistencies, "a list of "+strings.Join(slices.Sorted(maps.Keys(consistencyByWord)), ", "))
	}
	if class.Consistency != routing.ConsistencyBounded {
		return class
	}
	bound, ok := stalenessBound(i, stalenessBounds)
	if !ok {
		s.fail(pathStalenessBounds, fmt.Sprintf("a list with the bound of class %d, %s: from 0 to %g s", i, class.Name, maxSeconds))
		return class
	}
	class.StalenessBound = seconds(bound)
	return class
}

// stalenessBound returns the bound of the class with index i, in seconds. It reports false if the bound is missing or out of range.
func stalenessBound(i int, bounds []string) (bound float64, ok bool) {
	if i >= len(bounds) {
		return 0, false
	}
	bound, err := strconv.ParseFloat(bounds[i], 64)
	if err != nil || math.IsNaN(bound) {
		return 0, false
	}
	return bound, bound >= 0 && bound <= maxSeconds
}

// tenants reads the tenants, which are a list of objects with a count or a list of names.
func (s *settings) tenants() []routing.Tenant {
	var tenants []routing.Tenant
	if !s.has(pathTenantCount) {
		for _, name := range s.list(pathTenants) {
			tenants = append(tenants, routing.Tenant{Name: name})
		}
		return tenants
	}
	count := int(s.number(pathTenantCount, 0, maxCount))
	for i := 0; i < count && s.err == nil; i++ {
		prefix := fmt.Sprintf("%s.%d.", pathTenants, i)
		tenants = append(tenants, routing.Tenant{Name: s.required(prefix + "name"), Quota: s.number(prefix+"quotaPerS", 0, maxNumber)})
	}
	return tenants
}
