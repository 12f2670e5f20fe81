package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAWriteTriesAPrimaryThatCannotBeConnectedTo(t *testing.T) {
	for shut, want := range map[int]bool{0: false, maxFailures: true} {
		b := newRig(t, config())
		b.told("a", 10*ms)
		b.r.members["a"].failures, b.r.members["a"].connectFailures = maxFailures, shut
		b.pass(time.Second)
		to := b.to(b.ask(onceWrite))
		b.want(fmt.Sprint("sent to the primary after ", shut, " connects in vain"), slices.Contains(to, "a"), want)
	}
}
