package framebuf

import (
	"slices"
	"time"
)

// mostArrivals bounds what a connection keeps of when its unread bytes came. Past it the two reads that lie closest together
// count as one, as of the earlier: unread bytes that came over some time are taken for older by an eighth of it at most, and
// never for younger.
const mostArrivals = 32

// arrival is one read.
type arrival struct {
	bytes int // that it brought and that are unread
	at    time.Time
}

// arrivals are the reads that brought a connection's unread bytes, in order.
type arrivals struct {
	reads []arrival
	last  time.Time // of the last byte that was consumed
}

// add takes a read.
func (a *arrivals) add(bytes int, at time.Time) {
	if len(a.reads) == mostArrivals {
		first := 0 // of the closest two
		for i := range a.reads[1:] {
			if a.reads[i+1].at.Sub(a.reads[i].at) < a.reads[first+1].at.Sub(a.reads[first].at) {
				first = i
			}
		}
		a.reads[first].bytes += a.reads[first+1].bytes
		a.reads = slices.Delete(a.reads, first+1, first+2)
	}
	a.reads = append(a.reads, arrival{bytes, at})
}

// skip consumes bytes.
func (a *arrivals) skip(bytes int) {
	done := 0
	for ; bytes > 0 && done < len(a.reads); done++ {
		r := &a.reads[done]
		if a.last = r.at; r.bytes > bytes {
			r.bytes -= bytes
			break
		}
		bytes -= r.bytes
	}
	if a.reads = slices.Delete(a.reads, 0, done); len(a.reads) == 0 && cap(a.reads) > 4 {
		a.reads = nil // most connections have one at a time
	}
}
