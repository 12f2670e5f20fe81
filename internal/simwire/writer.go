package simwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

// End closes the reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("next\n")
	return w.out.Flush()
}

// action writes one line.
func (w *Writer) action(name, instance string, values ...string) {
	w.out.WriteString(name)
	w.out.WriteByte(' ')
	w.out.WriteString(instance)
	for _, v := range values {
		w.out.WriteByte(' ')
		w.out.WriteString(v)
	}
	w.out.WriteByte('\n')
}

// Bug declares that the decision code failed.
func (w *Writer) Bug(instance, text string) { w.action("bug", instance, oneLine(text)) }

// Actions is one instance's side of a reply; it implements routing.Gateway.
type Actions struct {
	Writer   *Writer
	Instance string
}

func (a *Actions) act(name string, values ...string) { a.Writer.action(name, a.Instance, values...) }

// Send writes a try. On this wire an attempt begins at once.
func (a *Actions) Send(request uint64, member string, abandonAt, _ time.Duration) {
	a.act("try", id(request), clock(abandonAt), member)
}

// Cancel writes a drop_attempt.
func (a *Actions) Cancel(request uint64, attempt int) {
	a.act("drop_attempt", id(request), strconv.Itoa(attempt))
}

// Refuse writes a busy.
func (a *Actions) Reject(request uint64, comeBack time.Duration, _ routing.Reason) {
	a.act("busy", id(request), clock(comeBack))
}

// Fail writes a surrender.
func (a *Actions) Fail(request uint64, _ routing.Reason) { a.act("surrender", id(request)) }

// Close writes a close.
func (a *Actions) CloseIdle(member string) { a.act("close", member) }

// Probe writes a sound_out.
func (a *Actions) CheckHealth(member string, _ routing.ConnPolicy) { a.act("sound_out", member) }

// SetTimer writes a set_alarm.
func (a *Actions) SetTimer(after time.Duration, name string) { a.act("set_alarm", clock(after), name) }

// Subscribe writes a keep_informed.
func (a *Actions) Subscribe(on bool) {
	if on {
		a.act("keep_informed", "1")
		return
	}
	a.act("keep_informed", "0")
}

// FetchEndpoints writes a lookup.
func (a *Actions) FetchEndpoints() { a.act("lookup") }

// ZoneChanged writes a debug line.
func (a *Actions) ZoneChanged(c zones.Change) { a.Log(c.String()) }

// Log writes a debug line.
func (a *Actions) Log(text string) { a.act("debug", oneLine(text)) }

func id(n uint64) string { return strconv.FormatUint(n, 10) }

// clock writes a time in seconds, cut to the microsecond.
func clock(d time.Duration) string {
	return strconv.FormatFloat(float64(d/time.Microsecond)/1e6, 'f', 6, 64)
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
