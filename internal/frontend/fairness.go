package frontend

import "time"

// Bounds on the messages that one client may have handled without a pause. While a goroutine always has work, the runtime looks for
// bytes on other connections only every 10 ms. A client that sends without a pause would so delay each step of all other requests.
const (
	maxMessagesInWindow = 32
	messageWindow       = 32 * time.Millisecond
	floodPause          = time.Millisecond
)

// messageRate counts the messages of one client in the present window.
type messageRate struct {
	windowStart time.Time
	messages    int
}

// limit pauses if the client has sent more than maxMessagesInWindow messages within messageWindow.
func (r *messageRate) limit() {
	now := time.Now()
	if now.Sub(r.windowStart) > messageWindow {
		r.windowStart, r.messages = now, 0
	}
	r.messages++
	if r.messages > maxMessagesInWindow {
		time.Sleep(floodPause)
		r.windowStart, r.messages = time.Now(), 0
	}
}
