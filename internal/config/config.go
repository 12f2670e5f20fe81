// Package config reads what the gateway is told: the platform's configuration and the operator's file.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/simwire"
	"cranegate/routing"
)

const discoveryVariable = "PROXY_DISCOVERY"

// Limits are the platform's limits on this gateway.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// Settings are the rules' configuration and what else the settings hold for a gateway on sockets.
type Settings struct {
	Routing        routing.Config
	ConnectTimeout time.Duration
	IdleClose      time.Duration // database hosts close idle connections after this at the latest
	AnswerSlack    time.Duration
}

// Platform is the platform's configuration.
type Platform struct {
	Name, Listen, Discovery string
	Admin                   string // the second address; empty: none
	Seed                    uint64
	Limits                  Limits
	Endpoints               discovery.Snapshot
	Settings                Settings
}

// Load reads the platform's configuration. Listen, Discovery and Name come from the environment where set.
func Load(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return parse(text, os.Getenv)
}

// Reload reads a platform's configuration that has been replaced while the program runs. Its discovery is newer
// than that of the environment, which stays as it was at the start.
func Reload(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return reparse(text, os.Getenv)
}

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
	var in struct {
		Name, Listen, Discovery, Admin, Seed string
		Limits                               Limits
		Known                                discovery.Snapshot
		Settings                             map[string]any
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	p := &Platform{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Admin: in.Admin, Limits: in.Limits, Endpoints: in.Known}
	for name, to := range map[string]*string{"PROXY_NAME": &p.Name, "PROXY_LISTEN": &p.Listen,
		"PROXY_ADMIN": &p.Admin, discoveryVariable: &p.Discovery} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	var err error
	if p.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("reading the seed: %w", err)
	}
	if err := p.Limits.check(); err != nil {
		return nil, fmt.Errorf("reading the limits: %w", err)
	}
	if p.Settings, err = ReadSettings(in.Settings); err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	if p.Discovery != "" {
		if _, _, err := net.SplitHostPort(p.Discovery); err != nil {
			return nil, fmt.Errorf("reading discovery: %w", err)
		}
	}
	return p, nil
}

// mostWait is how long connects, rests of connections and slack may be at most, in seconds: an hour.
const mostWait = 3600.0

// check says which limit can't be one.
func (l Limits) check() error {
	for _, x := range []struct {
		path string
		n    float64
	}{{"limits.cores", l.Cores}, {"limits.memory_mb", float64(l.MemoryMB)}, {"limits.sockets", float64(l.Sockets)}} {
		if !(x.n >= 0 && x.n <= 1e9) {
			return &simwire.SettingError{Path: x.path, Value: fmt.Sprint(x.n), Needs: "0 for none, or a number up to a billion"}
		}
	}
	return nil
}

// ReadSettings reads the nested object of settings, named as on the simulator's wire.
func ReadSettings(in map[string]any) (Settings, error) {
	pairs := map[string]string{}
	flatten(pairs, "", in)
	var s Settings
	var err error
	if s.Routing, err = simwire.Config(pairs); err != nil {
		return s, err
	}
	for path, to := range map[string]*time.Duration{"policyLimits.connectTimeoutS": &s.ConnectTimeout,
		"policyLimits.idleCloseS": &s.IdleClose, "rules.answerSlackS": &s.AnswerSlack} {
		x, err := strconv.ParseFloat(pairs[path], 64)
		if err != nil || !(x > 0 && x <= mostWait) { // NaN is neither
			return s, &simwire.SettingError{Path: path, Value: pairs[path], Needs: fmt.Sprintf("more than 0 and at most %g s", mostWait)}
		}
		*to = time.Duration(x * float64(time.Second))
	}
	return s, nil
}

// flatten turns nested settings into paths and values, as they stand on the simulator's wire: lists of plain
// values are joined with commas, lists of objects put their length under .count.
func flatten(pairs map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, x := range v {
			flatten(pairs, strings.TrimPrefix(path+"."+name, "."), x)
		}
	case []map[string]any:
		objects := make([]any, len(v))
		for i, x := range v {
			objects[i] = x
		}
		flatten(pairs, path, objects)
	case []any:
		var plain []string
		for i, x := range v {
			if o, ok := x.(map[string]any); ok {
				flatten(pairs, path+"."+strconv.Itoa(i), o)
				pairs[path+".count"] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, strings.ReplaceAll(fmt.Sprint(x), ",", "_"))
			}
		}
		if pairs[path+".count"] == "" {
			pairs[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		pairs[path] = fmt.Sprint(v)
	}
}
