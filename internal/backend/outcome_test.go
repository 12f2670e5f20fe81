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

// errorCase is an error that a host gives once.
type errorCase struct {
	protocol, code string
	after          int    // messages of the good answer
	tail           string // "noise" in place of Ready, or a "break" behind the error
	want           core.Status
}

// errorCases are errors that mean that nothing has run, alone and behind a part of a result.
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

// TestNeverRanOnlyWhereCertain gives errors that mean that nothing has run: where they stand alone a statement that may run
// once is retried, and where they follow a part of a result it had begun, so it is not.
func TestNeverRanOnlyWhereCertain(t *testing.T) {
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

// host returns a host that gives the error once, and counts the answers that it gives.
func (c errorCase) host(sent *atomic.Int32) *fake.Host {
	host := &fake.Host{}
	host.Malform = func(_ string, answer []byte) fake.Malformed {
		if sent.Add(1) > 1 {
			return fake.Malformed{Answer: answer}
		}
		if c.tail == "break" { // the error alone, and then the connection's end
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

// TestUnknownPreparedBehindRows has a host report in the middle of a result that a prepared statement is not known: that is no
// reason to run it again. Where the error stands alone it is.
func TestUnknownPreparedBehindRows(t *testing.T) {
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
		time.Sleep(pastReuseDelay) // the same connection: it has the statement
		a := h.wait(h.request("put", "q2"))
		if n, _ := host.Statements(); a.Status != want || h.connCount() != 1 || (sent.Load() == 2) != (want == core.Served) {
			t.Errorf("after %d: status %d, sent %d times, %d connections, %d statements", after, a.Status, sent.Load(), h.connCount(), n)
		}
	}
}
