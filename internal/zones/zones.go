// Package zones judges availability zones as a whole and says how reads are shared out among tiers of them.
//
// It is pure: it reads no clock, does no I/O and starts nothing. The decision module feeds it with what it knows of
// each member (Begin, See, Settle), and asks it for a zone's state, for members condemned with their zone, and for
// the tier that a read should go to. It picks no member and never makes one eligible: freshness, drains and budgets
// of cold members are decided before.
//
// Detection sums evidence over the members of a zone. One member that has been silent for x times the usual round
// trip is alive with a chance of about e^-x; the silences of members that share nothing but their zone are
// independent as long as the zone lives, so their sum condemns the zone long before any one of them could be given
// up by itself. A single bad member never can: its part of the sum is capped and two silent ones are needed.
package zones

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// State is what is held of a zone.
type State int

// The states, from best to worst but for Returning, which leads from Lost back to Healthy.
const (
	Healthy    State = iota // all members that were asked answer
	Impaired                // some are suspect, cold or behind, but the zone as a whole lives
	Down                    // nothing that was asked answers
	Recovering              // it answers again; reads come back step by step
)

var stateNames = [...]string{"healthy", "impaired", "lost", "returning"}

func (s State) String() string { return stateNames[s] }

// Defaults of Options.
const (
	DefaultOverprovision = 1.4
	DefaultRecoveryDelay = 300 * time.Millisecond
	DefaultRecoveryRamp  = 3 * time.Second
)

// Options are the operator's.
type Options struct {
	Own string // the gateway's own zone; empty if it is not known

	// Tiers orders zones by preference, the best first; zones of one tier are equals, and zones that are not named
	// come last, in a tier of their own. With none the own zone comes first, and then the others by their measured
	// round trips.
	Tiers [][]string

	// Overprovision is by how much the usable part of a tier is scaled up before reads spill over to the next one:
	// with 1.4 a tier takes all reads as long as 72% of it is usable. 0: DefaultOverprovision. At least 1.
	Overprovision float64

	RecoveryDelay time.Duration // how long a zone must answer again before reads come back; doubled as it flaps. 0: DefaultRecoveryDelay
	RecoveryRamp  time.Duration // how long reads then take to come back in full. 0: DefaultRecoveryRamp

	DetectOnly bool // lost zones are found, but reads are not shared out by tiers
}

// Check names the first fault, or nil.
func (o Options) Check() error {
	seen := map[string]bool{}
	for i, t := range o.Tiers {
		if len(t) == 0 {
			return fmt.Errorf("tier %d names no zone", i)
		}
		for _, name := range t {
			if name == "" {
				return fmt.Errorf("tier %d names a zone without a name", i)
			}
			if seen[name] {
				return fmt.Errorf("tier %d names zone %q, which has been named before", i, name)
			}
			seen[name] = true
		}
	}
	switch {
	case len(o.Tiers) > maxTiers-1:
		return fmt.Errorf("%d tiers are more than %d", len(o.Tiers), maxTiers-1)
	case o.Overprovision != 0 && !(o.Overprovision >= 1 && o.Overprovision <= 10): // also what is no number
		return fmt.Errorf("overprovision %g is not between 1 and 10", o.Overprovision)
	case o.RecoveryDelay < 0 || o.RecoveryDelay > time.Minute:
		return fmt.Errorf("hold %v is not between 0 and a minute", o.RecoveryDelay)
	case o.RecoveryRamp < 0 || o.RecoveryRamp > time.Minute:
		return fmt.Errorf("ramp %v is not between 0 and a minute", o.RecoveryRamp)
	}
	return nil
}

// How zones are judged.
const (
	silentFrom  = 1.5                    // times usual without an answer from which a member counts as silent
	silenceCap  = 5.0                    // and up to which its silence counts: one member proves only so much
	brokenAs    = 4.5                    // silence that a broken or refused connection stands for
	lostAt      = 9.0                    // joint silence that condemns a zone: two broken members, three silent ones
	heardPart   = 0.5                    // of the members must have answered again for a return without more waiting
	lostPart    = 0.6                    // of the members that were asked, the rest perhaps too lately to tell
	fewHeard    = 2 * time.Second        // or one of them for so long
	flapMemory  = time.Minute            // losses that make the next return slower
	holdAtMost  = 8 * time.Second        // however often a zone flaps
	rampFloor   = 0.05                   // share of reads with which a return begins
	tierApart   = 2.0                    // round trips this many times longer make a tier of their own,
	tierApartBy = time.Millisecond       // if they are at least so much longer
	tripGain    = 0.02                   // a zone's round trip grows by so much of the difference; shrinks at once
	retierEvery = 5 * time.Second        // how often the order by round trips is looked at again
	probeUsual  = 25 * time.Millisecond  // the least that a probe is taken to need
	settledFor  = 250 * time.Millisecond // a zone heard this lately is not condemned: probes of the others have been answered
	maxTiers    = 8
)

// Evidence is what the module knows of one member.
type Observation struct {
	Heard   time.Duration // last sign of life: an answer to a request or a probe
	Silent  float64       // longest silence of an attempt that is out or ended unanswered, in times usual; 0 for none
	Asked   bool          // something is out, or ended unanswered or broken since it was heard
	Broken  bool          // connections broke or were refused since it was heard
	Mute    time.Duration // how long probes have gone unanswered, with no sign of life meanwhile
	Usual   time.Duration // the shortest usual round trip of a class: a probe that waits like a request waits no longer
	Suspect bool          // the module's own verdict
	Usable  float64       // capacity that may be used: size times warmth, 0 where it is suspect
	Size    float64
}

// Zone is one zone.
type Zone struct {
	Name  string
	tier  int
	state State

	lostAt    time.Duration   // when it was last condemned
	losses    []time.Duration // within flapMemory
	heardFrom time.Duration   // first sign of life after lostAt, 0 for none
	rampFrom  time.Duration   // reads come back from then on,
	rampFor   time.Duration   // taking so long
	trip      time.Duration   // round trip of a probe, near its least
	doubtful  bool

	// Of the look in hand.
	members, asked, silent, heard, suspect int
	joint, usable, size, usual             float64
	last                                   time.Duration
}

// Change is a zone's step from one state to another.
type Change struct {
	Zone     string
	From, To State
	Reason   string // the evidence, as key=value
}

// String is a line for people.
func (c Change) String() string {
	return fmt.Sprintf("zone=%q from=%s to=%s %s", c.Zone, c.From, c.To, c.Reason)
}

// Zones is all that one gateway holds of zones.
type Zones struct {
	opt      Options
	rng      *rand.Rand
	zones    []*Zone
	now      time.Duration
	tiers    int
	retierAt time.Duration
	changes  []Change

	// Reads placed since the last Figures, by tier: what was stated and what happened.
	stated, placed [maxTiers]float64
	drawn          [maxTiers]float64 // for the read in hand
	drew           bool
}

// New makes the state of one gateway. Its seed draws the jitter that keeps gateways apart.
func New(o Options, seed uint64) (*Zones, error) {
	z := &Zones{rng: rand.New(rand.NewPCG(seed, 7))}
	return z, z.Configure(o)
}

// Tune replaces the options, as at a reload: states stay as they are.
func (z *Zones) Configure(o Options) error {
	if err := o.Check(); err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	if o.Overprovision == 0 {
		o.Overprovision = DefaultOverprovision
	}
	if o.RecoveryDelay == 0 {
		o.RecoveryDelay = DefaultRecoveryDelay
	}
	if o.RecoveryRamp == 0 {
		o.RecoveryRamp = DefaultRecoveryRamp
	}
	z.opt, z.retierAt = o, 0
	z.order()
	return nil
}

// Tiered says whether reads are shared out by tiers, as of the last Tune.
func (z *Zones) Tiered() bool { return !z.opt.DetectOnly }

// Zone finds or makes a zone. Members whose zone is not known share one without a name, which is never condemned.
func (z *Zones) Zone(name string) *Zone {
	i, ok := slices.BinarySearchFunc(z.zones, name, func(x *Zone, n string) int { return strings.Compare(x.Name, n) })
	if !ok {
		z.zones = slices.Insert(z.zones, i, &Zone{Name: name})
		z.order()
	}
	return z.zones[i]
}

// State is what is held of the zone.
func (x *Zone) State() State { return x.state }

// Tier is the zone's place in the order of preference, 0 for the best.
func (x *Zone) Tier() int { return x.tier }

// order gives each zone its tier.
func (z *Zones) order() {
	z.tiers = 0
	if z.opt.Tiers != nil {
		z.tiers = len(z.opt.Tiers)
		for _, x := range z.zones {
			x.tier = slices.IndexFunc(z.opt.Tiers, func(t []string) bool { return slices.Contains(t, x.Name) })
			if x.tier < 0 {
				x.tier, z.tiers = len(z.opt.Tiers), len(z.opt.Tiers)+1
			}
		}
		return
	}
	others := slices.DeleteFunc(slices.Clone(z.zones), func(x *Zone) bool { return x.Name == z.opt.Own && x.Name != "" })
	if len(others) < len(z.zones) {
		z.Zone(z.opt.Own).tier, z.tiers = 0, 1
	}
	slices.SortStableFunc(others, func(a, b *Zone) int { return int(a.trip - b.trip) })
	var first time.Duration
	for i, x := range others {
		if apart := float64(x.trip) > tierApart*float64(first) && x.trip-first >= tierApartBy; i == 0 || apart && z.tiers < maxTiers {
			first = x.trip
			z.tiers++
		}
		x.tier = z.tiers - 1
	}
	z.tiers = max(z.tiers, 1)
}

// Timed takes the round trip of a probe to a member of a zone. The least tells distance; more is load.
func (x *Zone) Timed(trip time.Duration) {
	if x == nil {
		return
	}
	if x.trip == 0 || trip < x.trip {
		x.trip = trip
		return
	}
	x.trip += time.Duration(tripGain * float64(min(trip, 4*x.trip)-x.trip))
}

// ---- The look at all members ----

// Begin begins a look. See is then called for each member, and Settle at the end.
func (z *Zones) Begin(now time.Duration) {
	z.now = now
	for _, x := range z.zones {
		x.members, x.asked, x.silent, x.heard, x.suspect = 0, 0, 0, 0, 0
		x.joint, x.usable, x.size, x.usual, x.last = 0, 0, 0, 0, 0
	}
}

// See takes what is known of a member.
func (z *Zones) Observe(x *Zone, e Observation) {
	x.members++
	x.size, x.usable = x.size+e.Size, x.usable+e.Usable
	x.last = max(x.last, e.Heard)
	if e.Suspect {
		x.suspect++
	}
	if x.lostAt > 0 && e.Heard > x.lostAt {
		x.heard++
	}
	silence, usual := e.Silent, float64(max(e.Usual, probeUsual))
	if e.Mute > 0 {
		silence = max(silence, float64(e.Mute)/usual)
	}
	silence = min(silence, float64(z.now-e.Heard)/usual) // one whose probes are answered is slow and not away
	x.usual = max(x.usual, usual)
	if !e.Asked && e.Mute == 0 {
		return
	}
	x.asked++
	if e.Broken {
		silence = max(silence, brokenAs)
	}
	if silence >= silentFrom {
		x.silent++
		x.joint += min(silence, silenceCap)
	}
}

// condemns says whether the look in hand shows that the zone is gone: by joint silence of two members or more, of
// which only counts what is later than the zone's last sign of life.
func (x *Zone) condemns(now time.Duration) bool {
	since := float64(now-x.last) / max(x.usual, 1)
	return x.Name != "" && x.silent >= 2 && float64(x.silent) >= lostPart*float64(x.asked) &&
		min(x.joint, float64(x.silent)*since) >= lostAt && now-x.last >= settledFor
}

// Doubtful says that a member of the zone has fallen silent or broken, and nothing has been heard of the zone since:
// a probe of the others tells whether it is the member or the zone.
func (x *Zone) Doubtful() bool { return x != nil && x.doubtful }

// Settle ends a look: it moves zones from state to state. Where all zones seem to be gone at once it is this gateway
// that is cut off or stood still, and none is condemned.
func (z *Zones) Settle() {
	living := 0
	for _, x := range z.zones {
		if x.members > 0 && x.state != Down && !x.condemns(z.now) {
			living++
		}
	}
	for _, x := range z.zones {
		x.doubtful = x.Name != "" && x.silent > 0 && x.state != Down
		z.step(x, living > 0)
	}
	if z.opt.Tiers == nil && z.now >= z.retierAt {
		z.retierAt = z.now + retierEvery
		z.order()
	}
}

// step moves one zone on.
func (z *Zones) step(x *Zone, may bool) {
	switch {
	case x.members == 0:
		if x.state != Healthy {
			z.enter(x, Healthy, "it has no members")
		}
	case x.state != Down && may && x.condemns(z.now):
		z.lose(x)
	case x.state == Down:
		z.awake(x)
	case x.state == Recovering:
		if z.Ramp(x) >= 1 && x.usable >= 0.99*x.size {
			z.enter(x, Healthy, "")
		}
	case x.state == Healthy && (x.suspect > 0 || x.usable < 0.99*x.size):
		z.enter(x, Impaired, fmt.Sprintf("suspect=%d usable=%.2f", x.suspect, x.usable/max(x.size, 1e-9)))
	case x.state == Impaired && x.suspect == 0 && x.usable >= 0.99*x.size:
		z.enter(x, Healthy, "")
	}
}

// lose condemns a zone. Losses that follow each other make its next return slower.
func (z *Zones) lose(x *Zone) {
	x.losses = slices.DeleteFunc(x.losses, func(at time.Duration) bool { return z.now-at > flapMemory })
	x.losses = append(x.losses, z.now)
	x.lostAt, x.heardFrom = z.now, 0
	z.enter(x, Down, fmt.Sprintf("silent=%d asked=%d joint=%.1f last_heard_ms=%d", x.silent, x.asked, x.joint,
		(z.now-x.last).Milliseconds()))
}

// awake looks whether a lost zone answers again: most of its members at once, or a few for a while. Both must last
// for the hold, which is drawn so that gateways do not come back together.
func (z *Zones) awake(x *Zone) {
	if x.heard == 0 {
		x.heardFrom = 0
		return
	}
	if x.heardFrom == 0 {
		x.heardFrom = z.now
	}
	lasted := z.now - x.heardFrom
	if float64(x.heard) < heardPart*float64(x.members) && lasted < fewHeard || lasted < z.hold(x) {
		return
	}
	x.rampFrom = z.now
	x.rampFor = time.Duration(float64(z.opt.RecoveryRamp) * (0.75 + 0.5*z.rng.Float64()) * z.flaps(x))
	z.enter(x, Recovering, fmt.Sprintf("heard=%d members=%d away_ms=%d", x.heard, x.members, (z.now-x.lostAt).Milliseconds()))
}

// flaps is the factor by which repeated losses slow a return: 1, 2, 4 and so on.
func (z *Zones) flaps(x *Zone) float64 { return float64(int(1) << min(len(x.losses)-1, 4)) }

// hold is how long a zone must have answered before reads come back.
func (z *Zones) hold(x *Zone) time.Duration {
	return min(holdAtMost, time.Duration(float64(z.opt.RecoveryDelay)*z.flaps(x)))
}

// Spare takes back a verdict: a member has answered what was sent before it, so the zone was slow and not gone.
func (z *Zones) Spare(x *Zone, sentAt time.Duration) {
	if x.state == Down && sentAt < x.lostAt && len(x.losses) > 0 {
		x.losses = x.losses[:len(x.losses)-1]
		x.lostAt = 0
		z.enter(x, Impaired, "answered what was sent before")
	}
}

func (z *Zones) enter(x *Zone, to State, reason string) {
	if len(z.changes) < 64 { // nobody has taken them: the last ones tell little more
		z.changes = append(z.changes, Change{Zone: x.Name, From: x.state, To: to, Reason: reason})
	}
	x.state = to
}

// Changes takes the changes of state since the last call.
func (z *Zones) Changes() []Change {
	c := z.changes
	z.changes = nil
	return c
}

// Condemned says that a member goes with its zone: that is lost, or was, and the member has not answered since.
func (x *Zone) Condemned(heard time.Duration) bool {
	return x != nil && (x.state == Down || x.state == Recovering) && heard <= x.lostAt
}

// Ramp is the share of the reads that a zone would usually get which it gets now.
func (z *Zones) Ramp(x *Zone) float64 {
	switch x.state {
	case Down:
		return 0
	case Recovering:
		return min(1, max(rampFloor, float64(z.now-x.rampFrom)/float64(max(x.rampFor, 1))))
	}
	return 1
}
