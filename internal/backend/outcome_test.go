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

// errorCase is an error with which a host answers once.
type errorCase struct {
	protocol, code string
	after          int    // number of messages of the correct answer before the error
	tail           string // "noise" in place of Ready, or a "break" of the connection after the error
	want           core.Status
}

// errorCases returns errors that mean that nothing has run, both alone and after a part of a result.
func errorCases() []errorCase {
	var cases []errorCase
	add := func(protocol, code string, partial ...int) {
		cases = append(cases, errorCase{protocol, code, 0, "", core.Served})
		for _, after := range partial {
			cases = append(cases, errorCase{protocol, code, after, "", core.Failed})
		}
	}
	for _, code := range []string{"53300", "25006"} {
		for _, protocol := range protocols {
			add(protocol, code, 1, 2)
		}
	}
	for _, protocol := range protocols[1:] {
		for _, code := range []string{"1290", "1040"} {
			add(protocol, code, 1, 3)
		}
	}
	return append(cases, errorCase{"postgres", "53300", 0, "noise", core.Failed},
		errorCase{"postgres", "53300", 0, "break", core.Served})
}

// TestRetriesOnlyWhatNeverRan has a host answer with errors that mean that nothing has run. After such an error alone, a
// statement that may run only once must be retried. After a part of a result the statement had begun, and after noise in place
// of Ready the error can't be trusted: the statement must not be retried.
func TestRetriesOnlyWhatNeverRan(t *testing.T) {
	for _, c := range errorCases() {
		t.Run(fmt.Sprint(c.protocol, c.code, "after", c.after, c.tail), func(t *testing.T) {
			var sent atomic.Int32
			host := c.host(&sent)
			h := newHarness(t, c.protocol, host, nil)
			a := h.wait(h.request("put", "q1"))
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

// host returns a host that answers with the error once, and counts its answers in sent.
func (c errorCase) host(sent *atomic.Int32) *fake.Host {
	host := &fake.Host{}
	host.Malform = func(_ string, answer []byte) fake.Malformed {
		if sent.Add(1) > 1 {
			return fake.Malformed{Answer: answer}
		}
		if c.tail == "break" { // the error alone, and then a close of the connection
			return fake.Malformed{Answer: splitMessages(c.protocol, answer)[0]}
		}
		answer = errorAfter(c.protocol, answer, c.after, c.code)
		if c.tail == "noise" { // in place of Ready
			answer = append(bytes.Clone(answer[:len(answer)-6]), "\x97\xd4\x97\xd4\x97\xd4"...)
		}
		return fake.Malformed{Answer: answer}
	}
	if c.tail == "break" {
		host.Act = func(string, string, bool) fake.Act {
			if sent.Load() == 0 {
				return fake.NoCapacity
			}
			return fake.Serve
		}
	}
	return host
}

// TestUnknownStatementAfterRows has a host report that it does not know a prepared statement. In the middle of a result, the
// error must not cause the statement to run again. Alone, it must.
func TestUnknownStatementAfterRows(t *testing.T) {
	for after, want := range map[int]core.Status{0: core.Served, 3: core.Failed} {
		host := &fake.Host{}
		var sent atomic.Int32
		host.Malform = func(id string, answer []byte) fake.Malformed {
			if id == "q2" && sent.Add(1) == 1 {
				answer = errorAfter("prepared", answer, after, "1243")
			}
			return fake.Malformed{Answer: answer}
		}
		h := newHarness(t, "prepared", host, nil)
		h.checkServes("put", "q1")
		time.Sleep(pastReuseDelay) // q2 goes by the same connection, on which the statement is prepared
		a := h.wait(h.request("put", "q2"))
		if n, _ := host.Statements(); a.Status != want || h.connCount() != 1 || (sent.Load() == 2) != (want == core.Served) {
			t.Errorf("after %d: status %d, sent %d times, %d connections, %d statements", after, a.Status, sent.Load(), h.connCount(), n)
		}
	}
}
