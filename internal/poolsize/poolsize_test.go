package poolsize

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

const longest = 20 * time.Second

// TestPartsOfTheRoom holds what gateways may keep against the room at a host, for fleets of all sizes: as ever where
// there is room for all, and a part of the time where there is not.
func TestPartsOfTheRoom(t *testing.T) {
	for _, c := range []struct {
		fleet int
		want  []time.Duration // by how many others were used later
	}{
		{1, []time.Duration{longest, longest, longest}},
		{4, []time.Duration{longest, longest, longest}},
		{50, []time.Duration{longest, longest, 0}},
		{80, []time.Duration{longest, 2877 * time.Millisecond, 0}}, // a quarter of the time
		{300, []time.Duration{4055 * time.Millisecond, 0, 0}},      // a third
	} {
		k := New(c.fleet, longest, start)
		now := start
		hosts := make([]Host, 10)
		for i := range 600 { // each of ten hosts once in ten seconds
			now = now.Add(time.Second)
			k.RecordAttempt(now, &hosts[i%10], 10)
		}
		for later, want := range c.want {
			got := k.IdleTimeout(now, &hosts[9], later)
			if want == 0 && got != 0 || want > 0 && math.Abs(got.Seconds()/want.Seconds()-1) > 0.25 {
				t.Errorf("%d gateways: the one after %d others is kept for %v, want about %v", c.fleet, later, got, want)
			}
		}
		if k.IdleTimeout(now, &hosts[9], MaxIdle) != 0 {
			t.Errorf("%d gateways: keeps more than the bound", c.fleet)
		}
	}
}

// fleet is a model of many gateways before hosts with room for a number of connections, all idle but at the moment
// of a request.
type fleet struct {
	rng                   *rand.Rand
	keepers               []*Sizer
	rates                 []float64 // requests a second, by gateway
	popular               []float64 // the share of requests that a host gets
	known                 [][]Host  // by gateway and host
	lastUse               [][]time.Time
	room                  int
	now                   time.Time
	tried, turned, reused int
	fullest               int
}

func newFleet(gateways, hosts, room int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), room: room, now: start}
	for range gateways {
		f.keepers = append(f.keepers, New(gateways, longest, start))
		f.rates = append(f.rates, 2*math.Exp(0.7*f.rng.NormFloat64()))
		f.known, f.lastUse = append(f.known, make([]Host, hosts)), append(f.lastUse, make([]time.Time, hosts))
	}
	all := 0.0
	for range hosts {
		f.popular = append(f.popular, math.Exp(0.5*f.rng.NormFloat64()))
		all += f.popular[len(f.popular)-1]
	}
	for i := range f.popular {
		f.popular[i] /= all
	}
	return f
}

// kept counts the gateways that hold a connection to a host.
func (f *fleet) kept(host int) (n int) {
	for g := range f.keepers {
		if f.holds(g, host) {
			n++
		}
	}
	return n
}

func (f *fleet) holds(g, host int) bool {
	used := f.lastUse[g][host]
	return !used.IsZero() && f.now.Sub(used) < f.keepers[g].IdleTimeout(f.now, &f.known[g][host], 0)
}

// run plays some seconds and counts anew.
func (f *fleet) run(seconds int) {
	const step = 20 * time.Millisecond
	f.tried, f.turned, f.reused, f.fullest = 0, 0, 0, 0
	for range seconds * int(time.Second/step) {
		f.now = f.now.Add(step)
		for g, rate := range f.rates {
			if f.rng.Float64() > rate*step.Seconds() {
				continue
			}
			host, dice := 0, f.rng.Float64()
			for dice -= f.popular[0]; dice > 0 && host < len(f.popular)-1; dice -= f.popular[host] {
				host++
			}
			held := f.holds(g, host)
			f.keepers[g].RecordAttempt(f.now, &f.known[g][host], len(f.popular))
			f.tried++
			if held {
				f.reused++
			} else if n := f.kept(host); n >= f.room {
				f.turned++
				f.keepers[g].RecordRejection(f.now)
				continue
			} else {
				f.fullest = max(f.fullest, n)
				f.keepers[g].RecordConnect()
			}
			f.lastUse[g][host] = f.now
		}
	}
}

// TestRoomIsSharedByMany lets 300 gateways of uneven traffic share hosts of uneven popularity. What they keep fits
// into the room that they count on; where hosts hold less than that, the parts fall until hardly a request is turned
// away; and one kept connection in five or more is used again in time.
func TestRoomIsSharedByMany(t *testing.T) {
	for _, c := range []struct {
		room   int
		turned float64 // the greatest share turned away, after 20 s
		reused float64 // the least share that finds a connection
	}{{300, 0.03, 0.4}, {60, 0.06, 0.08}} {
		for seed := range uint64(1) {
			f := newFleet(300, 15, c.room, seed)
			f.run(20)
			f.run(10)
			turned, reused := float64(f.turned)/float64(f.tried), float64(f.reused)/float64(f.tried)
			if turned > c.turned || reused < c.reused {
				t.Errorf("room for %d, seed %d: %.3f turned away, %.3f found a connection, at most %d kept at a host",
					c.room, seed, turned, reused, f.fullest)
			}
		}
	}
}

// TestPartComesBack bounds how far signs push the part down, however many come, and how long it stays there.
func TestPartComesBack(t *testing.T) {
	k := New(300, longest, start)
	now := start
	for range 3000 {
		now = now.Add(20 * time.Millisecond)
		k.RecordRejection(now)
	}
	if k.part != leastPart {
		t.Errorf("the part is %.3f after a minute without room", k.part)
	}
	for range 100 {
		k.RecordConnect()
	}
	if k.part > 2*leastPart {
		t.Errorf("the part is %.3f soon after", k.part)
	}
	for range 2000 {
		k.RecordConnect()
	}
	if k.part != mostPart {
		t.Errorf("the part is %.3f long after", k.part)
	}
	if now = now.Add(time.Minute); !k.RecordRejection(now) || k.part != 0.5 {
		t.Errorf("the part is %.3f after a sign", k.part)
	}
}

// TestFleetChanges has gateways come and go: each keeps its part of what is there, at once.
func TestFleetChanges(t *testing.T) {
	now := time.Now()
	k, h := New(10, 20*time.Second, now), Host{}
	k.RecordAttempt(now, &h, 1)
	if k.IdleTimeout(now, &h, 9) != 20*time.Second {
		t.Fatal("of ten gateways each keeps ten connections")
	}
	if !k.SetGateways(100) || k.IdleTimeout(now, &h, 9) != 0 || k.IdleTimeout(now, &h, 0) != 20*time.Second {
		t.Error("of a hundred gateways each keeps one, and looks at what it has")
	}
	if k.SetGateways(10) || k.IdleTimeout(now, &h, 9) != 20*time.Second {
		t.Error("fewer gateways keep more each, and have nothing to close")
	}
}
