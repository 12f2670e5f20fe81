// Command cranelab runs experiments with the gateway's routing decisions on a simulated fleet and saves their results.
// Its exit status is 0 if all claims hold, 1 if one does not, and 2 if the experiment could not run.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"cranegate/internal/experiment"
	"cranegate/internal/zones"
)

// errClaims reports that an experiment ran and a claim does not hold, or that a soak run broke a rule or missed a defect.
var errClaims = errors.New("a claim does not hold")

var cli struct {
	List   listCmd   `cmd:"" help:"List the experiments."`
	Run    runCmd    `cmd:"" help:"Run an experiment and check its claims."`
	Up     upCmd     `cmd:"" help:"Start fake database hosts in three zones with a gateway and both frontends, and show them."`
	Logs   logsCmd   `cmd:"" help:"Sum the counters in the logs of many gateways, second by second."`
	Soak   soakCmd   `cmd:"" help:"Run real processes under random faults, and check that they break no rule."`
	Report reportCmd `cmd:"" help:"Write tables and charts of the results in a folder."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	k, err := kong.New(&cli, kong.Name("cranelab"), kong.Description("Experiments with cranegate's routing on a simulated fleet."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fail(err)
	}
	c, err := k.Parse(os.Args[1:])
	if err != nil {
		fail(err)
	}
	switch err := c.Run(); {
	case errors.Is(err, errClaims):
		os.Exit(1)
	case err != nil:
		fail(err)
	}
}

// fail prints an error and exits with status 2.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "cranelab:", err)
	os.Exit(2)
}

type listCmd struct{}

// Run lists the experiments.
func (listCmd) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, e := range experiment.Experiments {
		fmt.Fprintf(w, "%s\t%s\n", e.Name, e.About)
	}
	return w.Flush()
}

type runCmd struct {
	Experiment    string  `arg:"" help:"Name of the experiment, or all. Experiments with 300 gateways, and those whose names begin with gateways-, run only by name."`
	Seed          uint64  `default:"1" help:"First seed; a scenario is determined by its seed."`
	Seeds         int     `default:"20" help:"Number of scenarios for each load, with consecutive seeds."`
	Short         bool    `help:"Short form: at most three scenarios, and the large fleet at a fifth of its size."`
	Out           string  `help:"Folder for NAME/result.json." type:"path"`
	JSON          bool    `name:"json" help:"Print the result as JSON instead of a table."`
	Overprovision float64 `default:"0" help:"Factor by which the usable part of a tier is scaled; 0 for the default."`
	Driver        string  `enum:"virtual,sockets,processes" default:"virtual" help:"virtual: the routing or membership code in virtual time. sockets: real gateways in real time. processes: the experiments members-* and gateways-* with real processes, and relays between them."`
	Gateway       string  `type:"existingfile" help:"Gateway program to compare this build's with, on sockets; by default this build's, without zones."`
	Logs          string  `type:"path" help:"File for the gateways' logs, with real gateways."`
	Break         string  `enum:",cold-room,no-drains,old-reads,two-runs" default:"" help:"A deliberate defect, which the claims should detect: cold-room, no-drains, old-reads or two-runs."`
	Members       []int   `help:"Numbers of members to run the membership scenarios with; 10, 80, 300 and 1000 by default."`
	DetectOnly    bool    `help:"Detect zone outages, but do not distribute reads among tiers."`
}

// Run runs one experiment, or all. It returns errClaims if a claim does not hold.
func (c runCmd) Run(ctx context.Context) error {
	experiments, err := c.experiments()
	if err != nil {
		return err
	}
	if c.Driver == "processes" && !strings.HasPrefix(c.Experiment, "members-") && !strings.HasPrefix(c.Experiment, "gateways-") {
		return errors.New("only the experiments members-* and gateways-* can run with the driver processes")
	}
	options, cleanup, err := c.options()
	if err != nil {
		return err
	}
	defer cleanup()
	holds := true
	for _, e := range experiments {
		r, err := c.runExperiment(ctx, e, options)
		if err != nil {
			return err
		}
		holds = holds && r.Holds()
	}
	if !holds {
		return errClaims
	}
	return nil
}

// experiments returns the experiments to run. Experiments with 300 gateways or with several gateway processes run only by name.
func (c runCmd) experiments() ([]experiment.Experiment, error) {
	if c.Experiment != "all" {
		e, err := experiment.Find(c.Experiment)
		if err != nil {
			return nil, err
		}
		return []experiment.Experiment{*e}, nil
	}
	return slices.DeleteFunc(slices.Clone(experiment.Experiments), func(e experiment.Experiment) bool {
		return strings.HasSuffix(e.Name, "-mass") || strings.HasPrefix(e.Name, "gateways-")
	}), nil
}

// maxSlowSeeds is the maximum number of seeds in the short form and in real time.
const maxSlowSeeds = 3

// options converts the flags. It finds or builds the gateway's program and opens the log file, if they are needed;
// cleanup removes a program that was built and closes the file.
func (c runCmd) options() (o experiment.Options, cleanup func(), err error) {
	o = experiment.Options{
		Seed:    c.Seed,
		Seeds:   c.Seeds,
		Short:   c.Short,
		Version: version(),
		Logs:    io.Discard,
		Defect:  experiment.Defects[c.Break],
		Members: c.Members,
		Zones:   zones.Options{Overprovision: c.Overprovision, DetectOnly: c.DetectOnly},
	}
	if c.Short || c.Driver != "virtual" {
		o.Seeds = min(o.Seeds, maxSlowSeeds)
	}
	if c.Driver == "virtual" {
		return o, func() {}, nil
	}
	program, removeProgram, err := gatewayProgram()
	if err != nil {
		return o, nil, err
	}
	o.Program, o.Before = program, cmp.Or(c.Gateway, program)
	if c.Logs == "" {
		return o, removeProgram, nil
	}
	file, err := os.Create(c.Logs)
	if err != nil {
		removeProgram()
		return o, nil, fmt.Errorf("creating the log file: %w", err)
	}
	o.Logs = file
	return o, func() { file.Close(); removeProgram() }, nil
}

// runExperiment runs one experiment, and saves and prints its result.
func (c runCmd) runExperiment(ctx context.Context, e experiment.Experiment, o experiment.Options) (*experiment.Result, error) {
	start := time.Now()
	o.Progress = progress(e.Name)
	r, err := e.Run(ctx, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.Name, err)
	}
	if c.Out != "" {
		if err := save(filepath.Join(c.Out, e.Name), r); err != nil {
			return nil, err
		}
	}
	if c.JSON {
		return r, json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("%s: %s\n%s; seeds %d to %d; %v\n", r.Experiment, r.About, r.Size, r.Seed, r.Seed+uint64(r.Seeds)-1, time.Since(start).Round(time.Millisecond))
	printClaims(os.Stdout, r)
	return r, nil
}

// printClaims prints a table of the claims, and the notes.
func printClaims(out io.Writer, r *experiment.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, c := range r.Claims {
		verdict := "holds"
		if !c.Holds {
			verdict = "DOES NOT HOLD"
		}
		fmt.Fprintf(w, "  %s\t%.3f\t%s %g\t%s\n", c.Name, c.Figure, c.Relation, c.Bound, verdict)
	}
	w.Flush()
	for _, n := range r.Notes {
		fmt.Fprintln(out, "  "+n)
	}
}

// save writes a result to result.json in dir, which it creates.
func save(dir string, r *experiment.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("saving the result: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("saving the result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("saving the result: %w", err)
	}
	return nil
}

// progress returns a function that shows the progress of an experiment, or nil if standard error is not a terminal.
func progress(name string) func(done, all int) {
	if s, err := os.Stderr.Stat(); err != nil || s.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(done, all int) {
		fmt.Fprintf(os.Stderr, "\r%s %d/%d", name, done, all)
		if done == all {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
	}
}

// version returns the commit that the program was built from.
func version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}
