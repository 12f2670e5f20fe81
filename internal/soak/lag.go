package soak

import (
	"context"
	"sync/atomic"
	"time"
)

// lagMeter measures by how much a busy machine delays this process. The processes under test may be delayed as much, so
// the checked time bounds allow for it.
type lagMeter struct{ longest atomic.Int64 }

// lagSampleInterval is the intended sleep between two samples.
const lagSampleInterval = 5 * time.Millisecond

// run samples until ctx ends.
func (l *lagMeter) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(lagSampleInterval)
		now := time.Now()
		if late := int64(now.Sub(last) - lagSampleInterval); late > l.longest.Load() {
			l.longest.Store(late)
		}
		last = now
	}
}

// max returns the longest delay so far.
func (l *lagMeter) max() time.Duration { return time.Duration(l.longest.Load()) }
