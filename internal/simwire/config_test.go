package simwire

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/routing"
)

// validSettings returns settings of two classes and two tenants.
func validSettings() map[string]string {
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

// TestInvalidSettings checks that each invalid or missing value gives a SettingError, which says what the setting has to be, and that
// further valid values, such as 0 where it is allowed, are accepted.
func TestInvalidSettings(t *testing.T) {
	if _, err := Config(validSettings()); err != nil {
		t.Fatal(err)
	}
	invalid := map[string][]string{
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
	for path, values := range invalid {
		for _, value := range values {
			settings := validSettings()
			settings[path] = value
			if value == "" {
				delete(settings, path)
			}
			_, err := Config(settings)
			if settingError := new(SettingError); !errors.As(err, &settingError) || !strings.Contains(err.Error(), "has to be") {
				t.Errorf("%s=%q: %v", path, value, err)
			}
		}
	}
	for path, value := range map[string]string{"classes.0.points": "0", "classes.0.aimS": "9", "classes.1.keyTtlS": "0", "rules.coldFrom": "0",
		"rules.coldS": "0", "realms.0.quotaPerS": "0", "domain.classBoundS": "0,0", "domain.guards": "wait"} {
		settings := validSettings()
		settings[path] = value
		if _, err := Config(settings); err != nil {
			t.Errorf("%s=%s: %v", path, value, err)
		}
	}
}

// TestRandomSettings replaces settings at random, by unusual values and by values of other settings. A router with settings that are
// accepted has to work: no panic, no NaN, and a bounded number of actions for each request.
func TestRandomSettings(t *testing.T) {
	values := []string{"", "-", "0", "1", "-1", "0.2", "1e-9", "0.000001", "3", "1e300", "NaN", "-Inf", "true", "read", "once", "by_key", "none", "late",
		"refuse", "subscribe", "remembered", "write,any", "any,fresh", "session,bounded", "0,0", "86400", "999999999"}
	paths := slices.Sorted(maps.Keys(validSettings()))
	accepted := 0
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		settings := validSettings()
		for range 1 + rng.IntN(3) {
			value := values[rng.IntN(len(values))]
			if rng.IntN(3) == 0 {
				value = settings[paths[rng.IntN(len(paths))]]
			}
			settings[paths[rng.IntN(len(paths))]] = value
		}
		config, err := Config(settings)
		if err != nil {
			if !errors.As(err, new(*SettingError)) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			continue
		}
		accepted++
		reply, requests := runRouter(t, config, seed)
		if actions := strings.Count(reply, "\n"); actions > 40*requests+600 {
			t.Errorf("seed %d: %d actions for %d requests (%v)", seed, actions, requests, settings)
		}
		if strings.Contains(reply, "NaN") || strings.Contains(reply, "Inf") {
			t.Errorf("seed %d: %v", seed, settings)
		}
	}
	if accepted < 300 {
		t.Errorf("only %d sets of settings were accepted", accepted)
	}
}

// runRouter runs a router for a second with requests and ten seconds without. It returns the router's actions as text, and the number of
// requests.
func runRouter(t *testing.T, config routing.Config, seed uint64) (reply string, requests int) {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	now := 100 * time.Second
	router, err := routing.New(now, config, seed, &Actions{Writer: w, Instance: "gateway/0"})
	if err != nil {
		t.Fatalf("seed %d: the settings are accepted, but the router returns %v", seed, err)
	}
	router.UpdateEndpoints(now, routing.EndpointList{Kind: routing.EndpointListStale, Endpoints: []routing.Endpoint{
		{Member: "a:1", Group: 1, StartedAt: 99 * time.Second}, {Member: "b:1", Group: 1, Capacity: 1}}})
	for range 100 {
		now += 10 * time.Millisecond
		for i, class := range config.Classes {
			requests++
			router.Request(now, routing.Request{ID: uint64(requests), Class: i, Tenant: i % (len(config.Tenants) + 1), Session: "s", Group: 1,
				Remaining: class.Deadline})
		}
		router.Timer(now, "sweep")
	}
	for range 500 {
		now += 20 * time.Millisecond
		router.Timer(now, "sweep")
	}
	w.End()
	return out.String(), requests
}
