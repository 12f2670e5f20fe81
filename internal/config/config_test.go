package config

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranegate/internal/simwire"
	"cranegate/routing"
)

func noEnv(string) string { return "" }

// TestZonesTable reads the operator's table for zones and names its faults.
func TestZonesTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	for text, want := range map[string]string{
		"":          "",
		"[zones]\n": "",
		"[zones]\ntiers = [[\"a\"], [\"b\", \"c\"]]\nhold_ms = 500\nramp_ms = 2000\noverprovision = 1.2\n": "",
		"[zones]\ntiers = [[\"a\"], [\"a\"]]\n": "zone \"a\", which has been named before",
		"[zones]\noverprovision = 0.9\n":        "overprovision 0.9",
		"[zones]\nhold_ms = -1\n":               "hold -1ms",
		"[zones]\nramp_ms = 61000\n":            "ramp 1m1s",
		"[zones]\ntier = 1\n":                   "unknown key zones.tier",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := LoadOperator(path, nil)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err == nil && (o.Zones.Options("x") == nil) != (text == "") {
			t.Errorf("%q: %+v", text, o.Zones)
		}
	}
	if o := (&Zones{HoldMS: 500, Tiers: [][]string{{"a"}}}).Options("x"); o.RecoveryDelay != 500*time.Millisecond || o.OwnZone != "x" || len(o.Tiers) != 1 {
		t.Errorf("%+v", o)
	}
}

// TestFleetTable reads the table of the other gateways and the admin listener, and names their faults.
func TestFleetTable(t *testing.T) {
	dir := t.TempDir()
	path, key := filepath.Join(dir, "operator.toml"), filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	sealed := "key_file = \"" + key + "\"\n"
	for text, want := range map[string]string{
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n":                                                 "",
		"name = \"g\"\nlisten = \"0.0.0.0:7946\"\nadvertise = \"10.0.0.1:7946\"\n" + sealed:           "",
		"name = \"g\"\nlisten = \"10.0.0.1:7946\"\njoin = [\"10.0.0.2:7946\"]\n":                      "key_file is needed",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\njoin = [\"10.0.0.2:7946\"]\n":                     "key_file is needed",
		"name = \"g\"\nlisten = \"0.0.0.0:7946\"\n" + sealed:                                          "nobody can be reached",
		"listen = \"127.0.0.1:7946\"\n":                                                               "name is missing",
		"name = \"g\"\nlisten = \"here\"\n":                                                           "no address and port",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"/none\"\n":                           "reading the keys",
		"name = \"" + strings.Repeat("g", 65) + "\"\nlisten = \"127.0.0.1:7946\"\n":                   "longer than 64",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\nseeds = []\n":                                     "unknown key fleet.seeds",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n[admin]\nlisten = \"0.0.0.0:80\"\n":               "no address and port on loopback",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n[admin]\nlisten = \"127.0.0.1:17\"\n" + "#" + key: "",
	} {
		if err := os.WriteFile(path, []byte("[fleet]\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := LoadOperator(path, nil)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err == nil && (o.Fleet.Fleet != "cranegate" || o.Fleet.Advertise == "" || len(o.Fleet.Keys) > 0 != strings.Contains(text, sealed)) {
			t.Errorf("%q: %+v", text, o.Fleet)
		}
	}
}

// TestExamplesLoad guards the configurations that newcomers and operators start from.
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
	if p.Settings.IdleClose != 30*time.Second || p.Settings.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("%+v", p.Settings)
	}
	if _, err := LoadOperator("../../examples/operator.toml", &p.Settings); err != nil {
		t.Error(err)
	}
	o, err := LoadOperator("../../deploy/operator.toml", nil)
	if err != nil || len(o.Settings.Routing.Classes) != 5 || o.MySQL.Probe != "SHOW pressure" || o.MySQL.Hosts[0].State != "SERVING" {
		t.Errorf("%+v, %v", o, err)
	}
}

// TestFaultsAreNamed guards against a start with half a configuration.
func TestFaultsAreNamed(t *testing.T) {
	for _, text := range []string{"", "{}", `{"seed":"x"}`, `{"seed":"1","settings":{"balancers":1}}`} {
		if _, err := parse([]byte(text), noEnv); err == nil {
			t.Errorf("%q passes", text)
		}
	}
	for text, want := range map[string]string{"[mysql]\nlissen = 'x'": "lissen", "[mysql]\n": "listen",
		"[mysql]\nlisten = 'x'": "settings", "[": "operator"} {
		path := filepath.Join(t.TempDir(), "o.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadOperator(path, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestReloadedDiscoveryWins guards a reload against the environment, which still names the address of the start; a
// file that names none leaves that in force.
func TestReloadedDiscoveryWins(t *testing.T) {
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
	again, err := reparse(text, env)
	if err != nil || again.Discovery == first.Discovery || again.Listen != "127.0.0.1:2" {
		t.Errorf("at a reload: %+v, %v", again, err)
	}
	none := strings.Replace(string(text), again.Discovery, "", 1)
	if p, err := reparse([]byte(none), env); err != nil || p.Discovery != first.Discovery {
		t.Errorf("without an address: %+v, %v", p, err)
	}
	if _, err := reparse([]byte(strings.Replace(string(text), again.Discovery, "nowhere", 1)), env); err == nil {
		t.Error("a wrong address passes")
	}
}

// TestAbsurdNumbersAreNamed has waits and limits that can't be: each is a fault of its own type with what to do.
func TestAbsurdNumbersAreNamed(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"policyLimits.connectTimeoutS", "policyLimits.idleCloseS", "rules.answerSlackS", "limits.cores", "limits.sockets"} {
		for _, v := range []any{"NaN", "-Inf", -1, 1e300} {
			var all map[string]any
			if err := json.Unmarshal(text, &all); err != nil {
				t.Fatal(err)
			}
			at, name, _ := strings.Cut(path, ".")
			in, _ := all["settings"].(map[string]any)
			if at == "limits" {
				in = all
			}
			if in[at] == nil {
				in[at] = map[string]any{}
			}
			in[at].(map[string]any)[name] = v
			spoilt, err := json.Marshal(all)
			if err != nil {
				t.Fatal(err)
			}
			_, err = parse(spoilt, noEnv)
			if fault := new(simwire.SettingError); err == nil || at != "limits" && !errors.As(err, &fault) {
				t.Errorf("%s = %v: %v", path, v, err)
			}
		}
	}
}
