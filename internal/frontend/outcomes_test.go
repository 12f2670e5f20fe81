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

// outcomeTest is what hosts do with a request's attempts, and the answer.
type outcomeTest struct {
	class       string
	acts        []fake.Act // of the attempts in order; the last goes on
	unreachable bool       // all hosts
	want        string
	ran         int
}

var outcomeTests = []outcomeTest{
	{"look", []fake.Act{fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Miss, fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Reject, fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Error, fake.Serve}, false, "served", 2},
	{"look", []fake.Act{fake.Reset, fake.Serve}, false, "served", 2},
	{"look", []fake.Act{fake.InvalidStatement, fake.Serve}, false, "failed", 0}, // no other member would do better
	{"put", []fake.Act{fake.InvalidStatement, fake.Serve}, false, "failed", 0},
	{"look", []fake.Act{fake.Reject}, false, "refused", 0},
	{"look", nil, true, "refused", 0},
	{"put", []fake.Act{fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Miss, fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Reject, fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Error, fake.Serve}, false, "failed", 1}, // it may have run: no second time
	{"put", []fake.Act{fake.Reset, fake.Serve}, false, "failed", 1},
	{"put", []fake.Act{fake.Silent, fake.Serve}, false, "failed", 1},
	{"put", []fake.Act{fake.Reject}, false, "refused", 0},
	{"put", nil, true, "refused", 0},
}

// TestOutcomesAreAlike checks that both protocols, and both ways to send a MySQL statement, turn what a host does into the same
// answer, and run a statement the same number of times.
func TestOutcomesAreAlike(t *testing.T) {
	for _, test := range outcomeTests {
		for _, form := range clientForms {
			t.Run(fmt.Sprint(test.class, test.acts, test.unreachable, form), func(t *testing.T) {
				inBubble(t, func() error { return test.check(form) })
			})
		}
	}
}

// check sends a request in a form and checks the answer.
func (test outcomeTest) check(form string) error {
	var calls atomic.Int32
	act := func(_, _ string, prepare bool) fake.Act {
		if prepare || len(test.acts) == 0 {
			return fake.Serve
		}
		return test.acts[min(int(calls.Add(1)), len(test.acts))-1]
	}
	harness := newHarness(form != formPostgres, &fake.Host{Primary: true, Act: act}, &fake.Host{Act: act})
	defer harness.close()
	client, err := harness.newClient(form)
	if err != nil {
		return err
	}
	defer client.disconnect()
	if test.unreachable {
		harness.unreachable[0].Store(true)
		harness.unreachable[1].Store(true)
	}
	got, err := client.request(test.class, "q1")
	if ran := harness.ran("q1"); err != nil || got.Outcome != test.want || ran != test.ran {
		return fmt.Errorf("%+v, %v, ran %d times; want %s, %d", got, err, ran, test.want, test.ran)
	}
	if test.class == "look" && test.want == "served" && got.Value != "value of q1" {
		return fmt.Errorf("value %q", got.Value)
	}
	return nil
}

// TestStatementOutlivesItsMember checks an execute whose member, which had prepared the statement, has died: a read is prepared
// anew elsewhere and served, and a write that may have run is not sent again.
func TestStatementOutlivesItsMember(t *testing.T) {
	inBubble(t, func() error {
		reset := false
		act := func(_, text string, prepare bool) fake.Act {
			if reset && !prepare {
				return fake.Reset
			}
			return fake.Serve
		}
		harness := newHarness(true, &fake.Host{Primary: true, Act: act}, &fake.Host{}, &fake.Host{})
		defer harness.close()
		client, err := harness.newClient(formPrepared)
		if err != nil {
			return err
		}
		defer client.disconnect()
		run := func(id uint32, key string) (fake.Reply, error) {
			return client.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", key)}, mysqlwire.Attribute("id", key))
		}
		_, read, _, err := client.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		if err != nil {
			return err
		}
		_, write, _, err := client.my.Prepare("/* c=put,cluster=4 */ INSERT INTO records (k) VALUES (?)")
		if err != nil {
			return err
		}
		if got, err := run(write, "w1"); err != nil || got.Outcome != "served" {
			return fmt.Errorf("the first write: %+v, %v", got, err)
		}
		for i, host := range harness.hosts { // each member that may hold the read's statement dies in turn
			host.DropConnections()
			key := fmt.Sprint("r", i)
			if got, err := run(read, key); err != nil || got.Value != "value of "+key {
				return fmt.Errorf("read after a death: %+v, %v", got, err)
			}
		}
		reset = true
		got, err := run(write, "w2")
		if n := harness.hosts[0].Ran("w2"); err != nil || got.Outcome != "failed" || n != 1 {
			return fmt.Errorf("a write whose member died: %+v, %v, ran %d times", got, err, n)
		}
		return nil
	})
}

// TestLatePrepareLeavesNoStatement checks a connection whose prepare is answered after its client has disconnected: it stays usable
// for others, and no statement stays open at the host.
func TestLatePrepareLeavesNoStatement(t *testing.T) {
	inBubble(t, func() error {
		host := &fake.Host{Primary: true, PrepareFor: 400 * time.Millisecond}
		harness := newHarness(true, host)
		defer harness.close()
		client, err := harness.newClient(formPrepared)
		if err != nil {
			return err
		}
		go client.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		time.Sleep(100 * time.Millisecond)
		client.disconnect()
		time.Sleep(time.Second)
		open, prepares := host.Statements()
		conns := host.Conns()
		if open != 0 || prepares != 1 || conns != 1 {
			return fmt.Errorf("%d statements open of %d, on %d connections", open, prepares, conns)
		}
		other, err := harness.newClient(formMySQL)
		if err != nil {
			return err
		}
		defer other.disconnect()
		if got, err := other.request("look", "q2"); err != nil || got.Value != "value of q2" || host.Conns() != 1 {
			return fmt.Errorf("the next request on it: %+v, %v, %d connections", got, err, host.Conns())
		}
		return nil
	})
}

// TestLongDataAndBoundTypes checks that values sent ahead of an execute reach whichever member runs it.
func TestLongDataAndBoundTypes(t *testing.T) {
	inBubble(t, func() error {
		harness := newHarness(true, &fake.Host{Primary: true})
		defer harness.close()
		client, err := harness.newClient(formPrepared)
		if err != nil {
			return err
		}
		defer client.disconnect()
		_, id, params, err := client.my.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
		if err != nil || params != 1 {
			return fmt.Errorf("%d parameters, %v", params, err)
		}
		client.my.LongData(id, 0, "long ")
		client.my.LongData(id, 0, "key")
		got, err := client.my.Execute(id, []mysqlwire.Param{{Type: mysqlwire.TypeBlob}})
		if err != nil || got.Value != "value of long key" {
			return fmt.Errorf("long data: %+v, %v", got, err)
		}
		if got, err = client.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "short")}); err != nil || got.Value != "value of short" {
			return fmt.Errorf("after it: %+v, %v", got, err)
		}
		client.my.LongData(id, 7, "x") // no such parameter
		if got, err = client.my.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", "k")}); err != nil || got.Code != "1210" {
			return fmt.Errorf("invalid long data: %+v, %v", got, err)
		}
		client.my.CloseStatement(id)
		if got, err = client.my.Execute(id, nil); err != nil || got.Code != "1243" {
			return fmt.Errorf("a closed statement: %+v, %v", got, err)
		}
		return nil
	})
}

// TestNothingNewAfterAHostDrains checks that no request is sent to a host that has begun to drain.
func TestNothingNewAfterAHostDrains(t *testing.T) {
	for _, form := range clientForms {
		inBubble(t, func() error {
			harness := newHarness(form != formPostgres, &fake.Host{Primary: true})
			defer harness.close()
			client, err := harness.newClient(form)
			if err != nil {
				return err
			}
			defer client.disconnect()
			harness.updateEndpoints(routing.EndpointListComplete, routing.PhaseDraining)
			synctest.Wait()
			got, err := client.request("look", "q1")
			if err != nil || got.Outcome != "refused" || harness.hosts[0].Ran("q1") != 0 {
				return fmt.Errorf("%s: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}

// TestShutdownWithAnOpenRequest checks that a request that is open when SIGTERM comes is served: the wake of its session was once
// taken for the client's disconnect, and the request was lost.
func TestShutdownWithAnOpenRequest(t *testing.T) {
	for _, form := range clientForms {
		inBubble(t, func() error {
			blocked := make(chan struct{})
			act := func(_, _ string, prepare bool) fake.Act {
				if !prepare {
					<-blocked
				}
				return fake.Serve
			}
			harness := newHarness(form != formPostgres, &fake.Host{Primary: true, Act: act})
			client, err := harness.newClient(form)
			if err != nil {
				return err
			}
			defer harness.close()
			time.AfterFunc(100*time.Millisecond, harness.shutdown)
			time.AfterFunc(900*time.Millisecond, func() { close(blocked) })
			if got, err := client.request("put", "q1"); err != nil || got.Outcome != "served" {
				return fmt.Errorf("%s: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}

// TestPasswords checks logins at hosts that want a password, by either plugin, and that nothing runs with a wrong one.
func TestPasswords(t *testing.T) {
	for _, c := range []struct{ password, plugin, want string }{{harnessPassword, "", "served"}, {"falsch", "", "refused"},
		{harnessPassword, mysqlwire.CachingSHA2Password, "served"}, {"falsch", mysqlwire.CachingSHA2Password, "refused"}} {
		inBubble(t, func() error {
			harness := newHarness(true, &fake.Host{Primary: true, Password: c.password, Plugin: c.plugin})
			defer harness.close()
			client, err := harness.newClient(formMySQL)
			if err != nil {
				return err
			}
			defer client.disconnect()
			if got, err := client.request("put", "q1"); err != nil || got.Outcome != c.want {
				return fmt.Errorf("%+v: %+v, %v", c, got, err)
			}
			return nil
		})
	}
}

// TestMemoryBudgetExhausted checks the limit on memory: requests without memory are rejected and not run, memory is released after
// use, and a client with small requests is served all the while.
func TestMemoryBudgetExhausted(t *testing.T) {
	for _, form := range protocols {
		inBubble(t, func() (err error) {
			blocked := make(chan struct{})
			act := func(id, _ string, _ bool) fake.Act {
				if strings.HasPrefix(id, "big") {
					<-blocked
				}
				return fake.Serve
			}
			harness := newHarness(form != formPostgres, &fake.Host{Primary: true, Act: act})
			defer func() { err = cmp.Or(err, harness.close()) }()
			outcomes := map[string]int{}
			answers := make(chan string)
			for i := range 8 {
				client, err := harness.newClient(form)
				if err != nil {
					return err
				}
				defer client.disconnect()
				go func() {
					got, _ := client.query(fmt.Sprintf("/* id=big%d,c=put,cluster=4 */ INSERT INTO records (k) VALUES ('%s')", i, strings.Repeat("x", 60<<10)))
					answers <- got.Outcome
				}()
			}
			time.Sleep(100 * time.Millisecond)
			small, err := harness.newClient(form)
			if err != nil {
				return err
			}
			defer small.disconnect()
			if got, err := small.request("look", "s"); err != nil || got.Value != "value of s" {
				return fmt.Errorf("%s: a small request: %+v, %v", form, got, err)
			}
			close(blocked)
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
