package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the gateway from the module's source into a folder, with a defect in it where one is given, and returns the program.
func Build(ctx context.Context, dir string, defect *Defect) (string, error) {
	program := filepath.Join(dir, "cranegate")
	args := []string{"build", "-o", program}
	if defect != nil {
		overlay, err := defect.overlay(ctx, dir)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	if out, err := exec.CommandContext(ctx, "go", append(args, "cranegate/cmd/cranegate")...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the gateway: %w\n%s", err, out)
	}
	return program, nil
}

// Defect is a fault that is put into the gateway on purpose, to see that a run finds it. The source is not touched: the build lays
// the changed file over it.
type Defect struct {
	Name    string
	File    string   // below the module's root
	Old     string   // a text that stands there once,
	New     string   // and what takes its place
	FoundBy []string // any of these rules
}

// Defects are the guards that are taken out, one at a time.
var Defects = []Defect{
	{"sends-to-draining", "rules/attempts.go", "!m.usable, m.group != q.group,", "m.group != q.group,", []string{ruleDrain, ruleDeaf, ruleViolation}},
	{"close-unheard", "internal/core/core.go", "	q.leave(c)\n	c.post(func() { c.gone(q) })", "", []string{ruleGone, ruleViolation}},
	{"once-repeated", "rules/attempts.go", "		return min(q.limit, q.ranAt+q.class.KeyTTL)\n	}\n	return 0", "	}\n	return q.limit", []string{ruleTwice, ruleViolation}},
	{"answer-withheld", "internal/clients/postgres/postgres.go", "	case core.Refused:\n", "	case core.Refused:\n		return errors.New(\"withheld\")\n", []string{ruleLost, ruleTurnedBack, ruleViolation}},
	{"cold-unheeded", "rules/cold.go", "return m.credit >= 0", "return true", []string{ruleViolation}},
	{"serves-unready", "cmd/cranegate/gateway.go", "	case <-x.core.Ready():\n", "	case <-func() chan struct{} { c := make(chan struct{}); close(c); return c }():\n", []string{ruleViolation}},
}

// FindDefect finds a defect by its name.
func FindDefect(name string) (*Defect, error) {
	var names []string
	for i := range Defects {
		if Defects[i].Name == name {
			return &Defects[i], nil
		}
		names = append(names, Defects[i].Name)
	}
	return nil, fmt.Errorf("no defect is called %q; there are %s", name, strings.Join(names, ", "))
}

// overlay writes the changed file and the description that the build takes.
func (d *Defect) overlay(ctx context.Context, dir string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("finding the module's root: %w", err)
	}
	path := filepath.Join(strings.TrimSpace(string(out)), d.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("reading what the defect %s changes: %w", d.Name, err)
	}
	if n := strings.Count(string(text), d.Old); n != 1 {
		return "", fmt.Errorf("the defect %s wants to change a text in %s that stands there %d times, not once", d.Name, d.File, n)
	}
	changed := filepath.Join(dir, "defect.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), d.Old, d.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("writing the defect %s: %w", d.Name, err)
	}
	description, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, description, 0o600)
}

// Found says whether a run's findings show the defect.
func (d *Defect) Found(found []Finding) bool {
	for _, f := range found {
		for _, rule := range d.FoundBy {
			if f.Rule == rule {
				return true
			}
		}
	}
	return false
}
