package experiment

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"cranegate/routing"
)

// weights sums the requested, the earned and the achievable priority weight of arrivals in a window.
func (j *Judge) weights(from, to time.Duration) (asked, earned, allowed float64) {
	in, asked, earned := j.earnedWeight(from, to)
	return asked, earned, j.achievableWeight(in, from)
}

// earnedWeight returns the operations that arrived in a window, and sums their requested and their earned priority
// weight.
func (j *Judge) earnedWeight(from, to time.Duration) (in []*operation, asked, earned float64) {
	for _, a := range j.operations {
		if a.arrived >= from && a.arrived < to {
			asked, earned = asked+a.class.PriorityWeight, earned+a.earned
			in = append(in, a)
		}
	}
	return in, asked, earned
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
	capacity := map[[2]int]float64{}
	for _, s := range j.snapshots {
		for g, c := range s.cores {
			capacity[[2]int{g, int((s.at - from) / capacityInterval)}] += c * replicationInterval.Seconds()
		}
	}
	rate := func(a *operation) float64 { return a.class.PriorityWeight / a.work.Seconds() }
	sorted := slices.SortedStableFunc(slices.Values(operations), func(a, b *operation) int { return cmp.Compare(rate(b), rate(a)) })
	allocate := func(a *operation, within time.Duration) bool {
		first := j.earliestService(a, within)
		if first == 0 {
			return false
		}
		g, lo, hi, free := a.group.number, int((first-from)/capacityInterval), int((a.arrived+within-from)/capacityInterval), 0.0
		for i := lo; i <= hi; i++ {
			free += capacity[[2]int{g, i}]
		}
		if free < a.work.Seconds() {
			return false
		}
		for i, left := lo, a.work.Seconds(); left > 0 && i <= hi; i++ {
			take := min(left, capacity[[2]int{g, i}])
			capacity[[2]int{g, i}] -= take
			left -= take
		}
		return true
	}
	for _, a := range sorted {
		if allocate(a, a.class.LatencyObjective) {
			weight += a.class.PriorityWeight
		} else if a.class.LateShare > 0 && allocate(a, a.class.Deadline) {
			weight += a.class.PriorityWeight * a.class.LateShare
		}
	}
	return weight
}

// avoidanceTime returns how long after from the gateways keep sending to a zone, for the slowest gateway: the end of
// its last window of 20 attempts of which more than one went to the zone.
func (j *Judge) avoidanceTime(zone string, from, to time.Duration) time.Duration {
	worst := time.Duration(0)
	for g := range j.fleet.gateways {
		var times []time.Duration
		var toZone []bool
		for _, t := range j.attempts {
			if t.gateway == g && t.at >= from && t.at < to {
				times, toZone = append(times, t.at), append(toZone, t.zone == zone)
			}
		}
		for i := len(times) - 1; i >= 19; i-- {
			n := 0
			for _, b := range toZone[i-19 : i+1] {
				if b {
					n++
				}
			}
			if n > 1 {
				for k := i; k >= 0; k-- { // the last attempt that went to the zone
					if toZone[k] {
						worst = max(worst, times[k]-from)
						break
					}
				}
				break
			}
		}
	}
	return worst
}

// zoneFraction returns the fraction of first attempts of reads in a window that went to a zone.
func (j *Judge) zoneFraction(zone string, from, to time.Duration) float64 {
	toZone, all := 0.0, 0.0
	for _, t := range j.attempts {
		if t.first && t.read && t.at >= from && t.at < to {
			if all++; t.zone == zone {
				toZone++
			}
		}
	}
	return toZone / max(all, 1)
}

// crossZoneFractions returns the fraction of first attempts in a window that left their gateway's zone: of reads sent
// to replicas, and of all.
func (j *Judge) crossZoneFractions(from, to time.Duration) (reads, all float64) {
	var leftReads, totalReads, left, total float64
	for _, t := range j.attempts {
		if !t.first || t.at < from || t.at >= to {
			continue
		}
		if total++; !t.sameZone {
			left++
		}
		if t.read && t.replica {
			if totalReads++; !t.sameZone {
				leftReads++
			}
		}
	}
	return leftReads / max(totalReads, 1), left / max(total, 1)
}
