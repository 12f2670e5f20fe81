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

// maxJoin bounds the addresses to join. It allows for every gateway of the largest fleet.
const maxJoin = membership.DefaultMaxMembers

// defaultFleet is the name of a fleet for which none is configured.
const defaultFleet = "cranegate"

// Fleet configures how this gateway and the other gateways find each other.
type Fleet struct {
	Fleet     string   `toml:"fleet"`     // gateways of other fleets are not accepted; empty for "cranegate"
	Name      string   `toml:"name"`      // of this gateway, unique in the fleet
	Listen    string   `toml:"listen"`    // address and port, for datagrams and streams
	Advertise string   `toml:"advertise"` // the address at which the other gateways reach this one; empty for Listen
	Join      []string `toml:"join"`      // addresses and ports of some other gateways
	KeyFile   string   `toml:"key_file"`  // see gossip.ReadKeys; required outside loopback
	Zone      string   `toml:"zone"`      // empty for the zone in the settings

	Keys     gossip.Keys `toml:"-"` // as read from KeyFile
	Gateways int         `toml:"-"` // the expected number of gateways, from the settings
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
	return fmt.Sprintf("join has %d addresses, at most %d are allowed; leave some out: any reachable gateway reports all others", e.Listed, maxJoin)
}

// check sets defaults, reads the keys and returns an error that describes the first fault.
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
			return errors.New("outside loopback key_file is needed: without it, anyone who can send datagrams here could join the fleet")
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
		if address.Addr().IsUnspecified() && i > 0 { // only Listen may be unspecified
			return false, fmt.Errorf("nobody can be reached at %q: advertise and join need specific addresses", text)
		}
		onLoopback = onLoopback && address.Addr().IsLoopback()
	}
	return onLoopback, nil
}
