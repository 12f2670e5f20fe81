// Package poolsize decides how many idle connections to a database host one gateway of a fleet keeps, and for how long.
// It is free of I/O and clocks.
//
// A kept connection saves a handshake if it is used again in time, and takes room at the host meanwhile. With few
// gateways there is room for all that they may want. With hundreds, each of which meets a host once in ten seconds,
// what they keep fills the host, and a request that finds no connection there is turned away. A host's room is
// therefore shared out among the gateways: each may hold its part of it. Where that part is a whole number of
// connections they may stand idle for as long as the host suffers; where it is a fraction, one more is kept for
// just so long that it stands there for that fraction of the time. Requests to a host come at random, so a
// connection that is kept for T after each of them, at a rate of l a second, stands for 1-exp(-l*T) of the time.
//
// What a host has room for nobody says. It shows where a host ends new connections without serving anything there;
// the part is then halved at once. Without such signs it grows slowly, past what is counted on at the start, as a
// kept connection that finds room is one handshake less.
package poolsize

import (
	"math"
	"time"
)

const (
	// Room is the number of connections for which the fleet counts on room at a host until it sees less. The
	// protocol's price for open connections counts them by so many a host, and says of no host how many it takes.
	DefaultHostCapacity = 100.0
	// Most is the number of idle connections to a host that any gateway keeps: a bound on its own descriptors.
	MaxIdle = 24

	rateOver  = 10 * time.Second // requests are averaged over this: a quiet gateway has few
	halvedGap = time.Second      // signs of this time are one: those that come at once have the same cause
	growAfter = 50.0             // new connections that found room, after which the part has doubled: a sign in so many is borne
	backAfter = 150.0            // the same from the first sign on: a host's room hardly ever grows
	mostPart  = 4.0              // of the part at the start: beyond, nearly all that is kept is used again anyway
	leastPart = 1.0 / 64         // of the part: a host that turns all away is short of more than our connections
)

// Keeper is the rule of one gateway for all its hosts. It is not safe for use by several goroutines at once.
type Sizer struct {
	fleet   float64
	longest time.Duration
	asked   float64 // attempts that wanted a connection, older ones counting less, as of askedAt
	askedAt time.Time
	began   time.Time
	part    float64 // what it uses, of the part that it has at the start
	fellAt  time.Time
	after   float64 // new connections over which the part doubles
}

// New makes the rule for one of so many gateways. Longest is how long a connection may stand idle at all.
func New(fleet int, longest time.Duration, now time.Time) *Sizer {
	return &Sizer{fleet: float64(max(1, fleet)), longest: longest, askedAt: now, began: now, part: 1, fellAt: now, after: growAfter}
}

// Fleet takes the number of gateways, which has changed. True says that there are more: idle connections to all hosts are
// to be looked at again.
func (k *Sizer) SetGateways(n int) bool {
	more := float64(n) > k.fleet
	k.fleet = float64(max(1, n))
	return more
}

// Host is what the rule holds of one host. The zero value is a host that no attempt has gone to.
type Host struct {
	asked float64 // attempts, older ones counting less, as of at
	at    time.Time
	rate  float64 // attempts a second, as of then
}

// Asked notes an attempt that wants a connection to a host, of so many in the list.
func (k *Sizer) RecordAttempt(now time.Time, h *Host, hosts int) {
	k.asked, k.askedAt = k.asked*fade(now.Sub(k.askedAt))+1, now
	if !h.at.IsZero() {
		h.asked *= fade(now.Sub(h.at))
	}
	h.asked, h.at = h.asked+1, now
	// A gateway of many has met the host once or twice in its memory. One more attempt in the time in which the
	// mean host has one stands for what it can't have seen; it is the one in hand, which is always seen.
	mean := k.rate(now) / float64(max(1, hosts))
	h.rate = h.asked / (rateOver.Seconds()*(1-fade(now.Sub(k.began))) + 1/mean)
}

// Found notes that a host had room for a new connection. The part grows by what is seen, not by time: a quiet gateway
// that sees nothing has no reason to keep more.
func (k *Sizer) RecordConnect() { k.part = min(mostPart, k.part*math.Exp2(1/k.after)) }

// NoCapacity notes that a host had no room for a new connection. True says that the part has fallen: idle connections to
// all hosts are to be looked at again.
func (k *Sizer) RecordRejection(now time.Time) bool {
	fell := now.Sub(k.fellAt) >= halvedGap
	if fell {
		// What has grown past the start goes at once: all gateways have grown alike, and each sees few signs.
		k.part, k.fellAt, k.after = max(leastPart, min(1, k.part)/2), now, backAfter
	}
	return fell
}

// For is how long a connection to a host may stand idle, of which so many others were used later and are idle too.
func (k *Sizer) IdleTimeout(now time.Time, h *Host, later int) time.Duration {
	part := k.part * DefaultHostCapacity / k.fleet
	switch whole := math.Floor(part); {
	case later >= MaxIdle || float64(later) > whole:
		return 0
	case float64(later) < whole:
		return k.longest
	default:
		stands := -math.Log(1-(part-whole)) / max(h.rate, 1e-3) // in seconds
		return time.Duration(min(k.longest.Seconds(), stands) * float64(time.Second))
	}
}

// rate is the number of attempts a second that want a connection to any host.
func (k *Sizer) rate(now time.Time) float64 {
	seen := 1 - fade(now.Sub(k.began)) // of a full average, for one that started just now
	return (k.asked*fade(now.Sub(k.askedAt)) + 1) / (rateOver.Seconds()*seen + 1)
}

func fade(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateOver.Seconds()) }
