package config

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// Operator is the content of the operator's file, which adds to the platform's configuration.
type Operator struct {
	MySQL      *MySQL   `toml:"mysql"`
	AgentCheck Listener `toml:"agent_check"` // for HAProxy's agent-check
	Health     Listener `toml:"health"`      // for health checks over HTTP
	Limits     Limits   `toml:"limits"`      // where the platform gives none
	Zones      *Zones   `toml:"zones"`       // nil if zone outages are not detected
	Fleet      *Fleet   `toml:"fleet"`       // nil if the gateway does not join the other gateways
	Admin      Listener `toml:"admin"`       // for the command "cranegate members"; only on loopback

	RawSettings map[string]any `toml:"settings"`
	Settings    *Settings      `toml:"-"` // from RawSettings or, if that is nil, from the platform; nil if neither has settings
	Seed        uint64         `toml:"-"` // random
}

// Listener is an address to listen on, empty for none.
type Listener struct {
	Listen string `toml:"listen"`
}

// settingsTable is the table of the operator's file in which unknown keys are allowed.
const settingsTable = "settings"

// LoadOperator reads the operator's file. Its settings have the same names as the platform's. The file may omit them if platform is
// not nil.
func LoadOperator(path string, platform *Settings) (*Operator, error) {
	operator := &Operator{Settings: platform}
	meta, err := toml.DecodeFile(path, operator)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	for _, key := range meta.Undecoded() {
		if key[0] != settingsTable { // settings are read by their paths, and unknown ones are ignored
			return nil, fmt.Errorf("reading the operator's file: unknown key %s", key)
		}
	}
	operator.Seed = randomSeed()
	if operator.RawSettings != nil {
		s, err := ReadSettings(operator.RawSettings)
		if err != nil {
			return nil, fmt.Errorf("reading the operator's settings: %w", err)
		}
		operator.Settings = &s
	}
	if err := operator.check(); err != nil {
		return nil, err
	}
	if operator.MySQL == nil {
		return operator, nil
	}
	return operator, operator.MySQL.check(operator.Settings)
}

// check checks all tables except MySQL's, and sets their defaults.
func (o *Operator) check() error {
	if o.Zones != nil {
		if err := o.Zones.Options("").Check(); err != nil {
			return fmt.Errorf("reading the operator's file: zones: %w", err)
		}
	}
	if o.Admin.Listen != "" {
		address, err := netip.ParseAddrPort(o.Admin.Listen)
		if err != nil || !address.Addr().IsLoopback() {
			return fmt.Errorf("reading the operator's file: admin: %q is no address and port on loopback", o.Admin.Listen)
		}
	}
	if o.Fleet != nil {
		if err := o.Fleet.check(o.Settings); err != nil {
			return fmt.Errorf("reading the operator's file: fleet: %w", err)
		}
	}
	return nil
}

func randomSeed() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}
