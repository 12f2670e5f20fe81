package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"cranegate/internal/discovery"
)

// goldenOperator has every table and key of the operator's file except [settings].
const goldenOperator = `
[agent_check]
listen = "127.0.0.1:1"
[health]
listen = "127.0.0.1:2"
[admin]
listen = "127.0.0.1:3"
[limits]
cores = 1.5
memory_mb = 100
sockets = 200
[zones]
tiers = [["a"], ["b"]]
overprovision = 1.5
hold_ms = 301
ramp_ms = 3001
detect_only = true
[fleet]
fleet = "f"
name = "g"
listen = "127.0.0.1:4"
advertise = "127.0.0.1:5"
join = ["127.0.0.1:6"]
key_file = "KEY"
zone = "a"
[mysql]
listen = "127.0.0.1:7"
discovery = "127.0.0.1:8"
user = "u"
database = "d"
password_env = "P"
probe = "SHOW x"
prepare_aim_ms = 501
prepare_deadline_ms = 2001
[[mysql.host]]
uid = "db-1"
endpoint = "127.0.0.1:9"
az = "a"
pod_group = 3
state = "DRAINING"
capacity_hint = 2.5
boot_ms = 4
replication = "primary"
`

// TestOperatorForm pins the tables and keys of the operator's file.
func TestOperatorForm(t *testing.T) {
	dir := t.TempDir()
	key, path := filepath.Join(dir, "key"), filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(goldenOperator, "KEY", key, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := LoadOperator(path, &Settings{})
	if err != nil {
		t.Fatal(err)
	}
	for name, pair := range map[string][2]any{
		"agent_check": {o.AgentCheck, Listener{"127.0.0.1:1"}},
		"health":      {o.Health, Listener{"127.0.0.1:2"}},
		"admin":       {o.Admin, Listener{"127.0.0.1:3"}},
		"limits":      {o.Limits, Limits{Cores: 1.5, MemoryMB: 100, Sockets: 200}},
		"zones": {*o.Zones, Zones{Tiers: [][]string{{"a"}, {"b"}}, Overprovision: 1.5, RecoveryDelayMS: 301, RecoveryRampMS: 3001,
			DetectOnly: true}},
		"fleet": {*o.Fleet, Fleet{Fleet: "f", Name: "g", Listen: "127.0.0.1:4", Advertise: "127.0.0.1:5", Join: []string{"127.0.0.1:6"},
			KeyFile: key, Zone: "a", Keys: o.Fleet.Keys}},
		"keys": {len(o.Fleet.Keys), 1},
		"mysql": {*o.MySQL, MySQL{Listen: "127.0.0.1:7", Discovery: "127.0.0.1:8", User: "u", Database: "d", PasswordEnv: "P", HealthCheck: "SHOW x",
			PrepareObjectiveMS: 501, PrepareDeadlineMS: 2001, Hosts: []discovery.Target{{UID: "db-1", Endpoint: "127.0.0.1:9", Zone: "a", Group: 3,
				State: "DRAINING", Capacity: 2.5, BootMS: 4, Replication: "primary"}}}},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Errorf("%s: %+v, want %+v", name, pair[0], pair[1])
		}
	}
}
