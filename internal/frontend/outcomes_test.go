package frontend_test

import (
	"cmp"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

// TestOutcomesAreAlike guards the promise that both protocols, and both ways to send a MySQL statement, turn what
// a host does into the same answer, and run a statement the same number of times.
func TestOutcomesAreAlike(t *testing.T) {
	const s, m, f, e, r, x, j = fake.Serve, fake.Miss, fake.Reject, fake.Error, fake.Reset, fake.Silent, fake.InvalidStatement
	for _, c := range []struct {
		class string
		acts  []fake.Act // of the attempts in order; the last goes on
		down  bool       // no host can be reached
		want  string
		ran   int
	}{
		{"look", []fake.Act{s}, false, "served", 1},
		{"look", []fake.Act{m, s}, false, "served", 1},
		{"look", []fake.Act{f, s}, false, "served", 1},
		{"look", []fake.Act{e, s}, false, "served", 2},
		{"look", []fake.Act{r, s}, false, "served", 2},
		{"look", []fake.Act{j, s}, false, "failed", 0}, // no other member would do better
		{"put", []fake.Act{j, s}, false, "failed", 0},
		{"look", []fake.Act{f}, false, "refused", 0},
		{"look", nil, true, "refused", 0},
		{"put", []fake.Act{s}, false, "served", 1},
		{"put", []fake.Act{m, s}, false, "served", 1},
		{"put", []fake.Act{f, s}, false, "served", 1},
		{"put", []fake.Act{e, s}, false, "failed", 1}, // it may have run: no second time
		{"put", []fake.Act{r, s}, false, "failed", 1},
		{"put", []fake.Act{x, s}, false, "failed", 1},
		{"put", []fake.Act{f}, false, "refused", 0},
		{"put", nil, true, "refused", 0},
	} {
		for _, form := range forms {
			t.Run(fmt.Sprint(c.class, c.acts, c.down, form), func(t *testing.T) {
				inBubble(t, func() error {
					var calls atomic.Int32
					act := func(_, _ string, prepare bool) fake.Act {
						if prepare || len(c.acts) == 0 {
							return s
						}
						return c.acts[min(int(calls.Add(1)), len(c.acts))-1]
					}
					rig := newRig(form != "postgres", &fake.Host{Primary: true, Act: act}, &fake.Host{Act: act})
					defer rig.close()
					a, err := rig.asker(form)
					if err != nil {
						return err
					}
					defer a.leave()
					if c.down {
						rig.down[0].Store(true)
						rig.down[1].Store(true)
					}
					got, err := a.ask(c.class, "q1")
					if ran := rig.hosts[0].Ran("q1") + rig.hosts[1].Ran("q1"); err != nil || got.Outcome != c.want || ran != c.ran {
						return fmt.Errorf("%+v, %v, ran %d times; want %s, %d", got, err, ran, c.want, c.ran)
					}
					if value := "value of q1"; c.class == "look" && c.want == "served" && got.Value != value {
						return fmt.Errorf("value %q", got.Value)
					}
					return nil
				})
			})
		}
	}
}

// TestStatementOutlivesItsMember guards an execute against the death of the member that holds the statement: a
// read is prepared anew elsewhere and served, and a write that may have run is not sent again.
func TestStatementOutlivesItsMember(t *testing.T) {
	inBubble(t, func() error {
		reset := false
		act := func(_, text string, prepare bool) fake.Act {
			if reset && !prepare {
				return fake.Reset
			}
			return fake.Serve
		}
		rig := newRig(true, &fake.Host{Primary: true, Act: act}, &fake.Host{}, &fake.Host{})
		defer rig.close()
		a, err := rig.asker("prepared")
		if err != nil {
			return err
		}
		defer a.leave()
		run := func(id uint32, key string) (fake.Reply, error) {
			return a.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", key)}, mysqlwire.Attribute("id", key))
		}
		_, read, _, err := a.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		if err != nil {
			return err
		}
		_, write, _, err := a.my.Prepare("/* c=put,cluster=4 */ INSERT INTO records (k) VALUES (?)")
		if err != nil {
			return err
		}
		if got, err := run(write, "w1"); err != nil || got.Outcome != "served" {
			return fmt.Errorf("the first write: %+v, %v", got, err)
		}
		for i, h := range rig.hosts { // each member that may hold the read's statement dies in turn
			h.Die()
			key := fmt.Sprint("r", i)
			if got, err := run(read, key); err != nil || got.Value != "value of "+key {
				return fmt.Errorf("read after a death: %+v, %v", got, err)
			}
		}
		reset = true
		got, err := run(write, "w2")
		if n := rig.hosts[0].Ran("w2"); err != nil || got.Outcome != "failed" || n != 1 {
			return fmt.Errorf("a write whose member died: %+v, %v, ran %d times", got, err, n)
		}
		return nil
	})
}

// TestLatePrepareLeavesNothing guards a connection whose prepare is answered after its client has left: it stays
// in step for others, and no statement stays open at the host.
func TestLatePrepareLeavesNothing(t *testing.T) {
	inBubble(t, func() error {
		h := &fake.Host{Primary: true, PrepareFor: 400 * time.Millisecond}
		rig := newRig(true, h)
		defer rig.close()
		a, err := rig.asker("prepared")
		if err != nil {
			return err
		}
		go a.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		time.Sleep(100 * time.Millisecond)
		a.leave()
		time.Sleep(time.Second)
		open, prepares := h.Statements()
		conns := h.Conns()
		if open != 0 || prepares != 1 || conns != 1 {
			return fmt.Errorf("%d statements open of %d, on %d connections", open, prepares, conns)
		}
		b, err := rig.asker("mysql")
		if err != nil {
			return err
		}
		defer b.leave()
		if got, err := b.ask("look", "q2"); err != nil || got.Value != "value of q2" || h.Conns() != 1 {
			return fmt.Errorf("the next request on it: %+v, %v, %d connections", got, err, h.Conns())
		}
		return nil
	})
}

// TestLongDataAndBoundTypes guards values that come ahead of an execute: they reach whichever member runs it.
func TestLongDataAndBoundTypes(t *testing.T) {
	inBubble(t, func() error {
		rig := newRig(true, &fake.Host{Primary: true})
		defer rig.close()
		a, err := rig.asker("prepared")
		if err != nil {
			return err
		}
		defer a.leave()
		_, id, params, err := a.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		if err != nil || params != 1 {
			return fmt.Errorf("%d parameters, %v", params, err)
		}
		a.my.LongData(id, 0, "long ")
		a.my.LongData(id, 0, "key")
		got, err := a.my.Execute(id, []mysqlwire.Param{{Type: mysqlwire.TypeBlob}})
		if err != nil || got.Value != "value of long key" {
			return fmt.Errorf("long data: %+v, %v", got, err)
		}
		if got, err = a.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "short")}); err != nil || got.Value != "value of short" {
			return fmt.Errorf("after it: %+v, %v", got, err)
		}
		a.my.LongData(id, 7, "x") // no such parameter
		if got, err = a.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "k")}); err != nil || got.Code != "1210" {
			return fmt.Errorf("spoilt long data: %+v, %v", got, err)
		}
		a.my.CloseStatement(id)
		if got, err = a.my.Execute(id, nil); err != nil || got.Code != "1243" {
			return fmt.Errorf("a closed statement: %+v, %v", got, err)
		}
		return nil
	})
}

// TestNothingNewAfterADrain guards a request that waits for a connection while its host begins to drain.
func TestNothingNewAfterADrain(t *testing.T) {
	for _, form := range forms {
		inBubble(t, func() error {
			rig := newRig(form != "postgres", &fake.Host{Primary: true})
			defer rig.close()
			a, err := rig.asker(form)
			if err != nil {
				return err
			}
			defer a.leave()
			rig.list(routing.EndpointListComplete, routing.PhaseDraining)
			synctest.Wait()
			got, err := a.ask("look", "q1")
			if err != nil || got.Outcome != "refused" || rig.hosts[0].Ran("q1") != 0 {
				return fmt.Errorf("%s: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}

// TestStopWhileARequestIsOut guards a request that is out when SIGTERM comes: waking its connection to stop was
// once taken for the client's close, and the request was lost.
func TestStopWhileARequestIsOut(t *testing.T) {
	for _, form := range forms {
		inBubble(t, func() error {
			hold := make(chan struct{})
			act := func(_, _ string, prepare bool) fake.Act {
				if !prepare {
					<-hold
				}
				return fake.Serve
			}
			rig := newRig(form != "postgres", &fake.Host{Primary: true, Act: act})
			a, err := rig.asker(form)
			if err != nil {
				return err
			}
			defer rig.close()
			time.AfterFunc(100*time.Millisecond, rig.stop)
			time.AfterFunc(900*time.Millisecond, func() { close(hold) })
			if got, err := a.ask("put", "q1"); err != nil || got.Outcome != "served" {
				return fmt.Errorf("%s: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}

// TestPasswords guards logins at hosts that want a password, in either way, and that a wrong one never ran.
func TestPasswords(t *testing.T) {
	for _, c := range []struct{ password, plugin, want string }{{"geheim", "", "served"}, {"falsch", "", "refused"},
		{"geheim", mysqlwire.CachingSHA2Password, "served"}, {"falsch", mysqlwire.CachingSHA2Password, "refused"}} {
		inBubble(t, func() error {
			rig := newRig(true, &fake.Host{Primary: true, Password: c.password, Plugin: c.plugin})
			defer rig.close()
			a, err := rig.asker("mysql")
			if err != nil {
				return err
			}
			defer a.leave()
			if got, err := a.ask("put", "q1"); err != nil || got.Outcome != c.want {
				return fmt.Errorf("%+v: %+v, %v", c, got, err)
			}
			return nil
		})
	}
}

// TestMemoryRunsOut guards the limit on memory: what has no room is refused without having run, what is kept is
// given back, and a client that goes easy is served all the while.
func TestMemoryRunsOut(t *testing.T) {
	for _, form := range forms[:2] {
		inBubble(t, func() (err error) {
			hold := make(chan struct{})
			act := func(id, _ string, _ bool) fake.Act {
				if strings.HasPrefix(id, "big") {
					<-hold
				}
				return fake.Serve
			}
			rig := newRig(form != "postgres", &fake.Host{Primary: true, Act: act})
			defer func() { err = cmp.Or(err, rig.close()) }()
			outcomes := map[string]int{}
			answers := make(chan string)
			for i := range 8 {
				a, err := rig.asker(form)
				if err != nil {
					return err
				}
				defer a.leave()
				go func() {
					got, _ := a.say(fmt.Sprintf("/* id=big%d,c=put,cluster=4 */ INSERT INTO records (k) VALUES ('%s')", i, strings.Repeat("x", 60<<10)))
					answers <- got.Outcome
				}()
			}
			time.Sleep(100 * time.Millisecond)
			small, err := rig.asker(form)
			if err != nil {
				return err
			}
			defer small.leave()
			if got, err := small.ask("look", "s"); err != nil || got.Value != "value of s" {
				return fmt.Errorf("%s: a small request: %+v, %v", form, got, err)
			}
			close(hold)
			for range 8 {
				outcomes[<-answers]++
			}
			if outcomes["served"] < 1 || outcomes["served"] > 5 || outcomes["served"]+outcomes["refused"] != 8 {
				return fmt.Errorf("%s: %v", form, outcomes)
			}
			return nil
		})
	}
}
