package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestZonesTable reads the table zones, and checks that errors name the fault.
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
	if o := (&Zones{RecoveryDelayMS: 500, Tiers: [][]string{{"a"}}}).Options("x"); o.RecoveryDelay != 500*time.Millisecond || o.OwnZone != "x" || len(o.Tiers) != 1 {
		t.Errorf("%+v", o)
	}
}

// TestInvalidFiles checks that incomplete and malformed files are errors.
func TestInvalidFiles(t *testing.T) {
	for _, text := range []string{"", "{}", `{"seed":"x"}`, `{"seed":"1","settings":{"balancers":1}}`} {
		if _, err := parse([]byte(text), noEnv); err == nil {
			t.Errorf("%q is accepted", text)
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
