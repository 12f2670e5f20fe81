package config

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"

	"cranegate/internal/discovery"
	"cranegate/internal/gossip"
	"cranegate/internal/membership"
	"cranegate/internal/zones"
)

// Operator is the operator's own file: what the platform's configuration does not know.
type Operator struct {
	MySQL      *MySQL   `toml:"mysql"`
	AgentCheck Listener `toml:"agent_check"` // HAProxy's agent-check
	Health     Listener `toml:"health"`      // the health endpoint over HTTP
	Limits     Limits   `toml:"limits"`      // where no platform gives any
	Zones      *Zones   `toml:"zones"`       // zones as a whole, and tiers of preference; nil: off
	Fleet      *Fleet   `toml:"fleet"`       // the other gateways; nil: none are known
	Admin      Listener `toml:"admin"`       // for cranegate members; on loopback alone

	RawSettings map[string]any `toml:"settings"`
	Settings    *Settings      `toml:"-"`
	Seed        uint64         `toml:"-"`
}

// Listener is an address to listen on; empty for none.
type Listener struct {
	Listen string `toml:"listen"`
}

// Zones is how zones are judged and how reads are shared out among them.
type Zones struct {
	Tiers         [][]string `toml:"tiers"`         // the best first; none: the own zone, then by round trips
	Overprovision float64    `toml:"overprovision"` // 0: zones.DefaultOverprovision
	HoldMS        int        `toml:"hold_ms"`
	RampMS        int        `toml:"ramp_ms"`
	DetectOnly    bool       `toml:"detect_only"`
}

// Options are those of a gateway in a zone. They have been checked.
func (z *Zones) Options(own string) *zones.Options {
	if z == nil {
		return nil
	}
	return &zones.Options{OwnZone: own, Tiers: z.Tiers, Overprovision: z.Overprovision, DetectOnly: z.DetectOnly,
		RecoveryDelay: time.Duration(z.HoldMS) * time.Millisecond, RecoveryRamp: time.Duration(z.RampMS) * time.Millisecond}
}

// Fleet is how this gateway and the others know each other.
type Fleet struct {
	Fleet     string   `toml:"fleet"`     // the fleet's name: gateways of others are not taken in; "cranegate"
	Name      string   `toml:"name"`      // this gateway's, one to each
	Listen    string   `toml:"listen"`    // address and port, for datagrams and streams
	Advertise string   `toml:"advertise"` // where the others reach it; Listen
	Join      []string `toml:"join"`      // addresses and ports of some others
	KeyFile   string   `toml:"key_file"`  // see peers.ReadKeys; needed outside loopback
	Zone      string   `toml:"zone"`      // that of the settings

	Keys     gossip.Keys `toml:"-"`
	Gateways int         `toml:"-"` // that are expected
}

// Options are those of the sockets. They have been checked.
func (f *Fleet) Options(seed uint64) gossip.Options {
	return gossip.Options{Listen: f.Listen, Keys: f.Keys, Members: membership.Options{Fleet: f.Fleet, Name: f.Name, Zone: f.Zone, Addr: f.Advertise,
		Join: f.Join, Gateways: f.Gateways, Seed: seed}}
}

// longest is the length of the names and addresses that members tell each other, in bytes.
const longest = 64

// mostJoin bounds the addresses to join: every gateway of the largest fleet (members.Options.Most).
const mostJoin = 1024

// JoinLimitError says that join lists more addresses than a fleet may have gateways.
type JoinLimitError struct{ Listed int }

func (e JoinLimitError) Error() string {
	return fmt.Sprintf("join has %d addresses, %d are the most; leave some out: any gateway that is reached tells of all others", e.Listed, mostJoin)
}

// check fills in defaults, reads the keys and names what is wrong.
func (f *Fleet) check(s *Settings) error {
	if f.Zone == "" && s != nil {
		f.Zone = s.Routing.Zone
	}
	if s != nil {
		f.Gateways = s.Routing.Gateways
	}
	f.Fleet, f.Advertise = cmp.Or(f.Fleet, "cranegate"), cmp.Or(f.Advertise, f.Listen)
	if f.Name == "" {
		return errors.New("name is missing")
	}
	for _, x := range []string{f.Fleet, f.Name, f.Zone, f.Advertise} {
		if len(x) > longest {
			return fmt.Errorf("%q is longer than %d bytes", x, longest)
		}
	}
	if len(f.Join) > mostJoin {
		return JoinLimitError{len(f.Join)}
	}
	outside := false
	for i, x := range append([]string{f.Listen, f.Advertise}, f.Join...) {
		at, err := netip.ParseAddrPort(x)
		if err != nil || at.Port() == 0 {
			return fmt.Errorf("%q is no address and port", x)
		}
		if at.Addr().IsUnspecified() && i > 0 {
			return fmt.Errorf("nobody can be reached at %q: advertise and join name addresses", x)
		}
		outside = outside || !at.Addr().IsLoopback()
	}
	if f.KeyFile == "" {
		if outside {
			return errors.New("outside loopback key_file is needed: whoever can send datagrams here could take part")
		}
		return nil
	}
	var err error
	f.Keys, err = gossip.ReadKeys(f.KeyFile)
	return err
}

// MySQL is the second front with its database hosts.
type MySQL struct {
	Listen            string             `toml:"listen"`
	Discovery         string             `toml:"discovery"` // as the platform's; or the hosts stand below
	Hosts             []discovery.Target `toml:"host"`
	User              string             `toml:"user"`
	Database          string             `toml:"database"`
	PasswordEnv       string             `toml:"password_env"` // the environment variable that holds the password
	Probe             string             `toml:"probe"`
	PrepareAimMS      int                `toml:"prepare_aim_ms"`
	PrepareDeadlineMS int                `toml:"prepare_deadline_ms"`
}

// PrepareAim and PrepareDeadline are those of a client's prepare.
func (m *MySQL) PrepareAim() time.Duration { return time.Duration(m.PrepareAimMS) * time.Millisecond }

// PrepareDeadline is how long a client's prepare may take.
func (m *MySQL) PrepareDeadline() time.Duration {
	return time.Duration(m.PrepareDeadlineMS) * time.Millisecond
}

// LoadOperator reads the operator's file. Settings there are named as the platform's; they may be left out where
// the platform gives some.
func LoadOperator(path string, platform *Settings) (*Operator, error) {
	o := &Operator{}
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	for _, key := range meta.Undecoded() {
		if key[0] != "settings" { // those are read by their paths, and further ones are passed over
			return nil, fmt.Errorf("reading the operator's file: unknown key %s", key)
		}
	}
	var b [8]byte
	rand.Read(b[:]) // never fails
	o.Seed = binary.LittleEndian.Uint64(b[:])
	if o.Settings = platform; o.RawSettings != nil {
		s, err := ReadSettings(o.RawSettings)
		if err != nil {
			return nil, fmt.Errorf("reading the operator's settings: %w", err)
		}
		o.Settings = &s
	}
	if o.Zones != nil {
		if err := o.Zones.Options("").Check(); err != nil {
			return nil, fmt.Errorf("reading the operator's file: zones: %w", err)
		}
	}
	if o.Admin.Listen != "" {
		if at, err := netip.ParseAddrPort(o.Admin.Listen); err != nil || !at.Addr().IsLoopback() {
			return nil, fmt.Errorf("reading the operator's file: admin: %q is no address and port on loopback", o.Admin.Listen)
		}
	}
	if o.Fleet != nil {
		if err := o.Fleet.check(o.Settings); err != nil {
			return nil, fmt.Errorf("reading the operator's file: fleet: %w", err)
		}
	}
	if o.MySQL == nil {
		return o, nil
	}
	return o, o.MySQL.check(o.Settings)
}

// check fills in defaults and names what is missing.
func (m *MySQL) check(s *Settings) error {
	for _, d := range []struct {
		to  *string
		def string
	}{{&m.User, "svc"}, {&m.Database, "main"}, {&m.Probe, "SHOW pressure"}} {
		if *d.to == "" {
			*d.to = d.def
		}
	}
	if m.PrepareAimMS == 0 {
		m.PrepareAimMS = 500
	}
	if m.PrepareDeadlineMS == 0 {
		m.PrepareDeadlineMS = 2000
	}
	switch {
	case m.Listen == "":
		return errors.New("mysql: listen is missing")
	case s == nil:
		return errors.New("mysql: there are no settings")
	case m.Discovery == "" && len(m.Hosts) == 0:
		return errors.New("mysql: neither discovery nor hosts are given")
	case m.PrepareAimMS < 0 || m.PrepareDeadlineMS < m.PrepareAimMS:
		return errors.New("mysql: prepare_aim_ms and prepare_deadline_ms are out of order")
	}
	for i, h := range m.Hosts {
		if h.UID == "" || h.Endpoint == "" {
			return fmt.Errorf("mysql: host %d needs uid and endpoint", i)
		}
		if m.Hosts[i].State == "" {
			m.Hosts[i].State = "SERVING"
		}
		if m.Hosts[i].Capacity == 0 {
			m.Hosts[i].Capacity = 1
		}
	}
	return nil
}
