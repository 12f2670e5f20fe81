package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cranegate/routing"
)

// fields are the values of a line. Each method reads the next value. The first error is stored in err. An absent value is read as the
// zero value.
type fields struct {
	remaining []string
	err       error
}

func splitFields(line string) *fields { return &fields{remaining: strings.Split(line, " ")} }

// fail stores an error in err unless there already is one.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// word returns the next value, empty if it is absent.
func (f *fields) word() string {
	if len(f.remaining) == 0 {
		return ""
	}
	word := f.remaining[0]
	f.remaining = f.remaining[1:]
	if word == absent {
		return ""
	}
	return word
}

// required returns the next value, which must not be absent.
func (f *fields) required() string {
	word := f.word()
	if word == "" {
		f.fail(errors.New("a value is missing"))
	}
	return word
}

// number returns an optional finite number.
func (f *fields) number() float64 {
	word := f.word()
	if word == "" {
		return 0
	}
	n, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(fmt.Errorf("%q is no number", word))
	}
	return n
}

// integer returns an optional whole number.
func (f *fields) integer() int {
	word := f.word()
	if word == "" {
		return 0
	}
	n, err := strconv.Atoi(word)
	if err != nil {
		f.fail(fmt.Errorf("%q is no whole number", word))
	}
	return n
}

// id returns a request's id, which is required.
func (f *fields) id() uint64 {
	word := f.required()
	n, err := strconv.ParseUint(word, 10, 32)
	if err != nil {
		f.fail(fmt.Errorf("%q is no request id", word))
	}
	return n
}

// seconds returns an optional time.
func (f *fields) seconds() time.Duration { return seconds(f.number()) }

// result returns the result of an attempt or health check. The protocol uses the numbers of routing.Result.
func (f *fields) result() routing.Result {
	n := f.integer()
	if n < int(routing.ResultError) || n > int(routing.ResultMissed) {
		f.fail(fmt.Errorf("unknown outcome %d", n))
	}
	return routing.Result(n)
}

// seconds converts the protocol's seconds to a duration, exact to the microsecond.
func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}
