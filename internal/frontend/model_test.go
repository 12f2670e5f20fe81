package frontend_test

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
	"cranegate/routing"
)

// check runs a property on plans drawn outside the bubble that plays them.
func check[P any](t *testing.T, plan *rapid.Generator[P], play func(P) error) {
	rapid.Check(t, func(rt *rapid.T) {
		p := plan.Draw(rt, "plan")
		var err error
		synctest.Test(t, func(*testing.T) { err = play(p) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// event is something that happens to a fleet, some time after the event before.
type event struct {
	After time.Duration
	Kind  string
	Form  string
	Class string
	Acts  []fake.Act    // what hosts make of a request's attempts in order; the last goes on
	Stays time.Duration // how long the client waits before it leaves
}

var events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	return event{After: ms("after", 300),
		Kind:  rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "leave", "die", "drain", "cut"}).Draw(t, "kind"),
		Form:  rapid.SampledFrom(forms[1:]).Draw(t, "form"),
		Class: rapid.SampledFrom([]string{"look", "put"}).Draw(t, "class"),
		Acts:  rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fake.Act { return fake.Act(rapid.IntRange(0, 6).Draw(t, "act")) }), 1, 4).Draw(t, "acts"),
		Stays: ms("stays", 900)}
}), 1, 25)

// TestRandomFleets checks the rules on random troubles: one answer each, made for that request; no write that runs
// twice, none refused that ran; nothing new to a drained host; and nothing left over at the end.
func TestRandomFleets(t *testing.T) {
	for _, mysqlFront := range []bool{false, true} {
		check(t, events, func(plan []event) error { return playFleet(mysqlFront, plan) })
	}
}

func playFleet(mysqlFront bool, plan []event) error {
	var mu sync.Mutex
	calls := map[string]int{}
	plans := map[string]event{}
	act := func(id, _ string, prepare bool) fake.Act {
		mu.Lock()
		defer mu.Unlock()
		e := plans[id]
		if prepare || len(e.Acts) == 0 {
			return fake.Serve
		}
		calls[id]++
		return e.Acts[min(calls[id], len(e.Acts))-1]
	}
	rig := newRig(mysqlFront, &fake.Host{Primary: true, Act: act}, &fake.Host{Act: act}, &fake.Host{Act: act})
	ran := func(id string) (n int) {
		for _, h := range rig.hosts {
			n += h.Ran(id)
		}
		return n
	}
	var group sync.WaitGroup
	faults := make(chan error, 2*len(plan))
	var drained time.Time
	for i, e := range plan {
		time.Sleep(e.After)
		switch id := fmt.Sprint("q", i); e.Kind {
		case "die":
			rig.hosts[i%3].Die()
		case "cut":
			rig.down[i%3].Store(!rig.down[i%3].Load())
		case "drain":
			if drained.IsZero() {
				drained = time.Now()
				rig.list(routing.EndpointListComplete, routing.PhaseDraining)
			}
		default:
			if !mysqlFront {
				e.Form = "postgres"
			}
			mu.Lock()
			plans[id] = e
			mu.Unlock()
			late := !drained.IsZero() && time.Since(drained) > 250*time.Millisecond
			group.Go(func() {
				a, err := rig.asker(e.Form)
				if err != nil {
					faults <- err
					return
				}
				defer a.leave()
				if e.Kind == "leave" {
					time.AfterFunc(e.Stays, a.leave)
				}
				asked := time.Now()
				got, err := a.ask(e.Class, id)
				n := ran(id)
				switch {
				case e.Kind == "leave" && err != nil: // it left before its answer
				case err != nil:
					faults <- fmt.Errorf("%s: %w", id, err)
				case time.Since(asked) > 2100*time.Millisecond: // of a prepare and an execute
					faults <- fmt.Errorf("%s answered after %v", id, time.Since(asked))
				case got.Outcome == "served" && (n == 0 || e.Class == "look" && got.Value != "value of "+id),
					got.Outcome == "refused" && e.Class == "put" && n > 0:
					faults <- fmt.Errorf("%s got %+v, ran %d times", id, got, n)
				case late && rig.hosts[2].Ran(id) > 0:
					faults <- fmt.Errorf("%s ran at a drained host", id)
				}
			})
		}
	}
	group.Wait()
	if err := rig.close(); err != nil {
		return err
	}
	synctest.Wait()
	close(faults)
	for err := range faults {
		return err
	}
	for id, e := range plans {
		if n := ran(id); e.Class == "put" && n > 1 {
			return fmt.Errorf("%s ran %d times", id, n)
		}
	}
	for i, h := range rig.hosts {
		if open, _ := h.Statements(); open != 0 || h.Conns() != 0 {
			return fmt.Errorf("host %d is left with %d statements and %d connections", i, open, h.Conns())
		}
	}
	c := rig.counters
	if in, out := c.Get("requests"), c.Get("served")+c.Get("refused")+c.Get("failed")+c.Get("clients_gone"); in != out {
		return fmt.Errorf("%d requests and %d ends: %s", in, out, c)
	}
	return nil
}

// pgStep is a message of a client, and what the model says of it.
type pgStep struct {
	kind byte
	body string
}

var pgSteps = []pgStep{{'Q', "/* id=1,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'a'\x00"}, {'Q', " ;\x00"},
	{'Q', "/* id=1,c=nosuch,cluster=4 */ SELECT 1\x00"}, {'Q', "SELECT 1\x00"}, {'Q', "/* id=1,c=look,d=x */\x00"},
	{'Q', "/* c=look\x00"}, {'P', "\x00SELECT 1\x00\x00\x00"}, {'B', ""}, {'S', ""}, {'H', ""}, {'F', ""}}

// TestPostgresConnectionStates plays random messages, cut at random places and sent ahead of the answers, against
// a model of the connection: what comes back, and that it lives until it is ended.
func TestPostgresConnectionStates(t *testing.T) {
	type plan struct {
		Steps []int
		Cut   int
		End   string
	}
	plans := rapid.Custom(func(t *rapid.T) plan {
		return plan{rapid.SliceOfN(rapid.IntRange(0, len(pgSteps)-1), 0, 12).Draw(t, "steps"),
			rapid.IntRange(1, 300).Draw(t, "cut"), rapid.SampledFrom([]string{"quit", "oversize", "unknown"}).Draw(t, "end")}
	})
	check(t, plans, func(p plan) error {
		rig := newRig(false, &fake.Host{Primary: true})
		defer rig.close()
		var out []byte
		out = append(out, 0, 0, 0, 8, 4, 210, 22, 47) // SSLRequest
		out = pgwire.AppendStartup(out, "svc", "main")
		want, skipping := "NRSSSZ", false
		for _, i := range p.Steps {
			s := pgSteps[i]
			out = pgwire.Append(out, s.kind, s.body)
			switch {
			case s.kind == 'S':
				want, skipping = want+"Z", false
			case skipping || s.kind == 'H': // nothing is owed
			case s.kind == 'F':
				want += "EZ"
			case s.kind != 'Q':
				want, skipping = want+"E", true
			case i == 0:
				want += "TDCZ"
			case i == 1:
				want += "IZ"
			default:
				want += "EZ"
			}
		}
		switch p.End {
		case "quit":
			out = pgwire.Append(out, 'X')
		case "oversize":
			out = append(out, 'Q', 0x7f, 0, 0, 0)
			want += "E"
		case "unknown":
			out = append(out, 'S', 0, 0, 0, 4, 'y', 0, 0, 0, 4)
			want += "ZE"
		}
		raw := rig.connect()
		go func() {
			for part := range chunks(out, p.Cut) {
				if _, err := raw.Write(part); err != nil {
					return
				}
			}
		}()
		c := framebuf.New(raw, pgwire.MaxMessage)
		got := ""
		if b, err := c.Need(1); err != nil || b[0] != 'N' {
			return fmt.Errorf("SSLRequest: %q, %v", b, err)
		}
		c.Skip(1)
		got = "N"
		for {
			kind, _, err := pgwire.ReadMessage(c)
			if err == io.EOF {
				break
			} else if err != nil {
				return err
			}
			got += string(kind)
		}
		if got != want {
			return fmt.Errorf("got %s, want %s", got, want)
		}
		return nil
	})
}

// chunks cuts bytes into parts of a size.
func chunks(b []byte, size int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(size, len(b))
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}

// TestMySQLConnectionStates plays random commands against a model of a connection's prepared statements.
func TestMySQLConnectionStates(t *testing.T) {
	type step struct{ Op, Which int }
	plans := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.IntRange(0, 12).Draw(t, "op"), rapid.IntRange(0, 5).Draw(t, "which")}
	}), 1, 30)
	for _, caps := range []uint32{0, mysqlwire.CapDeprecateEOF | mysqlwire.CapQueryAttributes | mysqlwire.CapSessionTrack} {
		check(t, plans, func(plan []step) (err error) {
			rig := newRig(true, &fake.Host{Primary: true})
			defer func() { err = cmp.Or(err, rig.close()) }()
			c, err := fake.DialMySQL(rig.connect(), caps)
			if err != nil {
				return err
			}
			defer c.Close()
			live := map[uint32]bool{}
			for i, s := range plan {
				id, want, got := uint32(s.Which), "", fake.Reply{}
				known := live[id]
				key := fmt.Sprint("k", i)
				switch s.Op {
				case 0:
					got, err = c.Command(mysqlwire.ComPing, "")
				case 1:
					got, err = c.Command(mysqlwire.ComInitDB, "other")
				case 2:
					got, err = c.Query("SET NAMES utf8mb4")
				case 3:
					got, err = c.Query("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = '" + key + "'")
					want = "value of " + key
				case 4:
					got, err = c.Query("SELECT 1")
					want = "1064"
				case 5:
					got, err = c.Command(0x11, "x") // a change of user
					want = "1047"
				case 6, 7:
					var st uint32
					if got, st, _, err = c.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?"); live[st] {
						return fmt.Errorf("statement %d was given twice", st)
					}
					live[st] = true
				case 8, 9:
					got, err = c.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", key)})
					if want = "value of " + key; !known {
						want = "1243"
					}
				case 10:
					err = c.CloseStatement(id)
					delete(live, id)
					got.Outcome = "served"
				case 12:
					err = c.LongData(id, 1, "never used") // for no parameter: the next execute would fail
					if err == nil && known {
						got, err = c.Command(mysqlwire.ComStmtReset, string([]byte{byte(id), 0, 0, 0}))
					} else {
						got.Outcome = "served"
					}
				case 11:
					got, err = c.Command(mysqlwire.ComStmtReset, string([]byte{byte(id), 0, 0, 0}))
					if !known {
						want = "1243"
					}
				}
				if err != nil {
					return fmt.Errorf("step %d: %w", i, err)
				}
				if wantError := len(want) == 4; wantError && got.Code != want || !wantError && (got.Outcome != "served" || got.Value != want) {
					return fmt.Errorf("step %d (%+v): %+v, want %q", i, s, got, want)
				}
			}
			return nil
		})
	}
}

// TestOversizeAndHalfMessages guards a MySQL connection against packets over the bound and a client that stops
// in the middle of one.
func TestOversizeAndHalfMessages(t *testing.T) {
	inBubble(t, func() error {
		rig := newRig(true, &fake.Host{Primary: true})
		defer rig.close()
		c, err := fake.DialMySQL(rig.connect(), 0)
		if err != nil {
			return err
		}
		go c.Write([]byte{0xff, 0xff, 0xff, 0, mysqlwire.ComQuery})
		_, b, err := mysqlwire.ReadPacket(c.Conn)
		if err != nil || !bytes.Contains(b, []byte("#08S01packet too large")) {
			return fmt.Errorf("%q, %v", b, err)
		}
		half := rig.connect()
		go io.Copy(io.Discard, half)
		half.Write([]byte{1, 0})
		time.Sleep(time.Minute)
		if _, err := half.Write([]byte{0}); err == nil {
			return fmt.Errorf("half a message holds its connection for ever")
		}
		return nil
	})
}
