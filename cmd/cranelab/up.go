package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"cranegate/internal/experiment"
)

type upCmd struct {
	For      time.Duration `help:"End after this time; by default at Ctrl-C."`
	Lose     time.Duration `default:"20s" help:"Take a zone down for 15 s after this time, and again every minute; 0 for never."`
	Rate     float64       `default:"60" help:"Requests per second."`
	Logs     string        `type:"path" help:"File for the gateways' logs."`
	Gateways int           `default:"1" help:"Number of gateways; several form a fleet, and are partitioned while a zone is down."`
	Seed     uint64        `default:"1" help:"Seed of the scenario."`
}

// Run runs a fleet of real gateways and fake hosts, and prints a status line every second.
func (c upCmd) Run(ctx context.Context) error {
	program, cleanup, err := gatewayProgram()
	if err != nil {
		return err
	}
	defer cleanup()
	logs := io.Discard
	if c.Logs != "" {
		f, err := os.Create(c.Logs)
		if err != nil {
			return fmt.Errorf("creating the log file: %w", err)
		}
		defer f.Close()
		logs = f
	}
	err = experiment.Up(ctx, experiment.UpOptions{Program: program, Duration: c.For, ZoneLossDelay: c.Lose, Rate: c.Rate, Seed: c.Seed, Gateways: c.Gateways, Logs: logs, Out: os.Stdout})
	if errors.Is(err, context.Canceled) {
		return nil // ended by Ctrl-C
	}
	return err
}

// gatewayProgram finds the gateway's program in the folder of this one, or builds it. cleanup removes a program that was built.
func gatewayProgram() (program string, cleanup func(), err error) {
	noCleanup := func() {}
	if self, err := os.Executable(); err == nil {
		if sibling := filepath.Join(filepath.Dir(self), "cranegate"); isFile(sibling) {
			return sibling, noCleanup, nil
		}
	}
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return "", noCleanup, fmt.Errorf("building the gateway: %w", err)
	}
	cleanup = func() { os.RemoveAll(dir) }
	program = filepath.Join(dir, "cranegate")
	if out, err := exec.Command("go", "build", "-o", program, "cranegate/cmd/cranegate").CombinedOutput(); err != nil {
		cleanup()
		return "", noCleanup, fmt.Errorf("building the gateway: %w: %s", err, out)
	}
	return program, cleanup, nil
}

func isFile(path string) bool {
	s, err := os.Stat(path)
	return err == nil && s.Mode().IsRegular()
}
