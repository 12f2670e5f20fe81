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

// Writer writes replies. Only End returns an error.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

// End ends a reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString(messageReplyEnd + "\n")
	return w.out.Flush()
}

// line writes one line.
func (w *Writer) line(message, instance string, values ...string) {
	w.out.WriteString(message)
	w.out.WriteByte(' ')
	w.out.WriteString(instance)
	for _, value := range values {
		w.out.WriteByte(' ')
		w.out.WriteString(value)
	}
	w.out.WriteByte('\n')
}

// Bug reports that the decision code of an instance failed.
func (w *Writer) Bug(instance, text string) { w.line(messageBug, instance, oneLine(text)) }

// Actions writes the actions of one instance to a reply. It implements routing.Gateway.
type Actions struct {
	Writer   *Writer
	Instance string
}

var _ routing.Gateway = (*Actions)(nil)

func (a *Actions) write(message string, values ...string) {
	a.Writer.line(message, a.Instance, values...)
}

// Send writes the start of an attempt. In this protocol an attempt starts at once.
func (a *Actions) Send(request uint64, member string, abandonAt, _ time.Duration) {
	a.write(messageSend, formatID(request), formatSeconds(abandonAt), member)
}

// Cancel writes the cancellation of an attempt.
func (a *Actions) Cancel(request uint64, attempt int) {
	a.write(messageCancel, formatID(request), strconv.Itoa(attempt))
}

// Reject writes a final answer with a Retry-After: nothing ran, or a retry by the client does no harm.
func (a *Actions) Reject(request uint64, retryAfter time.Duration, _ routing.Reason) {
	a.write(messageReject, formatID(request), formatSeconds(retryAfter))
}

// Fail writes a final answer that does not say whether the request ran.
func (a *Actions) Fail(request uint64, _ routing.Reason) {
	a.write(messageFail, formatID(request))
}

// CloseIdle writes that the idle connections to a member are closed.
func (a *Actions) CloseIdle(member string) { a.write(messageCloseIdle, member) }

// CheckHealth writes the start of a health check.
func (a *Actions) CheckHealth(member string, _ routing.ConnPolicy) {
	a.write(messageCheckHealth, member)
}

// SetTimer writes the start of a timer.
func (a *Actions) SetTimer(after time.Duration, name string) {
	a.write(messageSetTimer, formatSeconds(after), name)
}

// Subscribe writes whether the instance subscribes to changes of the endpoint list.
func (a *Actions) Subscribe(on bool) {
	value := "0"
	if on {
		value = "1"
	}
	a.write(messageSubscribe, value)
}

// FetchEndpoints writes a request for the endpoint list.
func (a *Actions) FetchEndpoints() { a.write(messageFetchEndpoints) }

// ZoneChanged writes a zone's change as a line of the log.
func (a *Actions) ZoneChanged(c zones.Change) { a.Log(c.String()) }

// Log writes a line of the log.
func (a *Actions) Log(text string) { a.write(messageLog, oneLine(text)) }

func formatID(n uint64) string { return strconv.FormatUint(n, 10) }

// formatSeconds formats a time in seconds, truncated to the microsecond.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d/time.Microsecond)/1e6, 'f', 6, 64)
}

// oneLine replaces line breaks and other white space by single spaces.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
