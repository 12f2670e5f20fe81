// Package config reads the gateway's configuration: the platform's, in JSON, and the operator's file, in TOML. The keys of both are
// external interfaces. Where a key differs from the gateway's term, the type that its table is read into says what the key means.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"cranegate/internal/discovery"
	"cranegate/internal/simwire"
)

// Environment variables that take precedence over the platform's file.
const (
	nameVariable      = "PROXY_NAME"
	listenVariable    = "PROXY_LISTEN"
	adminVariable     = "PROXY_ADMIN"
	discoveryVariable = "PROXY_DISCOVERY"
)

// Limits are the platform's limits on this gateway. 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// Platform is the platform's configuration. Its key "known" holds Endpoints, the list of database hosts to start with.
type Platform struct {
	Name, Listen, Discovery string
	Admin                   string // the address to listen on for calls of staff, empty for none
	Seed                    uint64
	Limits                  Limits
	Endpoints               discovery.Snapshot
	Settings                Settings
}

// Load reads the platform's configuration. For Name, Listen, Admin and Discovery the environment takes precedence over the file.
func Load(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return parse(text, os.Getenv)
}

// Reload reads a platform's configuration that was replaced while the program runs. Its discovery address takes precedence over the
// environment's, which is still the one from the start.
func Reload(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return reparse(text, os.Getenv)
}

// reparse parses a reloaded configuration, in which a discovery address takes precedence over the environment's.
func reparse(text []byte, env func(string) string) (*Platform, error) {
	p, err := parse(text, func(name string) string {
		if name == discoveryVariable {
			return ""
		}
		return env(name)
	})
	if err == nil && p.Discovery == "" {
		p.Discovery = env(discoveryVariable)
	}
	return p, err
}

func parse(text []byte, env func(string) string) (*Platform, error) {
	var file struct {
		Name, Listen, Discovery, Admin, Seed string
		Limits                               Limits
		Known                                discovery.Snapshot
		Settings                             map[string]any
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&file); err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	platform := &Platform{Limits: file.Limits, Endpoints: file.Known}
	platform.Name = orEnv(file.Name, env(nameVariable))
	platform.Listen = orEnv(file.Listen, env(listenVariable))
	platform.Admin = orEnv(file.Admin, env(adminVariable))
	platform.Discovery = orEnv(file.Discovery, env(discoveryVariable))
	var err error
	if platform.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("reading the seed: %w", err)
	}
	if err := platform.Limits.check(); err != nil {
		return nil, fmt.Errorf("reading the limits: %w", err)
	}
	if platform.Settings, err = ReadSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	if platform.Discovery != "" {
		if _, _, err := net.SplitHostPort(platform.Discovery); err != nil {
			return nil, fmt.Errorf("reading discovery: %w", err)
		}
	}
	return platform, nil
}

// orEnv returns the environment's value or, if that is empty, the file's.
func orEnv(file, environment string) string {
	if environment != "" {
		return environment
	}
	return file
}

// maxLimit bounds each of the Limits.
const maxLimit = 1e9

// check returns a *simwire.SettingError for the first limit that is out of range.
func (l Limits) check() error {
	for _, limit := range []struct {
		path  string
		value float64
	}{
		{"limits.cores", l.Cores},
		{"limits.memory_mb", float64(l.MemoryMB)},
		{"limits.sockets", float64(l.Sockets)},
	} {
		inRange := limit.value >= 0 && limit.value <= maxLimit // false for NaN
		if !inRange {
			return &simwire.SettingError{Path: limit.path, Value: fmt.Sprint(limit.value), Needs: "0 for none, or a number up to a billion"}
		}
	}
	return nil
}
