package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/routing"
)

// wellFormed are settings of two classes and two tenants.
func wellFormed() map[string]string {
	return map[string]string{"balancers": "3", "classes.count": "2", "classes.0.name": "read", "classes.0.aimS": "0.2",
		"classes.0.deadlineS": "0.4", "classes.0.points": "1", "classes.0.repeat": "repeatable", "classes.1.name": "write",
		"classes.1.aimS": "0.3", "classes.1.deadlineS": "0.5", "classes.1.points": "6", "classes.1.lateWorth": "0.5",
		"classes.1.repeat": "by_key", "classes.1.keyScope": "cell", "classes.1.keyTtlS": "0.25", "discovery": "automatic",
		"domain.needsByClass": "bounded,write", "domain.classBoundS": "1.5,0", "domain.guards": "none", "domain.positions": "true",
		"domain.roleInList": "none", "domain.writeMarks": "carried", "domain.catchUpWaitS": "0.02", "domain.positionZeroS": "0",
		"policyLimits.maxAttempts": "6", "policyLimits.probes": "true", "policyLimits.mayCancel": "1", "policyLimits.mayDuplicate": "1",
		"policyLimits.retryAfter": "true", "policyLimits.maxRetryAfterS": "0.5", "realms.count": "2", "realms.0.name": "a",
		"realms.0.quotaPerS": "10", "realms.1.name": "b", "realms.1.quotaPerS": "0", "overShareWorth": "0.1", "rules.coldFrom": "0.26",
		"rules.coldS": "16", "rules.tipMultiple": "2.5", "rules.fallS": "1.5", "rules.askWithinS": "10"}
}

// TestAbsurdSettingsAreNamed has an error of its own type, which names the setting and what it has to be, for each absurd
// value. What may be left out has a default.
func TestAbsurdSettingsAreNamed(t *testing.T) {
	if _, err := Config(wellFormed()); err != nil {
		t.Fatal(err)
	}
	bad := map[string][]string{
		"balancers": {"", "0", "-1", "1.5", "NaN", "1e300", "many"}, "classes.count": {"", "0", "-2", "1e9", "Inf", "3", "1"},
		"classes.0.name": {""}, "classes.1.name": {"read", ""}, "classes.0.aimS": {"", "0", "-1", "NaN", "1e300", "x"},
		"classes.0.deadlineS": {"", "0", "-0.2", "Inf", "1e12"}, "classes.0.points": {"", "-1", "NaN"},
		"classes.1.lateWorth": {"1.1", "-0.1", "NaN"}, "classes.0.aimStretch": {"-1", "Inf"}, "classes.0.repeat": {"", "safe"},
		"classes.1.keyScope": {"zone", "Cell"}, "classes.1.keyTtlS": {"-1", "NaN", "1e18"}, "classes.0.stream": {"yes"},
		"discovery": {"poll"}, "domain.guards": {"", "strict"}, "domain.roleInList": {"now"}, "domain.writeMarks": {"lost"},
		"domain.needsByClass": {"", "any", "any,write,any", "some,write", "any,"}, "domain.classBoundS": {"", "-1,0", "NaN,0", "x,0", "1e9,0"},
		"domain.positionZeroS": {"1e300", "NaN"}, "policyLimits.maxAttempts": {"", "0", "-1", "1e20", "2.5"},
		"policyLimits.maxRetryAfterS": {"-1", "NaN"}, "realms.0.name": {""}, "realms.0.quotaPerS": {"-1", "NaN"}, "realms.count": {"-1", "3"},
		"rules.coldFrom": {"-0.1", "1.1", "NaN"}, "rules.coldS": {"-1", "1e300"}, "rules.tipMultiple": {"", "0", "-1", "NaN"},
		"rules.fallS": {"", "0", "-1", "Inf"}, "overShareWorth": {"-1", "NaN"}, "rules.askWithinS": {"-1", "NaN"},
	}
	for path, values := range bad {
		for _, v := range values {
			pairs := wellFormed()
			if pairs[path] = v; v == "" {
				delete(pairs, path)
			}
			_, err := Config(pairs)
			if fault := new(SettingError); !errors.As(err, &fault) || !strings.Contains(err.Error(), "has to be") {
				t.Errorf("%s=%q: %v", path, v, err)
			}
		}
	}
	for path, v := range map[string]string{"classes.0.points": "0", "classes.0.aimS": "9", "classes.1.keyTtlS": "0", "rules.coldFrom": "0",
		"rules.coldS": "0", "realms.0.quotaPerS": "0", "domain.classBoundS": "0,0", "domain.guards": "wait"} {
		pairs := wellFormed()
		pairs[path] = v
		if _, err := Config(pairs); err != nil {
			t.Errorf("%s=%s: %v", path, v, err)
		}
	}
}

// TestDrawnSettingsNeverStopAGateway replaces settings at random, by odd values and by each other's. What is taken has to
// serve: no panic, no send past a class's deadline, one answer to each request, and not over a thousand acts in a second.
func TestDrawnSettingsNeverStopAGateway(t *testing.T) {
	odd := []string{"", "-", "0", "1", "-1", "0.2", "1e-9", "0.000001", "3", "1e300", "NaN", "-Inf", "true", "read", "once", "by_key", "none", "late",
		"refuse", "subscribe", "remembered", "write,any", "any,fresh", "session,bounded", "0,0", "86400", "999999999"}
	paths := slices.Sorted(maps.Keys(wellFormed()))
	taken := 0
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 3))
		pairs := wellFormed()
		for range 1 + r.IntN(3) {
			v := odd[r.IntN(len(odd))]
			if r.IntN(3) == 0 {
				v = pairs[paths[r.IntN(len(paths))]]
			}
			pairs[paths[r.IntN(len(paths))]] = v
		}
		c, err := Config(pairs)
		if err != nil {
			if !errors.As(err, new(*SettingError)) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			continue
		}
		taken++
		var out bytes.Buffer
		w := NewWriter(&out)
		now := 100 * time.Second
		x, err := routing.New(now, c, seed, &Actions{Writer: w, Instance: "gateway/0"})
		if err != nil {
			t.Fatalf("seed %d: taken, and then %v", seed, err)
		}
		x.UpdateEndpoints(now, routing.EndpointList{Kind: routing.EndpointListStale, Endpoints: []routing.Endpoint{{Member: "a:1", Group: 1, StartedAt: 99 * time.Second},
			{Member: "b:1", Group: 1, Capacity: 1}}})
		asked := 0
		for range 100 {
			now += 10 * time.Millisecond
			for class, k := range c.Classes {
				asked++
				x.Request(now, routing.Request{ID: uint64(asked), Class: class, Tenant: class % (len(c.Tenants) + 1), Session: "s", Group: 1,
					Remaining: k.Deadline})
			}
			x.Timer(now, "sweep")
		}
		for range 500 {
			now += 20 * time.Millisecond
			x.Timer(now, "sweep")
		}
		w.End()
		if n := bytes.Count(out.Bytes(), []byte("\n")); n > 40*asked+600 {
			t.Errorf("seed %d: %d acts for %d requests (%v)", seed, n, asked, pairs)
		}
		if strings.Contains(out.String(), "NaN") || strings.Contains(out.String(), "Inf") {
			t.Errorf("seed %d: %s", seed, fmt.Sprint(pairs))
		}
	}
	if taken < 300 {
		t.Errorf("only %d settings were taken", taken)
	}
}
