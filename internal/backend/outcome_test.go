package backend_test

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/fake"
)

// TestNeverRanOnlyWhereCertain gives errors that mean that nothing has run: where they stand alone a statement that may run
// once is sent on, and where they follow a part of a result it had begun, so it is not.
func TestNeverRanOnlyWhereCertain(t *testing.T) {
	type row struct {
		form, code string
		after      int // messages of the good answer
		tail       string
		want       core.Status
	}
	var rows []row
	for _, code := range []string{"53300", "25006"} {
		for _, form := range forms {
			rows = append(rows, row{form, code, 0, "", core.Served}, row{form, code, 1, "", core.Failed}, row{form, code, 2, "", core.Failed})
		}
	}
	for _, form := range forms[1:] {
		for _, code := range []string{"1290", "1040"} {
			rows = append(rows, row{form, code, 0, "", core.Served}, row{form, code, 1, "", core.Failed}, row{form, code, 3, "", core.Failed})
		}
	}
	rows = append(rows, row{"postgres", "53300", 0, "noise", core.Failed}, row{"postgres", "53300", 0, "break", core.Served})
	for _, c := range rows {
		t.Run(fmt.Sprint(c.form, c.code, "after", c.after, c.tail), func(t *testing.T) {
			var sent atomic.Int32
			host := &fake.Host{}
			host.Malform = func(_ string, b []byte) fake.Malformed {
				if sent.Add(1) > 1 {
					return fake.Malformed{Answer: b}
				}
				if c.tail == "break" { // the error alone, and then the connection's end
					return fake.Malformed{Answer: messages(c.form, b)[0]}
				}
				b = failAfter(c.form, b, c.after, c.code)
				if c.tail == "noise" { // in place of Ready
					b = append(bytes.Clone(b[:len(b)-6]), "\x97\xd4\x97\xd4\x97\xd4"...)
				}
				return fake.Malformed{Answer: b}
			}
			if c.tail == "break" {
				host.Act = func(string, string, bool) fake.Act {
					if sent.Load() == 0 {
						return fake.NoCapacity
					}
					return fake.Serve
				}
			}
			r := newRig(t, c.form, host, nil)
			a := r.wait(r.ask("put", "q1"))
			wantSent := int32(1)
			if c.want == core.Served {
				wantSent = 2
			}
			if n := sent.Load(); a.Status != c.want || n != wantSent {
				t.Errorf("status %d, sent %d times; want %d, %d", a.Status, n, c.want, wantSent)
			}
		})
	}
}

// TestUnknownStatementBehindRows says in mid-result that a statement is not known: that is no reason to run it anew. Where it
// stands alone it is.
func TestUnknownStatementBehindRows(t *testing.T) {
	for after, want := range map[int]core.Status{0: core.Served, 3: core.Failed} {
		host := &fake.Host{}
		var sent atomic.Int32
		host.Malform = func(id string, b []byte) fake.Malformed {
			if id == "q2" && sent.Add(1) == 1 {
				b = failAfter("prepared", b, after, "1243")
			}
			return fake.Malformed{Answer: b}
		}
		r := newRig(t, "prepared", host, nil)
		r.served("put", "q1")
		time.Sleep(restsFor) // the same connection: it has the statement
		a := r.wait(r.ask("put", "q2"))
		if n, _ := host.Statements(); a.Status != want || r.opened() != 1 || (sent.Load() == 2) != (want == core.Served) {
			t.Errorf("after %d: status %d, sent %d times, %d connections, %d statements", after, a.Status, sent.Load(), r.opened(), n)
		}
	}
}
