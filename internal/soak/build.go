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

// Build compiles the gateway from the module's source into dir, with the defect applied if it is not nil, and returns
// the path of the binary.
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

// Defect is a deliberate error in the gateway, used to show that a run detects errors of this kind. The source is not
// modified: the build replaces the edited files by an overlay.
type Defect struct {
	Name    string
	Edits   []Edit
	FoundBy []string // rules, at least one of which must detect the defect
	Only    []string // the kinds of faults that make the defect visible; empty means any
}

// Edit replaces a piece of text in a source file.
type Edit struct {
	File string // path below the module's root
	Old  string // text that occurs in the file exactly once
	New  string // its replacement
}

// Defects each remove one guard of the gateway or reintroduce one of the two incidents of December 2026.
var Defects = []Defect{
	{"sends-to-draining", []Edit{{"routing/attempts.go", "case !member.usable, member.group != req.group:", "case member.group != req.group:"}},
		[]string{ruleDrain, ruleUnnoticedDrain, ruleViolation}, nil},
	{"close-unheard", []Edit{{"internal/core/core.go", "	request.markDisconnected(c)\n	c.post(clientDisconnected{request})", ""},
		{"internal/core/attempt.go", "!a.Request.checkDisconnected(a.core) && ", ""}}, []string{ruleClientGone}, []string{"leavers", "resets", "bad_answers", "late_connects"}},
	{"once-repeated", []Edit{{"routing/attempts.go", "		return min(r.usefulUntil, r.firstRunAt+r.class.IdempotencyTTL)\n	}\n	return 0", "	}\n	return r.usefulUntil"}},
		[]string{ruleRanTwice, ruleViolation}, []string{"resets", "bad_answers", "host_dies"}},
	{"answer-withheld", []Edit{{"internal/frontend/postgres/query.go", "	case core.Rejected:\n", "	case core.Rejected:\n		return errors.New(\"withheld\")\n"}},
		[]string{ruleLost, ruleNotForwarded, ruleViolation}, nil},
	{"cold-unheeded", []Edit{{"routing/slowstart.go", "return member.tokens >= 0", "return true"}}, []string{ruleViolation}, nil},
	{"ban-forgotten", []Edit{{"internal/hotrestart/statefile/statefile.go", "	return regs, sequence, nil\n", "	regs = state.Registers{}\n	return regs, sequence, nil\n"}},
		[]string{ruleBan}, []string{"ban", "kill", "resets"}},
	{"log-waits", []Edit{{"cmd/cranegate/main.go", "logging.New(logs, ", "logging.New(os.Stderr, "}}, []string{ruleNotServing, ruleExit, ruleUnnoticedDrain, ruleDrain},
		[]string{"log_stops", "discovery", "drain"}},
	{"passes-to-itself", []Edit{{"internal/hotrestart/fdpass/sender.go", "if own.ownsSocketAt(path) {", "if false {"}}, []string{ruleLate, ruleLost, ruleNotServing},
		[]string{"upgrade", "descriptors", "rolling_restart"}},
}

// FindDefect returns the defect with the given name, or an error that lists the known names.
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

// overlay writes the edited files and the overlay description into dir and returns the description's path.
func (d *Defect) overlay(ctx context.Context, dir string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("finding the module's root: %w", err)
	}
	replace := map[string]string{}
	for i, e := range d.Edits {
		path := filepath.Join(strings.TrimSpace(string(out)), e.File)
		changed := filepath.Join(dir, fmt.Sprintf("defect%d.go", i))
		if err := e.write(path, changed); err != nil {
			return "", fmt.Errorf("the defect %s: %w", d.Name, err)
		}
		replace[path] = changed
	}
	description, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, description, 0o600)
}

// write writes the edited copy of the file at path to changed. The old text must occur exactly once.
func (e Edit) write(path, changed string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), e.Old); n != 1 {
		return fmt.Errorf("%q occurs %d times in %s, not once: update the edit", e.Old, n, e.File)
	}
	return os.WriteFile(changed, []byte(strings.Replace(string(text), e.Old, e.New, 1)), 0o600)
}

// Found reports whether any of the findings is of a rule that detects the defect.
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
