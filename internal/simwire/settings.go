package simwire

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// settings are the raw settings of an instance by their paths. The first error is stored in err.
type settings struct {
	values map[string]string
	err    error
}

// parseSettings splits the path=value pairs of an open_instance line.
func parseSettings(pairs []string) (*settings, error) {
	s := &settings{values: make(map[string]string, len(pairs))}
	for _, pair := range pairs {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q has no value", pair)
		}
		s.values[path] = value
	}
	return s, nil
}

// SettingError reports a setting that is missing or invalid, and what an operator can do.
type SettingError struct {
	Path  string // as in the simulator's protocol, where the names of nested objects are joined by dots
	Value string // as it was given; empty if it is missing
	Needs string // what it has to be
}

// Error implements the error interface.
func (e *SettingError) Error() string {
	given := "is missing"
	if e.Value != "" {
		given = fmt.Sprintf("is %q", e.Value)
	}
	return fmt.Sprintf("setting %s %s: it has to be %s; correct it where the settings stand and start again", e.Path, given, e.Needs)
}

// Bounds of settings. Values beyond them are rejected as mistakes.
const (
	maxSeconds             = 24 * 60 * 60.0
	maxCount               = 1e6
	maxNumber              = 1e9
	maxPositionZeroSeconds = 4e9 // the current Unix time is well below it
)

// fail stores an error in err unless there already is one.
func (s *settings) fail(path, needs string) {
	if s.err == nil {
		s.err = &SettingError{Path: path, Value: s.values[path], Needs: needs}
	}
}

// has reports whether a setting is given.
func (s *settings) has(path string) bool {
	value := s.values[path]
	return value != "" && value != absent
}

// required returns the text of a setting that must be given.
func (s *settings) required(path string) string {
	if !s.has(path) {
		s.fail(path, "given")
	}
	return s.values[path]
}

// number returns an optional number within bounds, 0 if it is not given.
func (s *settings) number(path string, minValue, maxValue float64) float64 {
	if !s.has(path) {
		return 0
	}
	n, err := strconv.ParseFloat(s.values[path], 64)
	inRange := n >= minValue && n <= maxValue // false for NaN
	if err != nil || !inRange {
		s.fail(path, fmt.Sprintf("a number from %g to %g", minValue, maxValue))
		return 0
	}
	return n
}

// count returns a required whole number of 1 or more.
func (s *settings) count(path string) int {
	s.required(path)
	n := s.number(path, 1, maxCount)
	if n != math.Trunc(n) {
		s.fail(path, "a whole number")
	}
	return int(n)
}

// seconds returns an optional time.
func (s *settings) seconds(path string) time.Duration {
	return seconds(s.number(path, 0, maxSeconds))
}

// positiveSeconds returns a required time of more than 0.
func (s *settings) positiveSeconds(path string) time.Duration {
	s.required(path)
	d := s.seconds(path)
	if d <= 0 {
		s.fail(path, "more than 0 s")
	}
	return d
}

// flag returns an optional boolean.
func (s *settings) flag(path string) bool {
	switch s.values[path] {
	case "true", "1":
		return true
	case "", absent, "false", "0":
		return false
	default:
		s.fail(path, "true or false")
		return false
	}
}

// list returns an optional list, whose values are joined by commas.
func (s *settings) list(path string) []string {
	if !s.has(path) {
		return nil
	}
	return strings.Split(s.values[path], ",")
}

// word returns the value for a setting's word. The empty word is the word of a setting that is not given.
func word[T any](s *settings, path string, valueByWord map[string]T) T {
	value, ok := valueByWord[s.values[path]]
	if !ok {
		s.fail(path, "one of "+strings.Join(slices.Sorted(maps.Keys(valueByWord)), ", "))
	}
	return value
}
