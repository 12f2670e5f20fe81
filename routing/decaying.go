package routing

import (
	"math"
	"time"
)

// decayingSum is a sum whose parts decay exponentially: 1/e of a part is left after the averaging time.
type decayingSum struct {
	sum float64
	at  time.Duration // when sum was computed
}

// valueAt returns the sum at a time.
func (d decayingSum) valueAt(at, averagingTime time.Duration) float64 {
	return d.sum * math.Exp(-float64(at-d.at)/float64(averagingTime))
}

// add adds a part that is new at a time.
func (d *decayingSum) add(at, averagingTime time.Duration, part float64) {
	d.sum = d.valueAt(at, averagingTime) + part
	d.at = at
}
