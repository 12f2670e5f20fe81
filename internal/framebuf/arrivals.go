package framebuf

import (
	"slices"
	"time"
)

// maxArrivals bounds the reads that a connection records while their bytes are unread. Beyond it, the two reads that are
// closest in time are merged into one with the earlier time. A byte then seems older than it is, by an eighth of the time over
// which the unread bytes arrived at most, but never younger.
const maxArrivals = 32

// maxIdleArrivals is the number of reads for which memory is kept while no bytes are unread: most connections have the bytes
// of one read at a time.
const maxIdleArrivals = 4

// arrival is one read from a connection.
type arrival struct {
	unread int // bytes of the read that are not consumed yet
	at     time.Time
}

// arrivals records the reads that returned a connection's unread bytes, in order.
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

// mergeClosest merges the two reads that are closest in time.
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
