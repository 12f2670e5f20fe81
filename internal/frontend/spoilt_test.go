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

// spoils are the ways in which an answer goes bad. Each gets an answer and a random number.
var spoils = map[string]func(b []byte, n int) fake.Malformed{
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
		at := []int{1, 2, 3, 4, 31, 32, 33, 34}[n%8] // in the description's frame, and in what follows it
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

// TestSpoiltAnswers plays requests to hosts whose answers go bad in random ways. Whatever comes, no client is given
// a value that was not made for it; a write that may have run is not sent again, and its client is told soon; and
// requests that follow find connections that are in step, though surplus bytes come up to 90 ms after an answer.
func TestSpoiltAnswers(t *testing.T) {
	type step struct {
		How, Form, Class string
		N, After         int
	}
	ways := slices.Sorted(maps.Keys(spoils))
	plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(ways).Draw(t, "how"), rapid.SampledFrom(forms[1:]).Draw(t, "form"),
			rapid.SampledFrom([]string{"look", "look", "put"}).Draw(t, "class"), rapid.IntRange(0, 5000).Draw(t, "n"),
			rapid.SampledFrom([]int{0, 1, 30, 120}).Draw(t, "after")}
	}), 1, 12)
	for _, mysqlFront := range []bool{false, true} {
		check(t, plans, func(plan []step) error {
			var ways sync.Map
			spoil := func(id string, b []byte) fake.Malformed {
				if s, ok := ways.LoadAndDelete(id); ok { // only its first answer
					return spoils[s.(step).How](b, s.(step).N)
				}
				return fake.Malformed{Answer: b}
			}
			rig := newRig(mysqlFront, &fake.Host{Primary: true, Malform: spoil}, &fake.Host{Malform: spoil})
			defer rig.close()
			for i, s := range plan {
				if !mysqlFront {
					s.Form = "postgres"
				}
				time.Sleep(time.Duration(s.After) * time.Millisecond)
				id := fmt.Sprint("q", i)
				ways.Store(id, s)
				a, err := rig.asker(s.Form)
				if err != nil {
					return err
				}
				defer a.leave()
				asked := time.Now()
				got, err := a.ask(s.Class, id)
				ran := rig.hosts[0].Ran(id) + rig.hosts[1].Ran(id)
				switch {
				case err != nil:
					return fmt.Errorf("%d, %+v: %w", i, s, err)
				case got.Outcome == "served" && s.Class == "look" && got.Value != "value of "+id:
					return fmt.Errorf("%d, %+v: %+v", i, s, got)
				case s.Class == "put" && ran > 1, got.Outcome == "refused" && s.Class == "put" && ran > 0:
					return fmt.Errorf("%d, %+v: %+v, ran %d times", i, s, got, ran)
				case time.Since(asked) > 700*time.Millisecond && s.How != "cut short":
					return fmt.Errorf("%d, %+v: %+v after %v", i, s, got, time.Since(asked))
				}
			}
			return nil
		})
	}
}

// TestSpoiltAnswerIsNoFault guards hosts against the blame for answers that went bad on the way: once a read's answer
// was spoilt twice in a row at the primary it was taken for dead, and writes were held back.
func TestSpoiltAnswerIsNoFault(t *testing.T) {
	inBubble(t, func() error {
		var sent atomic.Int32
		rig := newRig(false, &fake.Host{Primary: true, Malform: func(_ string, b []byte) fake.Malformed {
			if sent.Add(1) <= 3 {
				return spoils["noise"](b, 1)
			}
			return fake.Malformed{Answer: b}
		}})
		defer rig.close()
		for i, want := range []string{"failed", "failed", "failed", "served", "served"} {
			a, err := rig.asker("postgres")
			if err != nil {
				return err
			}
			defer a.leave()
			if got, err := a.ask("put", fmt.Sprint("w", i)); err != nil || got.Outcome != want {
				return fmt.Errorf("write %d: %+v, %v", i, got, err)
			}
		}
		return nil
	})
}
