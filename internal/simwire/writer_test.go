package simwire

import (
	"bytes"
	"testing"
	"time"

	"cranegate/routing"
)

// TestActions checks the line that each action writes.
func TestActions(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	a := &Actions{Writer: w, Instance: "gateway/3"}
	a.Send(1564119492, "10.0.0.1:50", 8492250*time.Microsecond, 0)
	a.Cancel(7, 2)
	a.Reject(8, 300*time.Millisecond, routing.ReasonShed)
	a.Fail(9, routing.ReasonRejected)
	a.CheckHealth("m", routing.ConnAny)
	a.SetTimer(10*time.Millisecond, "sweep")
	a.Subscribe(true)
	a.FetchEndpoints()
	a.Log("two\nlines")
	w.Bug("gateway/3", "index out of range")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `try gateway/3 1564119492 8.492250 10.0.0.1:50
drop_attempt gateway/3 7 2
busy gateway/3 8 0.300000
surrender gateway/3 9
sound_out gateway/3 m
set_alarm gateway/3 0.010000 sweep
keep_informed gateway/3 1
lookup gateway/3
debug gateway/3 two lines
bug gateway/3 index out of range
next
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}
