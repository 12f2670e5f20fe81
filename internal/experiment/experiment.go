package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/zones"
)

// Experiment is a named experiment. At most one of slowStart, endurance, fleet, membership and gateways is set and
// selects its kind; without any it is a zone experiment.
type Experiment struct {
	Name, About   string
	zone          string // zone that the faults affect
	spec          func(short bool) Spec
	maxDetection  time.Duration // bound on the time until attempts avoid the zone; 0: not claimed
	lossAt        float64       // loss of the zone, in seconds from the start
	returnAt      float64       // return of the zone, in seconds from the start; 0: not measured
	claimsReturn  bool          // claims the recovery after the return
	claimsNotLost bool          // claims that no zone is considered lost
	loads         []float64     // requested work, relative to the capacity of all hosts; each is run
	membership    *membershipScenario
	gateways      *gatewayScenario
	endurance     bool           // a long run in which no state may grow
	slowStart     bool           // scenarios with starting hosts
	fleet         *fleetScenario // a scenario of a whole fleet
}

// Find returns the experiment with the given name. The error for an unknown name lists all names.
func Find(name string) (*Experiment, error) {
	var names []string
	for i := range Experiments {
		if Experiments[i].Name == name {
			return &Experiments[i], nil
		}
		names = append(names, Experiments[i].Name)
	}
	return nil, fmt.Errorf("no experiment %q; there are %s", name, strings.Join(names, ", "))
}

// Options configure a run of an experiment.
type Options struct {
	Seed   uint64
	Seeds  int // consecutive seeds from Seed
	Short  bool
	Zones  zones.Options // zone options of the measured arm; OwnZone is set for each gateway
	Defect Defect        // a deliberate defect, which the claims should reveal
	// Members are the numbers of members or gateways with which membership and gateway scenarios run. Without any they are
	// 10, 80, 300 and 1000 in virtual time (12 if Short), 7 with processes, and the scenario's own number with gateways.
	Members  []int
	Progress func(done, all int)
	Version  string

	// Program is the path of the gateway program that is measured with real processes; empty: the experiment runs in
	// virtual time. Before is the path of the reference program. Logs receives the output of the programs.
	Program, Before string
	Logs            io.Writer
}

// Run runs the experiment for each load and seed, and compares the measured gateways with the reference. It returns an
// error for options that the experiment does not support, or the error of ctx.
func (e *Experiment) Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Zones.Check(); err != nil {
		return nil, err
	}
	if o.Seeds < 1 {
		return nil, fmt.Errorf("%d seeds: at least 1 is required", o.Seeds)
	}
	switch {
	case (e.fleet != nil || e.endurance || e.slowStart) && o.Program != "":
		return nil, fmt.Errorf("%s runs in virtual time only", e.Name)
	case e.gateways != nil && o.Program == "":
		return nil, fmt.Errorf("%s runs with processes only", e.Name)
	case e.gateways != nil:
		return e.runGateways(ctx, o)
	case e.fleet != nil:
		return e.runFleet(ctx, o)
	case e.membership != nil:
		if o.Program != "" {
			return e.runProcesses(ctx, o)
		}
		return e.runMembers(ctx, o)
	case e.slowStart:
		return e.runSlowStart(ctx, o)
	case e.endurance:
		return e.runEndurance(ctx, o)
	}
	return e.runZones(ctx, o)
}

// forEachSeed calls run for the index of each seed, up to limit calls at the same time, and reports progress. It returns
// the first error, or the error of ctx.
func (o Options) forEachSeed(ctx context.Context, limit int, run func(ctx context.Context, i int) error) error {
	work, ctx := errgroup.WithContext(ctx)
	work.SetLimit(limit)
	var done atomic.Int32
	for i := range o.Seeds {
		work.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := run(ctx, i); err != nil {
				return err
			}
			o.reportProgress(int(done.Add(1)), o.Seeds)
			return nil
		})
	}
	return work.Wait()
}

// reportProgress calls Progress, if it is set.
func (o Options) reportProgress(done, all int) {
	if o.Progress != nil {
		o.Progress(done, all)
	}
}
