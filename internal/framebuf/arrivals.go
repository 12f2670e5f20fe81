package framebuf

import (
	"slices"
	"time"
)

// maxArrivals bounds the reads that a connection remembers while their bytes are unread. Beyond it the two reads that lie closest
// together are merged into one with the time of the earlier. Bytes that arrived over some time are then taken for older than they are by an
// eighth of it at most, and never for younger.
const maxArrivals = 32

// maxIdleArrivals is the capacity that is kept while nothing is unread: most connections have one read at a time.
const maxIdleArrivals = 4

// arrival is one read.
type arrival struct {
	unread int // bytes that it brought and that are not consumed yet
	at     time.Time
}

// arrivals are the reads that brought a connection's unread bytes, in order.
type arrivals struct {
	reads        []arrival
	lastConsumed time.Time // when the last byte that was consumed arrived
}

// add records a read.
func (a *arrivals) add(bytes int, at time.Time) {
	if len(a.reads) == maxArrivals {
		a.mergeClosest()
	}
	a.reads = append(a.reads, arrival{bytes, at})
}

// mergeClosest merges the two reads that lie closest together.
func (a *arrivals) mergeClosest() {
	gap := func(i int) time.Duration { return a.reads[i+1].at.Sub(a.reads[i].at) }
	closest := 0
	for i := range len(a.reads) - 1 {
		if gap(i) < gap(closest) {
			closest = i
		}
	}
	a.reads[closest].unread += a.reads[closest+1].unread
	a.reads = slices.Delete(a.reads, closest+1, closest+2)
}

// consume records that bytes were consumed.
func (a *arrivals) consume(bytes int) {
	done := 0
	for bytes > 0 && done < len(a.reads) {
		read := &a.reads[done]
		a.lastConsumed = read.at
		if read.unread > bytes {
			read.unread -= bytes
			break
		}
		bytes -= read.unread
		done++
	}
	a.reads = slices.Delete(a.reads, 0, done)
	if len(a.reads) == 0 && cap(a.reads) > maxIdleArrivals {
		a.reads = nil
	}
}
