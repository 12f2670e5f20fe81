package soak

import (
	"context"
	"sync/atomic"
	"time"
)

// lagMeter measures how long the machine holds this process up: as long as it does, it may hold up what is judged.
type lagMeter struct{ longest atomic.Int64 }

const lagEvery = 5 * time.Millisecond

// run measures until the context ends.
func (l *lagMeter) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(lagEvery)
		now := time.Now()
		if late := int64(now.Sub(last) - lagEvery); late > l.longest.Load() {
			l.longest.Store(late)
		}
		last = now
	}
}

// most is the longest hold-up so far.
func (l *lagMeter) most() time.Duration { return time.Duration(l.longest.Load()) }
