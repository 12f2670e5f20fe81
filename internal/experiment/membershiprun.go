package experiment

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"
)

// membershipStats are the results of one simulation run.
type membershipStats struct {
	falseVerdicts, divergedViews      int
	malformed                         int
	maxBudgetShare, minBudgetShare    float64 // extremes of the sum of all shares of a budget
	detectionSeconds                  float64 // until 99% of the members have detected a crash
	bytesPerSecond, messagesPerSecond float64 // per member, in the last ten seconds
	maxDatagramSize                   int
	notes                             []string
}

// runMembershipSim runs a scenario once in virtual time.
func runMembershipSim(scenario *membershipScenario, n int, lossRate float64, plainSWIM bool, seed uint64) membershipStats {
	sim := newMembershipSim(scenario, n, lossRate, plainSWIM, seed)
	end := epoch + convergenceTime + time.Duration(scenario.Duration)
	stats := membershipStats{minBudgetShare: 1}
	// The sum of all shares must never exceed the budget, partitioned or not.
	for at := epoch + convergenceTime; at <= end; at += sec / 2 {
		if sim.runUntil(at); at == end-10*sec {
			sim.bytesSent, sim.messagesSent = 0, 0
		}
		totalShare := 0.0
		for _, p := range sim.members {
			if p.up && !p.paused {
				totalShare += p.node.BudgetShare()
			}
		}
		stats.maxBudgetShare = max(stats.maxBudgetShare, totalShare)
		stats.minBudgetShare = min(stats.minBudgetShare, totalShare)
	}
	stats.malformed, stats.falseVerdicts, stats.notes, stats.maxDatagramSize = sim.malformed, sim.falseVerdicts, sim.notes, sim.maxDatagramSize
	stats.bytesPerSecond, stats.messagesPerSecond = float64(sim.bytesSent)/10/float64(n), float64(sim.messagesSent)/10/float64(n)
	stats.divergedViews = sim.divergedViews()
	for incarnation := range sim.endedAt {
		delays := sim.detections[incarnation]
		slices.Sort(delays)
		if required := (n - 1) * 99 / 100; scenario.ClaimsDetection && len(delays) >= required {
			stats.detectionSeconds = max(stats.detectionSeconds, delays[required-1].Seconds())
		} else if scenario.ClaimsDetection {
			stats.detectionSeconds = time.Duration(scenario.Duration).Seconds()
		}
	}
	return stats
}

// runMembers runs a membership scenario in virtual time at each size, with each loss rate and seed. Small fleets also
// run plain SWIM for comparison; see membership.Options.PlainSWIM.
func (e *Experiment) runMembers(ctx context.Context, o Options) (*Result, error) {
	sizes, lossRates := []int{10, 80, 300, 1000}, e.membership.LossRates
	if len(o.Members) > 0 {
		sizes = o.Members
	} else if o.Short {
		sizes = []int{12}
	}
	if o.Short { // only the highest loss rate
		lossRates = lossRates[len(lossRates)-1:]
	}
	r := e.newResult(o, driverVirtual, fmt.Sprintf("%v members", sizes))
	idleBytes := 0.0 // bytes per second of a member of the smallest fleet
	for _, n := range sizes {
		for _, lossRate := range lossRates {
			variant := memberVariant{n, lossRate}
			runs, err := e.runMemberSeeds(ctx, variant, o)
			if err != nil {
				return nil, err
			}
			totals := sumMemberRuns(runs)
			r.Notes = append(r.Notes, totals.swim.notes...)
			if idleBytes == 0 && lossRate == 0 {
				idleBytes = totals.swim.bytesPerSecond
			}
			e.claimMembership(r, variant, totals, idleBytes)
		}
	}
	r.limitNotes()
	return r, nil
}

// maxPlainSWIMMembers is the largest fleet that also runs plain SWIM, for comparison.
const maxPlainSWIMMembers = 80

// memberVariant is a size and a loss rate with which a scenario runs.
type memberVariant struct {
	members  int
	lossRate float64
}

// prefix returns the beginning of the names of the variant's claims. Unit is "members", "processes" or "gateways".
func (v memberVariant) prefix(unit string) string {
	return fmt.Sprintf("%d %s, loss %.0f%%: ", v.members, unit, v.lossRate*100)
}

// figure returns the name of one of the variant's figures.
func (v memberVariant) figure(name string) string {
	return fmt.Sprintf("%s_%d_loss_%.0f", name, v.members, v.lossRate*100)
}

// maxDetectionSeconds returns the claimed bound on the detection of a crash.
func (v memberVariant) maxDetectionSeconds() float64 {
	if v.lossRate == 0 {
		return 5
	}
	return 8
}

// memberRun is the result of one seed, with the extensions of SWIM and without.
type memberRun struct{ swim, plain membershipStats }

// runMemberSeeds simulates a variant with each seed.
func (e *Experiment) runMemberSeeds(ctx context.Context, v memberVariant, o Options) ([]memberRun, error) {
	runs := make([]memberRun, o.Seeds)
	err := o.forEachSeed(ctx, runtime.GOMAXPROCS(0), func(_ context.Context, i int) error {
		seed := o.Seed + uint64(i)
		runs[i].swim = runMembershipSim(e.membership, v.members, v.lossRate, false, seed)
		if v.members <= maxPlainSWIMMembers && !o.Short {
			runs[i].plain = runMembershipSim(e.membership, v.members, v.lossRate, true, seed)
		}
		return nil
	})
	return runs, err
}

// sumMemberRuns combines the runs of a variant. It sums counts, takes the mean of rates, and takes the extreme of all
// other results. Of plain SWIM it keeps only false verdicts and detection time.
func sumMemberRuns(runs []memberRun) memberRun {
	sum := memberRun{swim: membershipStats{minBudgetShare: 1}}
	for _, run := range runs {
		swim := run.swim
		sum.swim.falseVerdicts += swim.falseVerdicts
		sum.swim.divergedViews += swim.divergedViews
		sum.swim.malformed += swim.malformed
		sum.swim.maxBudgetShare = max(sum.swim.maxBudgetShare, swim.maxBudgetShare)
		sum.swim.minBudgetShare = min(sum.swim.minBudgetShare, swim.minBudgetShare)
		sum.swim.detectionSeconds = max(sum.swim.detectionSeconds, swim.detectionSeconds)
		sum.swim.maxDatagramSize = max(sum.swim.maxDatagramSize, swim.maxDatagramSize)
		sum.swim.bytesPerSecond += swim.bytesPerSecond / float64(len(runs))
		sum.swim.messagesPerSecond += swim.messagesPerSecond / float64(len(runs))
		sum.swim.notes = append(sum.swim.notes, swim.notes...)
		sum.plain.falseVerdicts += run.plain.falseVerdicts
		sum.plain.detectionSeconds = max(sum.plain.detectionSeconds, run.plain.detectionSeconds)
	}
	return sum
}

// claimMembership adds the claims and figures of one variant. The claims on idle cost compare with idleBytes, the bytes
// per second of a member of the smallest fleet.
func (e *Experiment) claimMembership(r *Result, v memberVariant, totals memberRun, idleBytes float64) {
	swim, plain, prefix := totals.swim, totals.plain, v.prefix("members")
	r.addClaim(prefix+"live members held as failed", float64(swim.falseVerdicts), "==", 0)
	r.addClaim(prefix+"of a budget that all may use together, at most", swim.maxBudgetShare, "<=", maxTotalShare)
	r.Figures[v.figure("parts_at_most")] = swim.maxBudgetShare
	r.Figures[v.figure("parts_at_least")] = swim.minBudgetShare
	r.addClaim(prefix+"messages that could not be written or read", float64(swim.malformed), "==", 0)
	r.Figures[v.figure("longest_datagram")] = float64(swim.maxDatagramSize)
	r.Figures[v.figure("false_verdicts")] = float64(swim.falseVerdicts)
	r.Figures[v.figure("bytes_a_second")] = swim.bytesPerSecond
	r.Figures[v.figure("messages_a_second")] = swim.messagesPerSecond
	comparesPlain := v.members <= maxPlainSWIMMembers
	if comparesPlain {
		r.Figures[v.figure("false_verdicts_one_trial")] = float64(plain.falseVerdicts)
	}
	if e.membership.HealTimeout > 0 {
		r.addClaim(prefix+"views that are not the living at the end", float64(swim.divergedViews), "==", 0)
	}
	if e.membership.ClaimsDetection {
		r.Figures[v.figure("known_by_99_of_100_s")] = swim.detectionSeconds
		if comparesPlain {
			r.Figures[v.figure("known_by_99_of_100_s_one_trial")] = plain.detectionSeconds
		}
		r.addClaim(prefix+"s until 99 of 100 know of a crash, worst day", swim.detectionSeconds, "<=", v.maxDetectionSeconds())
	}
	if e.membership.ClaimsIdleCost && v.lossRate == 0 {
		r.addClaim(prefix+"bytes a second that one sends at rest", swim.bytesPerSecond, "<=", 2000)
		r.addClaim(prefix+"the same, over the smallest fleet's", swim.bytesPerSecond/idleBytes, "<=", 1.2)
	}
}

// maxTotalShare bounds the sum of all members' shares of a budget, with a margin for rounding.
const maxTotalShare = 1 + 1e-9
