package experiment

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// membershipStats are the results of one simulation run.
type membershipStats struct {
	falseVerdicts, divergedViews      int
	malformed                         int
	maxBudgetShare, minBudgetShare    float64 // of a budget that all may use together, at most and at least
	detectionSeconds                  float64 // s until 99 of 100 know of a crash
	bytesPerSecond, messagesPerSecond float64 // a second and member, in the last ten seconds
	maxDatagramSize                   int
	notes                             []string
}

// runMembershipSim runs a scenario once in virtual time.
func runMembershipSim(d *membershipScenario, n int, loss float64, plain bool, seed uint64) membershipStats {
	w := newMembershipSim(d, n, loss, plain, seed)
	end := epoch + convergenceTime + time.Duration(d.Duration)
	x := membershipStats{minBudgetShare: 1}
	// What all may use of a budget together is never more than the budget, cut or not.
	for at := epoch + convergenceTime; at <= end; at += sec / 2 {
		if w.runUntil(at); at == end-10*sec {
			w.bytesSent, w.messagesSent = 0, 0
		}
		parts := 0.0
		for _, p := range w.members {
			if p.up && !p.paused {
				parts += p.node.BudgetShare()
			}
		}
		x.maxBudgetShare = max(x.maxBudgetShare, parts)
		x.minBudgetShare = min(x.minBudgetShare, parts)
	}
	x.malformed, x.falseVerdicts, x.notes, x.maxDatagramSize = w.malformed, w.falseVerdicts, w.notes, w.maxDatagramSize
	x.bytesPerSecond, x.messagesPerSecond = float64(w.bytesSent)/10/float64(n), float64(w.messagesSent)/10/float64(n)
	x.divergedViews = w.divergedViews()
	for s := range w.diedAt {
		took := w.detections[s]
		slices.Sort(took)
		if need := (n - 1) * 99 / 100; d.ClaimsDetection && len(took) >= need {
			x.detectionSeconds = max(x.detectionSeconds, took[need-1].Seconds())
		} else if d.ClaimsDetection {
			x.detectionSeconds = time.Duration(d.Duration).Seconds()
		}
	}
	return x
}

// runMembers runs a membership scenario in virtual time at each size, with each loss rate and seed. Small fleets also
// run plain SWIM (one probe, then hearsay) for comparison.
func (e *Experiment) runMembers(ctx context.Context, o Options) (*Result, error) {
	d := e.membership
	sizes := []int{10, 80, 300, 1000}
	if len(o.Members) > 0 {
		sizes = o.Members
	} else if o.Short {
		sizes = []int{12}
	}
	losses := d.LossRates
	if o.Short { // the worst alone
		losses = losses[len(losses)-1:]
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size: fmt.Sprintf("%v members", sizes), Machine: fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures: map[string]float64{}, Series: map[string][]float64{}}
	least := 0.0
	for _, n := range sizes {
		for _, loss := range losses {
			days := make([][2]membershipStats, o.Seeds)
			work, ctx := errgroup.WithContext(ctx)
			work.SetLimit(runtime.GOMAXPROCS(0))
			var done atomic.Int32
			for i := range days {
				work.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					days[i][0] = runMembershipSim(d, n, loss, false, o.Seed+uint64(i))
					if n <= 80 && !o.Short { // for comparison, where it is cheap
						days[i][1] = runMembershipSim(d, n, loss, true, o.Seed+uint64(i))
					}
					if k := int(done.Add(1)); o.Progress != nil {
						o.Progress(k, len(days))
					}
					return nil
				})
			}
			if err := work.Wait(); err != nil {
				return nil, err
			}
			var lies, plainLies, unequal, longest, spoilt int
			parts, partsLeast := 0.0, 1.0
			var detect, plainDetect, bytes, messages float64
			for _, x := range days {
				lies, plainLies, unequal = lies+x[0].falseVerdicts, plainLies+x[1].falseVerdicts, unequal+x[0].divergedViews
				spoilt += x[0].malformed
				parts, partsLeast = max(parts, x[0].maxBudgetShare), min(partsLeast, x[0].minBudgetShare)
				detect, plainDetect, longest = max(detect, x[0].detectionSeconds), max(plainDetect, x[1].detectionSeconds), max(longest, x[0].maxDatagramSize)
				bytes, messages = bytes+x[0].bytesPerSecond/float64(len(days)), messages+x[0].messagesPerSecond/float64(len(days))
				r.Notes = append(r.Notes, x[0].notes...)
			}
			p := fmt.Sprintf("%d members, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			r.addClaim(p+"live members held as failed", float64(lies), "==", 0)
			r.addClaim(p+"of a budget that all may use together, at most", parts, "<=", 1+1e-9)
			r.Figures[key("parts_at_most")], r.Figures[key("parts_at_least")] = parts, partsLeast
			r.addClaim(p+"messages that could not be written or read", float64(spoilt), "==", 0)
			r.Figures[key("longest_datagram")] = float64(longest)
			r.Figures[key("false_verdicts")], r.Figures[key("bytes_a_second")], r.Figures[key("messages_a_second")] = float64(lies), bytes, messages
			if n <= 80 {
				r.Figures[key("false_verdicts_one_trial")] = float64(plainLies)
			}
			if d.HealTimeout > 0 {
				r.addClaim(p+"views that are not the living at the end", float64(unequal), "==", 0)
			}
			if d.ClaimsDetection {
				r.Figures[key("known_by_99_of_100_s")] = detect
				if n <= 80 {
					r.Figures[key("known_by_99_of_100_s_one_trial")] = plainDetect
				}
				r.addClaim(p+"s until 99 of 100 know of a crash, worst day", detect, "<=", map[bool]float64{true: 5, false: 8}[loss == 0])
			}
			if d.ClaimsIdleCost && loss == 0 {
				if least == 0 {
					least = bytes
				}
				r.addClaim(p+"bytes a second that one sends at rest", bytes, "<=", 2000)
				r.addClaim(p+"the same, over the smallest fleet's", bytes/least, "<=", 1.2)
			}
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
