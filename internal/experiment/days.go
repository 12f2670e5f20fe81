package experiment

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"path"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Days of members are data: the same file is played in virtual time and with processes.
//
//go:embed days/*.toml
var dayFiles embed.FS

// memberDay is a day of gateways that know each other, on a network that loses and delays messages.
type memberDay struct {
	About  string         `toml:"about"`
	Losses []float64      `toml:"losses"` // the shares of messages that get lost all day; each is played
	Length seconds        `toml:"length_s"`
	Heal   seconds        `toml:"heal_s"` // from the last fault's end until all views have to be equal; 0: not claimed
	Crash  bool           `toml:"crash"`  // claims how soon crashes are known
	Rest   bool           `toml:"rest"`   // claims what messages cost at rest
	Faults []*memberFault `toml:"fault"`

	name string
}

// memberFault befalls some of the members, or their messages to some others.
type memberFault struct {
	Kind memberKind `toml:"kind"`
	At   seconds    `toml:"at_s"`
	For  seconds    `toml:"for_s"` // 0: for the rest of the day
	Who  selector   `toml:"who"`
	To   selector   `toml:"to"`
	Both bool       `toml:"both"` // also what To send to Who
	// Excuses says whom those that are not of the same selection may hold as failed while it lasts: whom nobody on their
	// side reaches, or who stands still for longer than is promised to be borne. For some seconds after the end all are
	// excused that anybody was.
	Excuses []selector `toml:"excuses"`

	Lose   float64 `toml:"lose"` // noise: shares of messages
	Double float64 `toml:"double"`
	Spoil  float64 `toml:"spoil"` // bits are flipped
	Late   float64 `toml:"late"`
	LateMS int     `toml:"late_ms"` // by so much at most
	Bytes  int     `toml:"bytes_s"` // narrow: a second and link
}

type memberKind string

const (
	cutOff  memberKind = "cut"
	noise   memberKind = "noise"
	stall   memberKind = "stall"  // messages wait until the end
	narrow  memberKind = "narrow" // messages wait for their turn, and are lost where they would wait for more than half a second
	pause   memberKind = "pause"  // the process stands still; what comes waits
	kill    memberKind = "kill"   // it dies, and starts anew at the end under its name
	leave   memberKind = "leave"  // it ends as at SIGTERM, and starts anew at the end
	endures            = 500 * time.Millisecond
)

// seconds is a time as the files write it.
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

// selector selects some of so many members: "all", "lower" or "upper" (half), "one 3", "but 3", "zone 1" of three, or
// "tenths 0-3" of each ten.
type selector struct {
	text string
	has  func(i, n int) bool
}

// UnmarshalText reads a selector.
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
		s.has = func(int, int) bool { return true }
	case s.text == "lower":
		s.has = func(i, n int) bool { return i < n/2 }
	case s.text == "upper":
		s.has = func(i, n int) bool { return i >= n/2 }
	case word == "one" && numbers == 1:
		s.has = func(i, _ int) bool { return i == a }
	case word == "but" && numbers == 1:
		s.has = func(i, _ int) bool { return i != a }
	case word == "zone" && numbers == 1 && a < 3:
		s.has = func(i, _ int) bool { return i%3 == a }
	case word == "tenths" && numbers == 2:
		s.has = func(i, _ int) bool { return i%10 >= a && i%10 <= z }
	default:
		return fmt.Errorf("%q selects no members", s.text)
	}
	return nil
}

// memberDays are all days of members, in order of their names.
var memberDays = mustReadDays()

func mustReadDays() []*memberDay {
	files, err := dayFiles.ReadDir("days")
	if err != nil {
		panic(err) // they are part of the program
	}
	var days []*memberDay
	for _, f := range files {
		text, err := dayFiles.ReadFile("days/" + f.Name())
		if err == nil {
			var d *memberDay
			if d, err = readDay(string(text)); err == nil {
				d.name = strings.TrimSuffix(f.Name(), path.Ext(f.Name()))
				days = append(days, d)
			}
		}
		if err != nil {
			panic(fmt.Sprintf("%s: %v", f.Name(), err))
		}
	}
	return days
}

// readDay reads and checks a day.
func readDay(text string) (*memberDay, error) {
	d := &memberDay{}
	meta, err := toml.Decode(text, d)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("unknown key %s", unknown[0])
	}
	if d.About == "" || d.Length <= 0 || len(d.Losses) == 0 {
		return nil, fmt.Errorf("about, length_s and losses are needed")
	}
	for i, f := range d.Faults {
		link := f.Kind == cutOff || f.Kind == noise || f.Kind == stall || f.Kind == narrow
		switch {
		case !link && f.Kind != pause && f.Kind != kill && f.Kind != leave:
			return nil, fmt.Errorf("fault %d: there is no kind %q", i, f.Kind)
		case f.Who.has == nil || link != (f.To.has != nil) || f.Both && !link:
			return nil, fmt.Errorf("fault %d: who, and to where messages are concerned, are needed", i)
		case f.At < 0 || f.For < 0 || f.At+f.For > d.Length:
			return nil, fmt.Errorf("fault %d: it lies outside the day", i)
		case f.Kind == narrow && f.Bytes <= 0:
			return nil, fmt.Errorf("fault %d: bytes_s is needed", i)
		case max(f.Lose, f.Double, f.Spoil, f.Late) > 1 || min(f.Lose, f.Double, f.Spoil, f.Late) < 0 || f.LateMS < 0:
			return nil, fmt.Errorf("fault %d: shares lie between 0 and 1", i)
		}
	}
	return d, nil
}

func (f *memberFault) at() time.Duration { return time.Duration(f.At) }

// end is the fault's end within its day.
func (f *memberFault) end(d *memberDay) time.Duration {
	if f.For == 0 {
		return time.Duration(d.Length) + time.Hour
	}
	return time.Duration(f.At + f.For)
}

// excuse is who may be held as failed by whom, and for how long.
type excuse struct {
	fault     *memberFault
	until, to time.Duration // the end of the fault, and of its news
}

// newsTravel is how long after a fault its verdicts may still be on their way.
const newsTravel = 5 * time.Second

// pauseBorne is the longest standstill of a process that the others are promised to bear.
const pauseBorne = time.Second

// excusesOf are the excuses of a fault that begins now.
func (f *memberFault) excusesOf(now, end time.Duration) (out []excuse) {
	if f.Kind == pause && end-now > pauseBorne || len(f.Excuses) > 0 {
		out = append(out, excuse{f, end, end + newsTravel})
	}
	return out
}

// excuses says whether one member may hold another as failed while the fault lasts.
func (f *memberFault) excuses(by, accused, n int) bool {
	if f.Kind == pause {
		return f.Who.has(accused, n)
	}
	for _, s := range f.Excuses {
		if s.has(accused, n) && !s.has(by, n) {
			return true
		}
	}
	return false
}

// excused says whether a member may hold another as failed now.
func excused(all []excuse, now time.Duration, by, accused, n int) bool {
	for _, x := range all {
		if now < x.until && x.fault.excuses(by, accused, n) {
			return true
		}
		for i := 0; now >= x.until && now < x.to && i < n; i++ {
			if x.fault.excuses(i, accused, n) {
				return true
			}
		}
	}
	return false
}

// fate is what becomes of a message on its link.
type fate struct {
	lost, spoilt bool
	copies       int
	late         time.Duration // beside the usual delay
	waits        *memberFault  // a stall that holds it
}

// links is the state of all links between members: the faults that hold, and how far narrow ones are taken.
type links struct {
	n     int
	loss  float64
	rng   *rand.Rand
	holds []*memberFault
	free  map[[2]int]time.Duration
}

// fate draws what becomes of a message of so many bytes. What goes by a stream is sent again until it arrives.
func (l *links) fate(now time.Duration, from, to, size int, stream bool) fate {
	x := fate{copies: 1, lost: l.rng.Float64() < l.loss}
	for _, f := range l.holds {
		if !f.Who.has(from, l.n) || !f.To.has(to, l.n) {
			if !f.Both || !f.Who.has(to, l.n) || !f.To.has(from, l.n) {
				continue
			}
		}
		switch f.Kind {
		case cutOff:
			return fate{lost: true}
		case stall:
			x.waits = f
		case narrow:
			link := [2]int{from, to}
			start := max(now, l.free[link])
			if start-now > endures {
				x.lost = true
				break
			}
			l.free[link] = start + time.Duration(float64(size)/float64(f.Bytes)*float64(time.Second))
			x.late += l.free[link] - now
		case noise:
			x.lost = x.lost || l.rng.Float64() < f.Lose
			x.spoilt = x.spoilt || l.rng.Float64() < f.Spoil
			if l.rng.Float64() < f.Double {
				x.copies = 2
			}
			if l.rng.Float64() < f.Late {
				x.late += time.Duration(l.rng.Float64() * float64(f.LateMS) * float64(time.Millisecond))
			}
		}
	}
	if stream {
		if x.lost || x.spoilt {
			x.late += time.Duration(l.rng.Float64() * float64(time.Second))
		}
		x.lost, x.spoilt, x.copies = false, false, 1
	}
	return x
}

// begin and end switch a fault of links on and off.
func (l *links) begin(f *memberFault) { l.holds = append(l.holds, f) }

func (l *links) end(f *memberFault) {
	for i, x := range l.holds {
		if x == f {
			l.holds = append(l.holds[:i:i], l.holds[i+1:]...)
			return
		}
	}
}
