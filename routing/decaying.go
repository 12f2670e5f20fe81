package routing

import (
	"math"
	"time"
)

// decayingSum is a sum whose parts decay exponentially: a part counts 1/e of itself after the averaging
// time.
type decayingSum struct {
	sum float64
	at  time.Duration // when sum was computed
}

// now returns the sum as of a time.
func (d decayingSum) now(at, averagingTime time.Duration) float64 {
	return d.sum * math.Exp(-float64(at-d.at)/float64(averagingTime))
}

// add adds a part at a time.
func (d *decayingSum) add(at, averagingTime time.Duration, part float64) {
	d.sum = d.now(at, averagingTime) + part
	d.at = at
}
