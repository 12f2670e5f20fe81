package frontend_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// clientKind is the behaviour of a client in TestFullLimiter.
type clientKind string

const (
	kindSilent      clientKind = "silent"  // sends nothing
	kindStarted     clientKind = "greeted" // completes the startup and sends no request
	kindServed      clientKind = "asked"   // has sent a request and got the answer
	kindHalfMessage clientKind = "half"    // has sent half of a message
	kindOpenRequest clientKind = "open"    // has an open request
)

// The model's times. They repeat the limiter's own. A step that comes close to one of them is not checked.
const (
	modelNewIdle      = 100 * time.Millisecond // idle time before a client that has sent no request may be evicted
	modelIdle         = 250 * time.Millisecond // idle time before a client may be evicted after a request
	modelAcquireEarly = 280 * time.Millisecond // a new client waits for a slot if it becomes evictable within this time
	modelAcquireLate  = 320 * time.Millisecond // a new client is rejected if no slot becomes evictable within this time
	modelAcquireSlack = 15 * time.Millisecond  // how much later than expected a rejection may come
	modelEvictSlack   = 20 * time.Millisecond  // an evicted client may have become evictable this much later than the first
)

// modelSlots is the size of the limiter.
const modelSlots = 4

// modelClient is a client in the model of a full limiter.
type modelClient struct {
	id           int
	kind         clientKind
	conn         net.Conn
	since        time.Time     // when it reached the state that its kind describes
	disconnected chan struct{} // closed when its connection has ended
}

// evictableAt returns the time from which the client may be evicted for a new one, and whether it can be evicted at all.
func (c *modelClient) evictableAt() (time.Time, bool) {
	switch c.kind {
	case kindSilent, kindStarted:
		return c.since.Add(modelNewIdle), true
	case kindServed:
		return c.since.Add(modelIdle), true
	}
	return time.Time{}, false
}

// certain reports whether the client is certainly still in the state that its kind describes: none of its own timeouts has passed.
func (c *modelClient) certain() bool {
	limit, limited := map[clientKind]time.Duration{
		kindSilent:      2 * time.Second,
		kindHalfMessage: 500 * time.Millisecond,
		kindOpenRequest: 200 * time.Millisecond,
	}[c.kind]
	return !limited || time.Since(c.since) < limit
}

// evicted reports whether the gateway has closed the client's connection.
func (c *modelClient) evicted() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// longIdle reports whether the client has been idle long enough to be evicted if too many clients are idle.
func (c *modelClient) longIdle() bool {
	return c.kind == kindServed && time.Since(c.since) >= modelIdle
}

// modelState is the model's state before a step.
type modelState struct {
	connected   []*modelClient
	certain     bool          // the other fields are certainly right
	evictableAt time.Time     // when the first client may be evicted; zero if none may
	full        bool          // every slot is in use
	wait        time.Duration // if full: how long until the first client may be evicted
	accepts     bool          // a new client gets a slot
}

// observe returns the state before a new client connects.
func observe(clients []*modelClient) modelState {
	state := modelState{certain: true}
	for _, c := range clients {
		if c.evicted() {
			continue
		}
		state.connected = append(state.connected, c)
		state.certain = state.certain && c.certain()
		if at, ok := c.evictableAt(); ok && (state.evictableAt.IsZero() || at.Before(state.evictableAt)) {
			state.evictableAt = at
		}
	}
	state.full = len(state.connected) == modelSlots
	if state.full {
		state.wait = max(0, time.Until(state.evictableAt))
	}
	canEvict := !state.evictableAt.IsZero()
	state.accepts = !state.full || canEvict && state.wait < modelAcquireEarly
	if canEvict && state.wait >= modelAcquireEarly && state.wait < modelAcquireLate {
		state.certain = false // the new client may be accepted or rejected
	}
	return state
}

// checkEvictions checks which clients were evicted since the state was observed, and returns how many.
func (state modelState) checkEvictions(client *modelClient, accepted bool) (evicted int, err error) {
	// If idle clients use more than half of the slots, the ones idle longest are evicted.
	evictsSurplus := accepted && client.kind == kindServed
	idle := 0
	for _, c := range state.connected {
		if c.kind == kindServed && !c.evicted() {
			idle++
		}
	}
	for _, c := range state.connected {
		if !c.evicted() {
			if evictsSurplus && state.certain && c.longIdle() && idle >= modelSlots/2 {
				return 0, fmt.Errorf("client %d: no surplus idle client was evicted", client.id)
			}
			continue
		}
		if evictsSurplus && c.longIdle() {
			evicted = max(evicted, 1)
			continue
		}
		evicted++
		at, evictable := c.evictableAt()
		if state.certain && (!state.full || !evictable || at.Sub(state.evictableAt) > modelEvictSlack) {
			return 0, fmt.Errorf("client %d (%s): a client (%s) was evicted that had to stay", client.id, client.kind, c.kind)
		}
	}
	return evicted, nil
}

// limiterStep is the connect of a new client.
type limiterStep struct {
	After time.Duration // delay after the previous step
	Kind  clientKind
}

// limiterPlans generates sequences of clients.
var limiterPlans = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) limiterStep {
	after := rapid.SampledFrom([]int{1, 20, 90, 400, 1900}).Draw(t, "after")
	kinds := []clientKind{kindSilent, kindStarted, kindServed, kindServed, kindHalfMessage, kindOpenRequest}
	return limiterStep{time.Duration(after) * time.Millisecond, rapid.SampledFrom(kinds).Draw(t, "kind")}
}), 5, 14)

// limiterModel counts the steps that were checked, and those of them on a full limiter.
type limiterModel struct{ certain, full int }

// TestFullLimiter runs random clients against a limiter of four slots. A new client must get a slot if another client has been idle long
// enough or will soon be, which includes clients that have sent no request. That client must be evicted and no other, and never one with
// an open or half-read request. If all clients are active, the new client must be rejected at once. Without evictions, clients that send one
// request and stay connected, or never send a byte, would keep all others out.
func TestFullLimiter(t *testing.T) {
	var model limiterModel
	checkPlans(t, limiterPlans, model.run)
	if model.certain < 300 || model.full < 100 {
		t.Errorf("only %d steps were checked, %d of them on a full limiter", model.certain, model.full)
	}
}

// run connects the clients of a plan in a new harness and compares the limiter with the model.
func (m *limiterModel) run(plan []limiterStep) error {
	blocked := make(chan struct{})
	harness := newHarnessFor(modelSlots, 1, false, &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
		if strings.HasPrefix(id, string(kindOpenRequest)) {
			<-blocked
		}
		return fake.Serve
	}})
	defer harness.close()
	defer close(blocked)
	var clients []*modelClient
	for i, step := range plan {
		time.Sleep(step.After)
		synctest.Wait()
		state := observe(clients)
		client := &modelClient{id: i, kind: step.Kind, disconnected: make(chan struct{}), conn: harness.connect()}
		defer client.conn.Close()
		accepted, err := client.start(state.wait)
		if err != nil {
			return fmt.Errorf("client %d (%s): %w", i, step.Kind, err)
		}
		evicted, err := state.checkEvictions(client, accepted)
		if err != nil {
			return err
		}
		if !state.certain {
			return nil
		}
		m.certain++
		if state.full {
			m.full++
		}
		if accepted != state.accepts || state.full && state.accepts && evicted < 1 {
			return fmt.Errorf("client %d (%s) got a slot: %v, want %v; %d clients evicted", i, step.Kind, accepted, state.accepts, evicted)
		}
		clients = state.connected
		if accepted {
			clients = append(clients, client)
		}
	}
	return nil
}

// start brings the client into the state that its kind describes, and returns whether it got a slot.
func (c *modelClient) start(wait time.Duration) (accepted bool, err error) {
	if c.kind == kindSilent {
		accepted, err = c.awaitRejection(wait + modelAcquireSlack)
	} else {
		accepted, err = c.completeStartup()
	}
	if !accepted || err != nil {
		return false, err
	}
	if c.since.IsZero() {
		c.since = time.Now()
	}
	go func() {
		io.Copy(io.Discard, c.conn)
		close(c.disconnected)
	}()
	synctest.Wait()
	return true, nil
}

// awaitRejection waits for a rejection without sending anything. It returns true if none arrives before the timeout.
func (c *modelClient) awaitRejection(timeout time.Duration) (accepted bool, err error) {
	b := make([]byte, 100)
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := c.conn.Read(b)
	if n > 0 {
		if code := pgwire.Field(b[5:n], 'C'); string(code) != "53300" {
			return false, fmt.Errorf("the gateway sent %q instead of a rejection", b[:n])
		}
		return false, nil
	}
	if err == io.EOF {
		return false, fmt.Errorf("closed without an error")
	}
	c.conn.SetReadDeadline(time.Time{})
	c.since = time.Now().Add(-modelAcquireSlack)
	return true, nil
}

// completeStartup completes the startup and sends the messages of the client's kind. It returns false if the client is rejected.
func (c *modelClient) completeStartup() (accepted bool, err error) {
	client, err := fake.DialPostgres(c.conn, "")
	if err != nil {
		return false, nil
	}
	statement := fmt.Sprintf("/* id=%s%d,c=look,d=900,cluster=4 */ SELECT v FROM records WHERE k = 'a'", c.kind, c.id)
	switch c.kind {
	case kindServed: // the request itself may be rejected while another one is slow
		if r, err := client.Ask(statement); err != nil || r.Outcome == "" {
			return false, fmt.Errorf("%+v, %v", r, err)
		}
	case kindHalfMessage:
		c.conn.Write([]byte{'Q', 0, 0})
	case kindOpenRequest:
		c.conn.Write([]byte(postgresQuery(statement)))
	}
	return true, nil
}
