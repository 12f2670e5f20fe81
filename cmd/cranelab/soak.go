package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"cranegate/internal/soak"
)

type soakCmd struct {
	Seed     uint64        `default:"1" help:"First seed; it determines the faults."`
	Seeds    int           `default:"1" help:"Number of consecutive seeds to run, one after another."`
	Short    bool          `help:"The short form, as CI runs it."`
	Gateways int           `help:"Number of gateways; 0 for the default of the short or long form."`
	For      time.Duration `help:"How long faults occur; 0 for the default of the short or long form."`
	Only     []string      `help:"Kinds of faults; all by default or, with a defect, those under which it shows."`
	Keep     string        `type:"path" help:"Folder for the gateways' logs, at level debug."`
	Defect   string        `help:"A deliberate defect of the gateway, which the runs should find."`
	Defects  bool          `help:"Run with each defect in turn; the command fails unless each is found."`
	List     bool          `help:"List the defects."`
}

// Run runs the seeds, with real processes in real time. It returns errClaims if a rule is broken.
func (c soakCmd) Run(ctx context.Context) error {
	switch {
	case c.List:
		for _, d := range soak.Defects {
			fmt.Printf("%s\tfound by %v\n", d.Name, d.FoundBy)
		}
		return nil
	case c.Defects:
		return c.runAllDefects(ctx)
	case c.Defect != "":
		d, err := soak.FindDefect(c.Defect)
		if err != nil {
			return err
		}
		return c.runDefect(ctx, d)
	}
	found, err := c.runSeeds(ctx, nil)
	if err == nil && len(found) > 0 {
		err = fmt.Errorf("%w: %v", errClaims, soak.Rules(found))
	}
	return err
}

// options returns the options of the short or long form, with the flags applied.
func (c soakCmd) options() soak.Options {
	o := soak.Long
	if c.Short {
		o = soak.Short
	}
	if c.Gateways > 0 {
		o.Gateways = c.Gateways
	}
	if c.For > 0 {
		o.Duration = c.For
	}
	o.LogDir, o.Only = c.Keep, c.Only
	return o
}

// runSeeds runs all seeds and returns their findings. With a nil defect the gateway is not modified.
func (c soakCmd) runSeeds(ctx context.Context, defect *soak.Defect) (found []soak.Finding, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return nil, fmt.Errorf("creating a temporary folder: %w", err)
	}
	defer os.RemoveAll(dir)
	o := c.options()
	if defect != nil && len(o.Only) == 0 {
		o.Only = defect.Only
	}
	if o.Program, err = soak.Build(ctx, dir, defect); err != nil {
		return nil, err
	}
	for n := range c.Seeds {
		o.Seed = c.Seed + uint64(n)
		r, err := soak.Run(ctx, o)
		if err != nil {
			return found, err
		}
		r.Print(os.Stdout)
		found = append(found, r.Findings...)
	}
	return found, nil
}

// runDefect runs the seeds with a defect. It returns errClaims if they do not find it.
func (c soakCmd) runDefect(ctx context.Context, d *soak.Defect) error {
	fmt.Printf("with the defect %s:\n", d.Name)
	found, err := c.runSeeds(ctx, d)
	if err != nil {
		return err
	}
	if !d.Found(found) {
		return fmt.Errorf("%w: the defect %s was not found", errClaims, d.Name)
	}
	fmt.Printf("the defect %s was found: %v\n", d.Name, soak.Rules(found))
	return nil
}

// runAllDefects runs the seeds with each defect, and joins the errors.
func (c soakCmd) runAllDefects(ctx context.Context) error {
	var all error
	for i := range soak.Defects {
		if err := c.runDefect(ctx, &soak.Defects[i]); err != nil {
			fmt.Println(err)
			all = errors.Join(all, err)
		}
	}
	return all
}
