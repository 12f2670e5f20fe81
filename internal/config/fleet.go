package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"

	"cranegate/internal/gossip"
	"cranegate/internal/membership"
)

// maxNameBytes bounds the names and addresses that gateways send each other.
const maxNameBytes = 64

// maxJoin bounds the addresses to join: every gateway of the largest fleet.
const maxJoin = membership.DefaultMaxMembers

// defaultFleet is the name of a fleet that is not given one.
const defaultFleet = "cranegate"

// Fleet configures how this gateway and the others find each other.
type Fleet struct {
	Fleet     string   `toml:"fleet"`     // gateways of other fleets are not accepted; empty for "cranegate"
	Name      string   `toml:"name"`      // of this gateway, unique in the fleet
	Listen    string   `toml:"listen"`    // address and port, for datagrams and streams
	Advertise string   `toml:"advertise"` // where the others reach it; empty for Listen
	Join      []string `toml:"join"`      // addresses and ports of some others
	KeyFile   string   `toml:"key_file"`  // see gossip.ReadKeys; required outside loopback
	Zone      string   `toml:"zone"`      // empty for that of the settings

	Keys     gossip.Keys `toml:"-"` // as read from KeyFile
	Gateways int         `toml:"-"` // the expected number, from the settings
}

// Options returns the options of the gossip transport.
func (f *Fleet) Options(seed uint64) gossip.Options {
	return gossip.Options{Listen: f.Listen, Keys: f.Keys, Members: membership.Options{
		Fleet:    f.Fleet,
		Name:     f.Name,
		Zone:     f.Zone,
		Addr:     f.Advertise,
		Join:     f.Join,
		Gateways: f.Gateways,
		Seed:     seed,
	}}
}

// JoinLimitError reports that join lists more addresses than a fleet may have gateways.
type JoinLimitError struct{ Listed int }

// Error implements the error interface.
func (e JoinLimitError) Error() string {
	return fmt.Sprintf("join has %d addresses, %d are the most; leave some out: any gateway that is reached tells of all others", e.Listed, maxJoin)
}

// check sets defaults, reads the keys and returns an error that names the first fault.
func (f *Fleet) check(s *Settings) error {
	f.setDefaults(s)
	if f.Name == "" {
		return errors.New("name is missing")
	}
	for _, name := range []string{f.Fleet, f.Name, f.Zone, f.Advertise} {
		if len(name) > maxNameBytes {
			return fmt.Errorf("%q is longer than %d bytes", name, maxNameBytes)
		}
	}
	if len(f.Join) > maxJoin {
		return JoinLimitError{len(f.Join)}
	}
	onLoopback, err := f.checkAddresses()
	if err != nil {
		return err
	}
	if f.KeyFile == "" {
		if !onLoopback {
			return errors.New("outside loopback key_file is needed: whoever can send datagrams here could take part")
		}
		return nil
	}
	f.Keys, err = gossip.ReadKeys(f.KeyFile)
	return err
}

func (f *Fleet) setDefaults(s *Settings) {
	if s != nil {
		f.Zone = cmp.Or(f.Zone, s.Routing.Zone)
		f.Gateways = s.Routing.Gateways
	}
	f.Fleet = cmp.Or(f.Fleet, defaultFleet)
	f.Advertise = cmp.Or(f.Advertise, f.Listen)
}

// checkAddresses checks all addresses, and reports whether each is on loopback.
func (f *Fleet) checkAddresses() (onLoopback bool, err error) {
	onLoopback = true
	for i, text := range append([]string{f.Listen, f.Advertise}, f.Join...) {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			return false, fmt.Errorf("%q is no address and port", text)
		}
		if address.Addr().IsUnspecified() && i > 0 { // only Listen may be
			return false, fmt.Errorf("nobody can be reached at %q: advertise and join name addresses", text)
		}
		onLoopback = onLoopback && address.Addr().IsLoopback()
	}
	return onLoopback, nil
}
