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

// membershipScenario describes faults of members that know each other, on a network that loses and delays messages.
type membershipScenario struct {
	About           string             `toml:"about"`
	LossRates       []float64          `toml:"losses"` // permanent rates of message loss; each is run
	Duration        seconds            `toml:"length_s"`
	HealTimeout     seconds            `toml:"heal_s"` // bound from the last fault's end until all views are equal; 0: not claimed
	ClaimsDetection bool               `toml:"crash"`  // claims a bound on the detection of crashes
	ClaimsIdleCost  bool               `toml:"rest"`   // claims a bound on traffic without faults
	Faults          []*membershipFault `toml:"fault"`

	name string
}

// membershipFault affects some of the members, or their messages to some others.
type membershipFault struct {
	Kind          membershipFaultKind `toml:"kind"`
	At            seconds             `toml:"at_s"`
	Duration      seconds             `toml:"for_s"` // 0: until the end of the scenario
	Members       selector            `toml:"who"`
	Peers         selector            `toml:"to"`
	Bidirectional bool                `toml:"both"` // also messages from Peers to Members
	// Excuses selects groups of members that those outside the same group may consider failed during the fault, because
	// nobody on their side reaches them or because they pause for longer than maxToleratedPause. For
	// verdictGracePeriod after the end, any member may.
	Excuses []selector `toml:"excuses"`

	LossRate       float64 `toml:"lose"` // noise: probabilities by message
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
		return fmt.Errorf("%v is no number of seconds", x)
	}
	return nil
}

// selector selects members by index: "all", "lower" or "upper" (half), "one 3", "but 3", "zone 1" of three, or "tenths
// 0-3" of each ten.
type selector struct {
	text    string
	matches func(i, n int) bool
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
		return fmt.Errorf("%q selects no members", s.text)
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
		return nil, fmt.Errorf("about, length_s and losses are needed")
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
	ofLinks := f.Kind.ofLinks()
	rates := []float64{f.LossRate, f.DuplicateRate, f.CorruptRate, f.DelayRate}
	switch {
	case !ofLinks && !f.Kind.ofProcesses():
		return fmt.Errorf("there is no kind %q", f.Kind)
	case f.Members.matches == nil || ofLinks != (f.Peers.matches != nil) || f.Bidirectional && !ofLinks:
		return errors.New("who, and to where messages are concerned, are needed")
	case f.At < 0 || f.Duration < 0 || f.At+f.Duration > scenario.Duration:
		return errors.New("it lies outside the day")
	case f.Kind == faultBandwidth && f.BytesPerSecond <= 0:
		return errors.New("bytes_s is needed")
	case slices.Max(rates) > 1 || slices.Min(rates) < 0 || f.MaxDelayMS < 0:
		return errors.New("shares lie between 0 and 1")
	}
	return nil
}

// ofLinks reports whether faults of this kind affect messages.
func (k membershipFaultKind) ofLinks() bool {
	return k == faultPartition || k == faultNoise || k == faultStall || k == faultBandwidth
}

// ofProcesses reports whether faults of this kind affect processes.
func (k membershipFaultKind) ofProcesses() bool {
	return k == faultPause || k == faultKill || k == faultLeave
}

// at returns when the fault starts within its scenario.
func (f *membershipFault) at() time.Duration { return time.Duration(f.At) }

// end returns when the fault ends within its scenario. Faults without a duration end after it.
func (f *membershipFault) end(scenario *membershipScenario) time.Duration {
	if f.Duration == 0 {
		return time.Duration(scenario.Duration) + time.Hour
	}
	return time.Duration(f.At + f.Duration)
}
