package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"cranegate/internal/simwire"
	"cranegate/routing"
)

// noEnv is an empty environment.
func noEnv(string) string { return "" }

// TestExamplesLoad reads the configuration files in the folders examples and deploy.
func TestExamplesLoad(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	env := func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.1:1"}[name] }
	p, err := parse(text, env)
	if err != nil {
		t.Fatal(err)
	}
	c := p.Settings.Routing
	if p.Listen != "127.0.0.1:1" || p.Seed != 0x8c1f30d27a5be964 || len(p.Endpoints.Targets) != 3 || p.Limits.Sockets != 1024 {
		t.Errorf("%+v", p)
	}
	if len(c.Classes) != 5 || c.Classes[4].Effect != routing.NonIdempotent || c.Classes[0].StalenessBound != 3*time.Second || c.StaleReads != routing.StaleReadDelayed {
		t.Errorf("%+v", c)
	}
	if p.Settings.HostIdleTimeout != 30*time.Second || p.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v", p.Settings)
	}
	if _, err := LoadOperator("../../examples/operator.toml", &p.Settings); err != nil {
		t.Error(err)
	}
	o, err := LoadOperator("../../deploy/operator.toml", nil)
	if err != nil || len(o.Settings.Routing.Classes) != 5 || o.MySQL.HealthCheck != "SHOW pressure" || o.MySQL.Hosts[0].State != "SERVING" {
		t.Errorf("%+v, %v", o, err)
	}
}

// TestReloadOverridesEnvironment checks that a reloaded file's discovery address takes precedence over the environment, which still has
// the address from the start. If the file has no address, the environment's applies.
func TestReloadOverridesEnvironment(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	env := func(name string) string {
		return map[string]string{"PROXY_DISCOVERY": "127.0.0.1:1", "PROXY_LISTEN": "127.0.0.1:2"}[name]
	}
	first, err := parse(text, env)
	if err != nil || first.Discovery != "127.0.0.1:1" {
		t.Fatalf("at the start: %+v, %v", first, err)
	}
	reloaded, err := reparse(text, env)
	if err != nil || reloaded.Discovery == first.Discovery || reloaded.Listen != "127.0.0.1:2" {
		t.Errorf("at a reload: %+v, %v", reloaded, err)
	}
	withoutAddress := strings.Replace(string(text), reloaded.Discovery, "", 1)
	if p, err := reparse([]byte(withoutAddress), env); err != nil || p.Discovery != first.Discovery {
		t.Errorf("without an address: %+v, %v", p, err)
	}
	if _, err := reparse([]byte(strings.Replace(string(text), reloaded.Discovery, "nowhere", 1)), env); err == nil {
		t.Error("an invalid address is accepted")
	}
}

// TestOutOfRangeNumbers checks that timeouts and limits out of range are errors. For a setting the error is a simwire.SettingError.
func TestOutOfRangeNumbers(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"policyLimits.connectTimeoutS", "policyLimits.idleCloseS", "rules.answerSlackS", "limits.cores", "limits.sockets"} {
		for _, value := range []any{"NaN", "-Inf", -1, 1e300} {
			var all map[string]any
			if err := json.Unmarshal(text, &all); err != nil {
				t.Fatal(err)
			}
			table, name, _ := strings.Cut(path, ".")
			object, _ := all["settings"].(map[string]any)
			if table == "limits" {
				object = all
			}
			if object[table] == nil {
				object[table] = map[string]any{}
			}
			object[table].(map[string]any)[name] = value
			modified, err := json.Marshal(all)
			if err != nil {
				t.Fatal(err)
			}
			_, err = parse(modified, noEnv)
			if settingError := new(simwire.SettingError); err == nil || table != "limits" && !errors.As(err, &settingError) {
				t.Errorf("%s = %v: %v", path, value, err)
			}
		}
	}
}
