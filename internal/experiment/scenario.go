package experiment

import (
	"embed"
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// scenarioFiles are the membership scenarios. Simulations and real processes run the same files.
//
//go:embed scenarios/*.toml
var scenarioFiles embed.FS

// membershipScenario describes a scenario for members of a fleet: the message loss of their network, and the faults of
// members and links.
type membershipScenario struct {
	About           string             `toml:"about"`
	LossRates       []float64          `toml:"losses"` // rates of message loss throughout the run; each is run
	Duration        seconds            `toml:"length_s"`
	HealTimeout     seconds            `toml:"heal_s"` // bound from the last fault's end until all views are equal; 0: not claimed
	ClaimsDetection bool               `toml:"crash"`  // claims a bound on the detection of crashes
	ClaimsIdleCost  bool               `toml:"rest"`   // claims a bound on traffic without faults
	Faults          []*membershipFault `toml:"fault"`

	name string
}

// membershipFault affects the processes of Members, or their messages to Peers.
type membershipFault struct {
	Kind          membershipFaultKind `toml:"kind"`
	At            seconds             `toml:"at_s"`
	Duration      seconds             `toml:"for_s"` // 0: until the end of the scenario
	Members       selector            `toml:"who"`
	Peers         selector            `toml:"to"`
	Bidirectional bool                `toml:"both"` // also messages from Peers to Members
	// Excuses selects groups of members. During the fault, a member outside a group may consider the members of the
	// group failed, because no member on its side reaches them. For verdictGracePeriod after the end, any member may. The
	// same holds, without an entry, for members that pause for longer than maxToleratedPause.
	Excuses []selector `toml:"excuses"`

	LossRate       float64 `toml:"lose"` // noise: probabilities per message
	DuplicateRate  float64 `toml:"double"`
	CorruptRate    float64 `toml:"spoil"` // a bit is flipped
	DelayRate      float64 `toml:"late"`
	MaxDelayMS     int     `toml:"late_ms"` // maximum delay
	BytesPerSecond int     `toml:"bytes_s"` // narrow: bandwidth of each link
}

// membershipFaultKind is the kind of a membership fault, as scenario files name it.
type membershipFaultKind string

// The kinds of membership faults.
const (
	faultPartition membershipFaultKind = "cut"
	faultNoise     membershipFaultKind = "noise"
	faultStall     membershipFaultKind = "stall"  // messages wait until the end of the fault
	faultBandwidth membershipFaultKind = "narrow" // messages queue for bandwidth, up to maxLinkDelay
	faultPause     membershipFaultKind = "pause"  // the process is stopped; its messages wait
	faultKill      membershipFaultKind = "kill"   // the process is killed, and restarts at the end under its name
	faultLeave     membershipFaultKind = "leave"  // the process ends as on SIGTERM, and restarts at the end
)

// seconds is a duration that scenario files give as a number of seconds.
type seconds time.Duration

// UnmarshalTOML reads a number of seconds.
func (s *seconds) UnmarshalTOML(x any) error {
	switch x := x.(type) {
	case int64:
		*s = seconds(x) * seconds(time.Second)
	case float64:
		*s = seconds(x * float64(time.Second))
	default:
		return fmt.Errorf("%v is not a number of seconds", x)
	}
	return nil
}

// selector selects members by index: "all"; the "lower" or the "upper" half; "one 3" (only member 3); "but 3" (all except
// member 3); "zone 1" (the members of zone 1 of three); or "tenths 0-3" (the first four members of each ten).
type selector struct {
	text    string
	matches func(i, n int) bool // reports whether member i of n is selected
}

// UnmarshalText parses a selector.
func (s *selector) UnmarshalText(b []byte) error {
	s.text = string(b)
	word, rest, _ := strings.Cut(s.text, " ")
	var a, z int
	numbers := 0
	if rest != "" {
		numbers, _ = fmt.Sscanf(rest, "%d-%d", &a, &z)
	}
	switch {
	case s.text == "all":
		s.matches = func(int, int) bool { return true }
	case s.text == "lower":
		s.matches = func(i, n int) bool { return i < n/2 }
	case s.text == "upper":
		s.matches = func(i, n int) bool { return i >= n/2 }
	case word == "one" && numbers == 1:
		s.matches = func(i, _ int) bool { return i == a }
	case word == "but" && numbers == 1:
		s.matches = func(i, _ int) bool { return i != a }
	case word == "zone" && numbers == 1 && a < 3:
		s.matches = func(i, _ int) bool { return i%3 == a }
	case word == "tenths" && numbers == 2:
		s.matches = func(i, _ int) bool { return i%10 >= a && i%10 <= z }
	default:
		return fmt.Errorf("%q is not a valid selector of members", s.text)
	}
	return nil
}

// membershipScenarios are all membership scenarios, in order of their names.
var membershipScenarios = mustReadScenarios()

// mustReadScenarios parses the embedded scenario files. It panics on errors, as they are part of the program.
func mustReadScenarios() []*membershipScenario {
	files, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		panic(err)
	}
	var scenarios []*membershipScenario
	for _, file := range files {
		text, err := scenarioFiles.ReadFile("scenarios/" + file.Name())
		if err != nil {
			panic(err)
		}
		scenario, err := parseScenario(string(text))
		if err != nil {
			panic(fmt.Sprintf("%s: %v", file.Name(), err))
		}
		scenario.name = strings.TrimSuffix(file.Name(), path.Ext(file.Name()))
		scenarios = append(scenarios, scenario)
	}
	return scenarios
}

// parseScenario parses and validates a membership scenario.
func parseScenario(text string) (*membershipScenario, error) {
	scenario := &membershipScenario{}
	meta, err := toml.Decode(text, scenario)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("unknown key %s", unknown[0])
	}
	if scenario.About == "" || scenario.Duration <= 0 || len(scenario.LossRates) == 0 {
		return nil, fmt.Errorf("about, length_s and losses are required")
	}
	for i, fault := range scenario.Faults {
		if err := fault.validate(scenario); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	return scenario, nil
}

// validate checks a fault of a scenario.
func (f *membershipFault) validate(scenario *membershipScenario) error {
	affectsLinks := f.Kind.affectsLinks()
	rates := []float64{f.LossRate, f.DuplicateRate, f.CorruptRate, f.DelayRate}
	switch {
	case !affectsLinks && !f.Kind.affectsProcesses():
		return fmt.Errorf("unknown kind %q", f.Kind)
	case f.Members.matches == nil || affectsLinks != (f.Peers.matches != nil) || f.Bidirectional && !affectsLinks:
		return errors.New("who is required; faults of links require to, and other faults allow neither to nor both")
	case f.At < 0 || f.Duration < 0 || f.At+f.Duration > scenario.Duration:
		return errors.New("the fault must lie within length_s")
	case f.Kind == faultBandwidth && f.BytesPerSecond <= 0:
		return errors.New("bytes_s must be positive")
	case slices.Max(rates) > 1 || slices.Min(rates) < 0 || f.MaxDelayMS < 0:
		return errors.New("probabilities must lie between 0 and 1, and late_ms must not be negative")
	}
	return nil
}

// affectsLinks reports whether faults of this kind affect messages.
func (k membershipFaultKind) affectsLinks() bool {
	return k == faultPartition || k == faultNoise || k == faultStall || k == faultBandwidth
}

// affectsProcesses reports whether faults of this kind affect processes.
func (k membershipFaultKind) affectsProcesses() bool {
	return k == faultPause || k == faultKill || k == faultLeave
}

// at returns the start of the fault, counted from the start of its scenario.
func (f *membershipFault) at() time.Duration { return time.Duration(f.At) }

// end returns the end of the fault, counted from the start of its scenario. Faults without a duration end after the
// scenario.
func (f *membershipFault) end(scenario *membershipScenario) time.Duration {
	if f.Duration == 0 {
		return time.Duration(scenario.Duration) + time.Hour
	}
	return time.Duration(f.At + f.Duration)
}
