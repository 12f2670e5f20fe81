package frontend_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
)

// malformations are the ways in which a host can malform an answer, by name. Each function gets the correct answer and a random number.
var malformations = map[string]func(b []byte, n int) fake.Malformed{
	"noise": func(b []byte, n int) fake.Malformed {
		out := bytes.Repeat([]byte{byte(n), 0x97, 0xd4}, 20)
		return fake.Malformed{Answer: out, Dead: true}
	},
	"an unending line": func(b []byte, n int) fake.Malformed {
		return fake.Malformed{Answer: bytes.Repeat([]byte("x"), 300<<10), Dead: true}
	},
	"cut short": func(b []byte, n int) fake.Malformed { return fake.Malformed{Answer: b[:n%len(b)], Dead: true} },
	"a length that does not fit": func(b []byte, n int) fake.Malformed {
		out := bytes.Clone(b)
		at := []int{1, 2, 3, 4, 31, 32, 33, 34}[n%8] // bytes of the row description's frame, and of the frame after it
		out[at] ^= byte(1 + n%255)
		return fake.Malformed{Answer: out, Dead: true}
	},
	"the same twice": func(b []byte, n int) fake.Malformed {
		return fake.Malformed{Answer: b, Surplus: b, After: time.Duration(n%90) * time.Millisecond}
	},
	"noise after it": func(b []byte, n int) fake.Malformed {
		return fake.Malformed{Answer: b, Surplus: []byte{byte(n), 7, 7, 7, 7, 7}, After: time.Duration(n%90) * time.Millisecond}
	},
	"all in one piece": func(b []byte, n int) fake.Malformed {
		return fake.Malformed{Answer: append(bytes.Clone(b), b...)}
	},
}

// malformedStep is a request whose first answer is malformed.
type malformedStep struct {
	Malformation, Form, Class string // Malformation is a key of malformations
	N, After                  int    // a random number for the malformation, and the delay after the previous step in milliseconds
}

// malformedPlans generates sequences of steps.
var malformedPlans = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) malformedStep {
	return malformedStep{rapid.SampledFrom(slices.Sorted(maps.Keys(malformations))).Draw(t, "how"), rapid.SampledFrom(mysqlForms).Draw(t, "form"),
		rapid.SampledFrom([]string{"look", "look", "put"}).Draw(t, "class"), rapid.IntRange(0, 5000).Draw(t, "n"),
		rapid.SampledFrom([]int{0, 1, 30, 120}).Draw(t, "after")}
}), 1, 12)

// TestMalformedAnswers sends requests to hosts whose answers are malformed in random ways. No client may get the value of another
// request, a write that may have run must not be sent again, and its client must soon get an answer. Later requests must find usable
// connections, even if surplus bytes arrive up to 90 ms after an answer.
func TestMalformedAnswers(t *testing.T) {
	for _, mysqlFront := range []bool{false, true} {
		checkPlans(t, malformedPlans, func(plan []malformedStep) error {
			var steps sync.Map // by request id
			malform := func(id string, b []byte) fake.Malformed {
				if step, ok := steps.LoadAndDelete(id); ok { // only its first answer
					return malformations[step.(malformedStep).Malformation](b, step.(malformedStep).N)
				}
				return fake.Malformed{Answer: b}
			}
			harness := newHarness(mysqlFront, &fake.Host{Primary: true, Malform: malform}, &fake.Host{Malform: malform})
			defer harness.close()
			for i, step := range plan {
				if !mysqlFront {
					step.Form = formPostgres
				}
				time.Sleep(time.Duration(step.After) * time.Millisecond)
				id := fmt.Sprint("q", i)
				steps.Store(id, step)
				c, err := harness.newClient(step.Form)
				if err != nil {
					return err
				}
				defer c.disconnect()
				if err := step.run(harness, c, id); err != nil {
					return fmt.Errorf("%d, %+v: %w", i, step, err)
				}
			}
			return nil
		})
	}
}

// run sends the step's request from a client and checks the answer.
func (s malformedStep) run(harness *testHarness, c *testClient, id string) error {
	sent := time.Now()
	got, err := c.request(s.Class, id)
	ran := harness.ran(id)
	switch {
	case err != nil:
		return err
	case got.Outcome == "served" && s.Class == "look" && got.Value != "value of "+id:
		return fmt.Errorf("%+v", got)
	case s.Class == "put" && ran > 1, got.Outcome == "refused" && s.Class == "put" && ran > 0:
		return fmt.Errorf("%+v, ran %d times", got, ran)
	case time.Since(sent) > 700*time.Millisecond && s.Malformation != "cut short":
		return fmt.Errorf("%+v after %v", got, time.Since(sent))
	}
	return nil
}

// TestMalformedAnswerIsNoHostFault checks that malformed answers do not make a host unhealthy. A primary was once considered down after
// two malformed answers in a row, and writes were held back.
func TestMalformedAnswerIsNoHostFault(t *testing.T) {
	inBubble(t, func() error {
		var sent atomic.Int32
		harness := newHarness(false, &fake.Host{Primary: true, Malform: func(_ string, b []byte) fake.Malformed {
			if sent.Add(1) <= 3 {
				return malformations["noise"](b, 1)
			}
			return fake.Malformed{Answer: b}
		}})
		defer harness.close()
		for i, want := range []string{"failed", "failed", "failed", "served", "served"} {
			c, err := harness.newClient(formPostgres)
			if err != nil {
				return err
			}
			defer c.disconnect()
			if got, err := c.request("put", fmt.Sprint("w", i)); err != nil || got.Outcome != want {
				return fmt.Errorf("write %d: %+v, %v", i, got, err)
			}
		}
		return nil
	})
}
