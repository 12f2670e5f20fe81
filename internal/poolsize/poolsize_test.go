package poolsize

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Unix(1_700_000_000, 0)

const maxIdleTimeout = 20 * time.Second

// TestIdleTimeoutByFleetSize checks the idle timeouts for fleets of different sizes: the maximum for the connections that fit into the
// integer part of a gateway's share, and a shorter one for a connection of the fractional part.
func TestIdleTimeoutByFleetSize(t *testing.T) {
	for _, test := range []struct {
		gateways int
		want     []time.Duration // by the number of connections used later
	}{
		{1, []time.Duration{maxIdleTimeout, maxIdleTimeout, maxIdleTimeout}},
		{4, []time.Duration{maxIdleTimeout, maxIdleTimeout, maxIdleTimeout}},
		{50, []time.Duration{maxIdleTimeout, maxIdleTimeout, 0}},
		{80, []time.Duration{maxIdleTimeout, 2877 * time.Millisecond, 0}}, // the second connection exists for a quarter of the time
		{300, []time.Duration{4055 * time.Millisecond, 0, 0}},             // the first exists for a third of the time
	} {
		s := New(test.gateways, maxIdleTimeout, startTime)
		now := startTime
		hosts := make([]Host, 10)
		for i := range 600 { // an attempt to each of ten hosts once in ten seconds
			now = now.Add(time.Second)
			s.RecordAttempt(now, &hosts[i%10], 10)
		}
		for usedLater, want := range test.want {
			got := s.IdleTimeout(now, &hosts[9], usedLater)
			if want == 0 && got != 0 || want > 0 && math.Abs(got.Seconds()/want.Seconds()-1) > 0.25 {
				t.Errorf("%d gateways: timeout %v with %d others used later, want about %v", test.gateways, got, usedLater, want)
			}
		}
		if s.IdleTimeout(now, &hosts[9], MaxIdle) != 0 {
			t.Errorf("%d gateways: more than MaxIdle connections are kept", test.gateways)
		}
	}
}

// fleetModel simulates a fleet of gateways and hosts that accept a limited number of connections. A request takes no time, so that all
// connections are idle.
type fleetModel struct {
	rng          *rand.Rand
	sizers       []*Sizer
	rates        []float64 // requests a second, by gateway
	hostShares   []float64 // share of the requests, by host
	hosts        [][]Host  // by gateway and host
	lastUse      [][]time.Time
	hostCapacity int
	now          time.Time

	// Counters of one run.
	attempts, rejected, reused int
	maxConnected               int // most gateways with a connection to the same host
}

func newFleetModel(gateways, hosts, hostCapacity int, seed uint64) *fleetModel {
	f := &fleetModel{rng: rand.New(rand.NewPCG(seed, 2)), hostCapacity: hostCapacity, now: startTime}
	for range gateways {
		f.sizers = append(f.sizers, New(gateways, maxIdleTimeout, startTime))
		f.rates = append(f.rates, 2*math.Exp(0.7*f.rng.NormFloat64()))
		f.hosts = append(f.hosts, make([]Host, hosts))
		f.lastUse = append(f.lastUse, make([]time.Time, hosts))
	}
	sum := 0.0
	for i := range hosts {
		f.hostShares = append(f.hostShares, math.Exp(0.5*f.rng.NormFloat64()))
		sum += f.hostShares[i]
	}
	for i := range f.hostShares {
		f.hostShares[i] /= sum
	}
	return f
}

// connected counts the gateways with a connection to a host.
func (f *fleetModel) connected(host int) (n int) {
	for gateway := range f.sizers {
		if f.hasIdle(gateway, host) {
			n++
		}
	}
	return n
}

func (f *fleetModel) hasIdle(gateway, host int) bool {
	used := f.lastUse[gateway][host]
	return !used.IsZero() && f.now.Sub(used) < f.sizers[gateway].IdleTimeout(f.now, &f.hosts[gateway][host], 0)
}

// run resets the counters and simulates the given number of seconds.
func (f *fleetModel) run(seconds int) {
	const step = 20 * time.Millisecond
	f.attempts, f.rejected, f.reused, f.maxConnected = 0, 0, 0, 0
	for range seconds * int(time.Second/step) {
		f.now = f.now.Add(step)
		for gateway, rate := range f.rates {
			if f.rng.Float64() <= rate*step.Seconds() {
				f.request(gateway, f.randomHost())
			}
		}
	}
}

// randomHost draws the host of a request.
func (f *fleetModel) randomHost() (host int) {
	draw := f.rng.Float64() - f.hostShares[0]
	for draw > 0 && host < len(f.hostShares)-1 {
		host++
		draw -= f.hostShares[host]
	}
	return host
}

// request simulates one request of a gateway to a host.
func (f *fleetModel) request(gateway, host int) {
	reused := f.hasIdle(gateway, host)
	sizer := f.sizers[gateway]
	sizer.RecordAttempt(f.now, &f.hosts[gateway][host], len(f.hostShares))
	f.attempts++
	if reused {
		f.reused++
	} else {
		connected := f.connected(host)
		if connected >= f.hostCapacity {
			f.rejected++
			sizer.RecordRejection(f.now)
			return
		}
		f.maxConnected = max(f.maxConnected, connected)
		sizer.RecordConnect()
	}
	f.lastUse[gateway][host] = f.now
}

// TestFleetSharesHostCapacity has 300 gateways of uneven load share hosts of uneven popularity. If the hosts accept fewer connections than
// DefaultHostCapacity, the shares fall until few requests are rejected. In both cases many requests reuse a connection.
func TestFleetSharesHostCapacity(t *testing.T) {
	for _, test := range []struct {
		hostCapacity     int
		maxRejectedShare float64 // after 20 s
		minReusedShare   float64
	}{{300, 0.03, 0.4}, {60, 0.06, 0.08}} {
		for seed := range uint64(1) {
			f := newFleetModel(300, 15, test.hostCapacity, seed)
			f.run(20)
			f.run(10)
			rejected, reused := float64(f.rejected)/float64(f.attempts), float64(f.reused)/float64(f.attempts)
			if rejected > test.maxRejectedShare || reused < test.minReusedShare {
				t.Errorf("capacity %d, seed %d: %.3f rejected, %.3f reused a connection, at most %d connections at a host",
					test.hostCapacity, seed, rejected, reused, f.maxConnected)
			}
		}
	}
}

// TestShareFactorBounds checks that even many rejections do not reduce the share below its minimum, that it grows back to its maximum with
// accepted connections, and that one more rejection halves it from its initial value.
func TestShareFactorBounds(t *testing.T) {
	s := New(300, maxIdleTimeout, startTime)
	now := startTime
	for range 3000 {
		now = now.Add(20 * time.Millisecond)
		s.RecordRejection(now)
	}
	if s.shareFactor != minShareFactor {
		t.Errorf("the share factor is %.3f after a minute of rejections, want the minimum", s.shareFactor)
	}
	for range 100 {
		s.RecordConnect()
	}
	if s.shareFactor > 2*minShareFactor {
		t.Errorf("the share factor is %.3f after 100 accepted connections, want at most twice the minimum", s.shareFactor)
	}
	for range 2000 {
		s.RecordConnect()
	}
	if s.shareFactor != maxShareFactor {
		t.Errorf("the share factor is %.3f after 2100 accepted connections, want the maximum", s.shareFactor)
	}
	now = now.Add(time.Minute)
	if !s.RecordRejection(now) || s.shareFactor != 0.5 {
		t.Errorf("the share factor is %.3f after one more rejection, want 0.5", s.shareFactor)
	}
}

// TestSetGateways checks that a gateway's share of the capacity follows a change of the number of gateways.
func TestSetGateways(t *testing.T) {
	now := time.Now()
	s, host := New(10, 20*time.Second, now), Host{}
	s.RecordAttempt(now, &host, 1)
	if s.IdleTimeout(now, &host, 9) != 20*time.Second {
		t.Fatal("each of ten gateways must keep its tenth connection")
	}
	if !s.SetGateways(100) || s.IdleTimeout(now, &host, 9) != 0 || s.IdleTimeout(now, &host, 0) != 20*time.Second {
		t.Error("each of a hundred gateways must keep one connection, and SetGateways must return true so that the others are closed")
	}
	if s.SetGateways(10) || s.IdleTimeout(now, &host, 9) != 20*time.Second {
		t.Error("each of ten gateways must keep its tenth connection again, and SetGateways must return false as none is to be closed")
	}
}
