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
	For      time.Duration `help:"End after this time; at Ctrl-C otherwise."`
	Lose     time.Duration `default:"20s" help:"Take a zone down for 15 s after this time, and again every minute; 0 for never."`
	Rate     float64       `default:"60" help:"Requests a second."`
	Logs     string        `type:"path" help:"File for what the gateway writes."`
	Gateways int           `default:"1" help:"Number of gateways; several form a fleet, and are partitioned while a zone is down."`
	Seed     uint64        `default:"1" help:"Seed of the scenario."`
}

// Run runs a fleet on sockets and prints a status line every second.
func (c upCmd) Run(ctx context.Context) error {
	program, clean, err := gateway()
	if err != nil {
		return err
	}
	defer clean()
	logs := io.Discard
	if c.Logs != "" {
		f, err := os.Create(c.Logs)
		if err != nil {
			return fmt.Errorf("keeping the logs: %w", err)
		}
		defer f.Close()
		logs = f
	}
	err = experiment.Up(ctx, experiment.UpOptions{Program: program, Duration: c.For, ZoneLossDelay: c.Lose, Rate: c.Rate, Seed: c.Seed, Gateways: c.Gateways, Logs: logs, Out: os.Stdout})
	if errors.Is(err, context.Canceled) {
		return nil // Ctrl-C is how it ends
	}
	return err
}

// gateway finds the gateway's program beside this one, or builds it; clean removes what it built.
func gateway() (program string, clean func(), err error) {
	none := func() {}
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), "cranegate"); isFile(beside) {
			return beside, none, nil
		}
	}
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return "", none, fmt.Errorf("building the gateway: %w", err)
	}
	clean = func() { os.RemoveAll(dir) }
	program = filepath.Join(dir, "cranegate")
	if out, err := exec.Command("go", "build", "-o", program, "cranegate/cmd/cranegate").CombinedOutput(); err != nil {
		clean()
		return "", none, fmt.Errorf("building the gateway: %w: %s", err, out)
	}
	return program, clean, nil
}

func isFile(path string) bool {
	s, err := os.Stat(path)
	return err == nil && s.Mode().IsRegular()
}
