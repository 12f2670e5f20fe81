package simulation

import (
	"flag"
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

var seeds = flag.Int("seeds", 50, "fleets to play in TestSeeds")

func planOf(seed int) plan {
	p := plan{voters: 3, followers: 5 + seed*7%16, seed: uint64(seed), trouble: 50 * time.Second, calm: 32 * time.Second}
	if seed%2 == 1 {
		p.voters = 5
	}
	if slow {
		p.trouble, p.calm = 14*time.Second, 11*time.Second
	}
	return p
}

// TestSeeds plays fleets of 3 and 5 voters with 5 to 20 followers through losses, delays, repetitions, cuts, crashes with and
// without disk, pauses and clocks that are off by a third.
func TestSeeds(t *testing.T) {
	type sum struct{ acts, refused, late, narrows, replaced, commands, renews int }
	sums := make(chan sum, *seeds)
	longest := make(chan time.Duration, *seeds)
	t.Run("seeds", func(t *testing.T) {
		for w := range 2 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for i := w; i < *seeds; i += 2 {
					f := newFleet(planOf(i))
					f.play()
					for _, x := range f.judge.failures {
						t.Errorf("seed %d: %s", i, x)
					}
					j := f.judge
					sums <- sum{j.acts, j.refused, j.late, j.done, f.replaced, j.commands, j.renews}
					longest <- j.longest
				}
			})
		}
	})
	var all sum
	var most time.Duration
	for range *seeds {
		s := <-sums
		all = sum{all.acts + s.acts, all.refused + s.refused, all.late + s.late, all.narrows + s.narrows, all.replaced + s.replaced, all.commands + s.commands, all.renews + s.renews}
		most = max(most, <-longest)
	}
	t.Logf("%d fleets: %+v, the longest narrowing took %v", *seeds, all, most)
	if all.acts == 0 || all.refused == 0 || all.late == 0 && !slow || all.replaced == 0 {
		t.Error("something was not played")
	}
}

// TestSame plays one seed twice.
func TestSame(t *testing.T) {
	a, b := newFleet(planOf(3)), newFleet(planOf(3))
	a.play()
	b.play()
	if a.judge.state.Checksum != b.judge.state.Checksum || a.judge.acts != b.judge.acts || a.judge.state.Index == 1 {
		t.Errorf("%d, %d", a.judge.state.Index, b.judge.state.Index)
	}
}

// TestFiles plays with files, opened anew at each crash.
func TestFiles(t *testing.T) {
	p := planOf(6)
	p.files, p.trouble, p.calm = t.TempDir(), 20*time.Second, 20*time.Second
	f := newFleet(p)
	f.play()
	for _, x := range f.judge.failures {
		t.Error(x)
	}
	for _, g := range f.all {
		g.kept.Close()
	}
}

// TestBroken breaks the core on purpose: the judge must find each.
func TestBroken(t *testing.T) {
	for name, change := range map[string]func(*plan){
		"a narrowing waits for nobody":            func(p *plan) { p.flaws = statemachine.InjectedFaults{SkipRestrictionWait: true} },
		"who asks again is served again":          func(p *plan) { p.flaws = statemachine.InjectedFaults{SkipDeduplication: true} },
		"a voter without disk keeps its identity": func(p *plan) { p.reuse = true },
	} {
		found := ""
		for seed := 0; seed < 20 && found == ""; seed++ {
			p := planOf(seed)
			change(&p)
			f := newFleet(p)
			f.play()
			if len(f.judge.failures) > 0 {
				found = f.judge.failures[0]
			}
		}
		if t.Logf("%s: %s", name, found); found == "" {
			t.Errorf("%s: not found in 20 fleets", name)
		}
	}
}
