package experiment

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"cranegate/routing"
)

// weights sums the requested, the earned and the achievable priority weight of arrivals in a window.
func (j *Judge) weights(from, to time.Duration) (requested, earned, achievable float64) {
	operations, requested, earned := j.earnedWeight(from, to)
	return requested, earned, j.achievableWeight(operations, from)
}

// earnedWeight returns the operations that arrived in a window, and sums their requested and their earned priority
// weight.
func (j *Judge) earnedWeight(from, to time.Duration) (operations []*operation, requested, earned float64) {
	for _, op := range j.operations {
		if op.arrived >= from && op.arrived < to {
			requested, earned = requested+op.class.PriorityWeight, earned+op.earned
			operations = append(operations, op)
		}
	}
	return operations, requested, earned
}

// earliestService returns the first time within a limit at which some member could have started an operation, or 0.
func (j *Judge) earliestService(op *operation, limit time.Duration) time.Duration {
	i := sort.Search(len(j.snapshots), func(i int) bool { return j.snapshots[i].at >= op.arrived })
	for ; i < len(j.snapshots) && j.snapshots[i].at <= op.arrived+limit-op.work; i++ {
		snapshot, g := j.snapshots[i], op.group.number
		ok := snapshot.primaryReachable[g]
		switch op.class.Consistency {
		case routing.ConsistencyAny:
			ok = snapshot.newestPosition[g] > 0
		case routing.ConsistencyBounded:
			ok = ok || snapshot.newestPosition[g] >= snapshot.at-op.class.StalenessBound
		case routing.ConsistencySession:
			ok = ok || snapshot.newestPosition[g] > 0 && snapshot.newestPosition[g] >= op.sessionToken
		}
		if ok {
			return snapshot.at
		}
	}
	return 0
}

// capacityInterval is the granularity at which achievableWeight allocates capacity.
const capacityInterval = 100 * time.Millisecond

// achievableWeight is an upper bound on the priority weight that the remaining capacity could have earned. An
// omniscient allocation, in order of weight per work, gives each operation its group's free capacity from the first
// time that a member could serve it until its latency objective or, where late responses earn, its deadline. It ignores
// queues and the network.
func (j *Judge) achievableWeight(operations []*operation, from time.Duration) (weight float64) {
	free := j.freeCapacity(from)
	weightPerWork := func(op *operation) float64 { return op.class.PriorityWeight / op.work.Seconds() }
	sorted := slices.SortedStableFunc(slices.Values(operations), func(a, b *operation) int {
		return cmp.Compare(weightPerWork(b), weightPerWork(a))
	})
	allocate := func(op *operation, limit time.Duration) bool {
		start := j.earliestService(op, limit)
		return start > 0 && free.allocate(op, start, op.arrived+limit)
	}
	for _, op := range sorted {
		if allocate(op, op.class.LatencyObjective) {
			weight += op.class.PriorityWeight
		} else if op.class.LateShare > 0 && allocate(op, op.class.Deadline) {
			weight += op.class.PriorityWeight * op.class.LateShare
		}
	}
	return weight
}

// capacity is the free capacity of each group in each capacityInterval, in seconds of one core.
type capacity struct {
	from time.Duration
	free map[groupInterval]float64
}

// groupInterval identifies an interval of a group's capacity.
type groupInterval struct{ group, interval int }

// freeCapacity returns the capacity of all reachable hosts, in intervals from a time on.
func (j *Judge) freeCapacity(from time.Duration) capacity {
	c := capacity{from: from, free: map[groupInterval]float64{}}
	for _, snapshot := range j.snapshots {
		for group, cores := range snapshot.cores {
			c.free[groupInterval{group, c.interval(snapshot.at)}] += cores * replicationInterval.Seconds()
		}
	}
	return c
}

// interval returns the interval that contains a time.
func (c capacity) interval(at time.Duration) int { return int((at - c.from) / capacityInterval) }

// allocate takes the work of an operation from its group's capacity between two times, the earliest first. It returns
// false, and takes nothing, if there is not enough.
func (c capacity) allocate(op *operation, start, end time.Duration) bool {
	group, first, last := op.group.number, c.interval(start), c.interval(end)
	available := 0.0
	for i := first; i <= last; i++ {
		available += c.free[groupInterval{group, i}]
	}
	needed := op.work.Seconds()
	if available < needed {
		return false
	}
	for i := first; needed > 0 && i <= last; i++ {
		taken := min(needed, c.free[groupInterval{group, i}])
		c.free[groupInterval{group, i}] -= taken
		needed -= taken
	}
	return true
}

// avoidanceTime returns how long after the time from the slowest gateway still sends to a zone. That is until its last
// attempt to the zone in its last window of 20 attempts of which more than one went to the zone.
func (j *Judge) avoidanceTime(zone string, from, to time.Duration) time.Duration {
	slowest := time.Duration(0)
	for gateway := range j.fleet.gateways {
		var times []time.Duration
		var toZone []bool
		for _, attempt := range j.attempts {
			if attempt.gateway == gateway && attempt.at >= from && attempt.at < to {
				times = append(times, attempt.at)
				toZone = append(toZone, attempt.zone == zone)
			}
		}
		if last := lastUnavoided(toZone); last >= 0 {
			slowest = max(slowest, times[last]-from)
		}
	}
	return slowest
}

// avoidanceWindow is the number of consecutive attempts of which at most one goes to a zone that is avoided.
const avoidanceWindow = 20

// lastUnavoided returns the index of the last attempt to the zone in the last window of which more than one attempt went
// to the zone, or -1.
func lastUnavoided(toZone []bool) int {
	for end := len(toZone) - 1; end >= avoidanceWindow-1; end-- {
		count, last := 0, -1
		for i := end - avoidanceWindow + 1; i <= end; i++ {
			if toZone[i] {
				count++
				last = i
			}
		}
		if count > 1 {
			return last
		}
	}
	return -1
}

// zoneFraction returns the fraction of first attempts of reads in a window that went to a zone.
func (j *Judge) zoneFraction(zone string, from, to time.Duration) float64 {
	toZone, all := 0.0, 0.0
	for _, attempt := range j.attempts {
		if attempt.first && attempt.read && attempt.at >= from && attempt.at < to {
			if all++; attempt.zone == zone {
				toZone++
			}
		}
	}
	return toZone / max(all, 1)
}

// crossZoneFractions returns which fraction of the first attempts in a window left their gateway's zone: reads is the
// fraction of reads sent to replicas, and all is the fraction of all first attempts.
func (j *Judge) crossZoneFractions(from, to time.Duration) (reads, all float64) {
	var leftReads, totalReads, left, total float64
	for _, attempt := range j.attempts {
		if !attempt.first || attempt.at < from || attempt.at >= to {
			continue
		}
		if total++; !attempt.sameZone {
			left++
		}
		if attempt.read && attempt.replica {
			if totalReads++; !attempt.sameZone {
				leftReads++
			}
		}
	}
	return leftReads / max(totalReads, 1), left / max(total, 1)
}
