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

// outcomeTest says how hosts handle a request's attempts, and which answer the client has to get.
type outcomeTest struct {
	class       string
	acts        []fake.Act // for each attempt in order; the last act repeats
	unreachable bool       // whether all hosts refuse connections
	want        string     // outcome of the answer
	ran         int        // how often the statement has to run
}

// outcomeTests are the cases of TestOutcomesMatchAcrossForms.
var outcomeTests = []outcomeTest{
	{"look", []fake.Act{fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Miss, fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Reject, fake.Serve}, false, "served", 1},
	{"look", []fake.Act{fake.Error, fake.Serve}, false, "served", 2},
	{"look", []fake.Act{fake.Reset, fake.Serve}, false, "served", 2},
	{"look", []fake.Act{fake.InvalidStatement, fake.Serve}, false, "failed", 0}, // invalid at every member: no retry
	{"put", []fake.Act{fake.InvalidStatement, fake.Serve}, false, "failed", 0},
	{"look", []fake.Act{fake.Reject}, false, "refused", 0},
	{"look", nil, true, "refused", 0},
	{"put", []fake.Act{fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Miss, fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Reject, fake.Serve}, false, "served", 1},
	{"put", []fake.Act{fake.Error, fake.Serve}, false, "failed", 1}, // it may have run: no retry
	{"put", []fake.Act{fake.Reset, fake.Serve}, false, "failed", 1},
	{"put", []fake.Act{fake.Silent, fake.Serve}, false, "failed", 1},
	{"put", []fake.Act{fake.Reject}, false, "refused", 0},
	{"put", nil, true, "refused", 0},
}

// TestOutcomesMatchAcrossForms checks that the same behaviour of the hosts leads to the same answer, and the statement runs equally often,
// with both protocols and with text queries and prepared statements of MySQL.
func TestOutcomesMatchAcrossForms(t *testing.T) {
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

// TestPreparedStatementAfterConnectionLoss checks the execute of a prepared statement after the member that prepared it has lost all its
// connections. A read is prepared again and served, and a write that may have run is not sent again.
func TestPreparedStatementAfterConnectionLoss(t *testing.T) {
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
		for i, host := range harness.hosts { // each member that may have prepared the read loses its connections in turn
			host.DropConnections()
			key := fmt.Sprint("r", i)
			if got, err := run(read, key); err != nil || got.Value != "value of "+key {
				return fmt.Errorf("a read after a host lost its connections: %+v, %v", got, err)
			}
		}
		reset = true
		got, err := run(write, "w2")
		if n := harness.hosts[0].Ran("w2"); err != nil || got.Outcome != "failed" || n != 1 {
			return fmt.Errorf("a write whose connection was reset: %+v, %v, ran %d times", got, err, n)
		}
		return nil
	})
}

// TestLatePrepareLeavesNoStatement checks that a connection to a host whose prepare is answered after the client has disconnected
// stays usable for other requests, and that the statement is closed at the host.
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
			return fmt.Errorf("%d of %d prepared statements are open at the host, with %d connections", open, prepares, conns)
		}
		other, err := harness.newClient(formMySQL)
		if err != nil {
			return err
		}
		defer other.disconnect()
		if got, err := other.request("look", "q2"); err != nil || got.Value != "value of q2" || host.Conns() != 1 {
			return fmt.Errorf("the next request to the host: %+v, %v, %d connections", got, err, host.Conns())
		}
		return nil
	})
}

// TestLongDataAndBoundTypes checks that parameter values sent before an execute reach the member that runs it, that invalid long data
// fails the next execute, and that a closed statement can't be executed.
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
			return fmt.Errorf("an execute after the one with long data: %+v, %v", got, err)
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

// TestDrainingHostGetsNoRequest checks that no request is sent to a draining host.
func TestDrainingHostGetsNoRequest(t *testing.T) {
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

// TestShutdownWithAnOpenRequest checks that a request that is open when the gateway gets SIGTERM is served. The session's wake was
// once mistaken for a disconnect of the client, and the request was lost.
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

// TestPasswords checks logins at hosts that require a password, with both plugins, and that nothing runs after a wrong password.
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

// TestMemoryBudgetExhausted checks the memory budget: requests that exceed it are rejected without being run, memory is released
// after use, and meanwhile a small request of another client is served.
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
