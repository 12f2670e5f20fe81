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

// clientKind is what a client of the model of a full limiter does.
type clientKind string

const (
	kindSilent  clientKind = "silent"  // sends nothing
	kindGreeted clientKind = "greeted" // completes the startup and sends no request
	kindAsked   clientKind = "asked"   // has had an answer
	kindHalf    clientKind = "half"    // has sent half of a message
	kindOpen    clientKind = "open"    // has an open request
)

// The model's times. They repeat the limiter's, and the model is certain only where a step is not close to one of them.
const (
	modelNewIdle      = 100 * time.Millisecond // until a client without a request may be evicted
	modelIdle         = 250 * time.Millisecond // until one after a request may be
	modelAcquireEarly = 280 * time.Millisecond // a client waits for a slot that is evictable by then,
	modelAcquireLate  = 320 * time.Millisecond // and not for one that is evictable only from then on
	modelAcquireSlack = 15 * time.Millisecond
	modelEvictSlack   = 20 * time.Millisecond
)

// modelSlots is the size of the limiter.
const modelSlots = 4

// modelClient is a client as the model of a full limiter sees it.
type modelClient struct {
	id           int
	kind         clientKind
	conn         net.Conn
	since        time.Time // when it got to its state
	disconnected chan struct{}
}

// evictableAt is when it may be evicted for a new client, if it ever is.
func (c *modelClient) evictableAt() (time.Time, bool) {
	switch c.kind {
	case kindSilent, kindGreeted:
		return c.since.Add(modelNewIdle), true
	case kindAsked:
		return c.since.Add(modelIdle), true
	}
	return time.Time{}, false
}

// certain reports whether no timeout of its own can have changed its state.
func (c *modelClient) certain() bool {
	limit, limited := map[clientKind]time.Duration{
		kindSilent: 2 * time.Second,
		kindHalf:   500 * time.Millisecond,
		kindOpen:   200 * time.Millisecond,
	}[c.kind]
	return !limited || time.Since(c.since) < limit
}

// evicted reports whether the gateway has closed its connection.
func (c *modelClient) evicted() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// longIdle reports whether it is evicted where too many clients are idle.
func (c *modelClient) longIdle() bool { return c.kind == kindAsked && time.Since(c.since) >= modelIdle }

// modelState is what the model knows before a step.
type modelState struct {
	connected   []*modelClient
	certain     bool
	evictableAt time.Time     // the first time at which one may be evicted; zero: none
	full        bool          // every slot is held
	wait        time.Duration // until one may be evicted, where the limiter is full
	accepts     bool          // a new client gets a slot
}

// observe returns the state before a new client comes.
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
		state.certain = false // it may be either
	}
	return state
}

// checkEvictions checks who was evicted since the state was observed, and returns how many.
func (state modelState) checkEvictions(client *modelClient, accepted bool) (evicted int, err error) {
	// More than half of the slots are held by idle clients: those idle longest are evicted.
	evictsSurplus := accepted && client.kind == kindAsked
	idle := 0
	for _, c := range state.connected {
		if c.kind == kindAsked && !c.evicted() {
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
			return 0, fmt.Errorf("client %d (%s): one (%s) was evicted that had to stay", client.id, client.kind, c.kind)
		}
	}
	return evicted, nil
}

// limiterStep is a new client, some time after the one before.
type limiterStep struct {
	After time.Duration
	Kind  clientKind
}

var limiterPlans = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) limiterStep {
	after := rapid.SampledFrom([]int{1, 20, 90, 400, 1900}).Draw(t, "after")
	kinds := []clientKind{kindSilent, kindGreeted, kindAsked, kindAsked, kindHalf, kindOpen}
	return limiterStep{time.Duration(after) * time.Millisecond, rapid.SampledFrom(kinds).Draw(t, "kind")}
}), 5, 14)

// limiterModel counts the steps that were checked.
type limiterModel struct{ certain, full int }

// TestFullLimiter runs random clients against a limiter of four slots. A new client gets a slot if any client is silent, or has
// sent no request, or has been idle long enough, or soon will be; that one is evicted and no other, never one with a request
// open or half read; and where all are active the new client is rejected at once. Without that, clients that send one request
// and stay, or never send a byte, would keep all others out.
func TestFullLimiter(t *testing.T) {
	var model limiterModel
	checkPlans(t, limiterPlans, model.run)
	if model.certain < 300 || model.full < 100 {
		t.Errorf("only %d steps were checked, %d of them on a full limiter", model.certain, model.full)
	}
}

func (m *limiterModel) run(plan []limiterStep) error {
	blocked := make(chan struct{})
	harness := newHarnessFor(modelSlots, 1, false, &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
		if strings.HasPrefix(id, string(kindOpen)) {
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
			return fmt.Errorf("client %d (%s) has a slot: %v, want %v; %d evicted", i, step.Kind, accepted, state.accepts, evicted)
		}
		clients = state.connected
		if accepted {
			clients = append(clients, client)
		}
	}
	return nil
}

// start does what the client's kind does, and returns whether it has a slot.
func (c *modelClient) start(wait time.Duration) (accepted bool, err error) {
	if c.kind == kindSilent {
		accepted, err = c.awaitRejection(wait + modelAcquireSlack)
	} else {
		accepted, err = c.greet()
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

// awaitRejection waits for an error without sending anything. It returns true where none comes in time.
func (c *modelClient) awaitRejection(timeout time.Duration) (accepted bool, err error) {
	b := make([]byte, 100)
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := c.conn.Read(b)
	if n > 0 {
		if code := pgwire.Field(b[5:n], 'C'); string(code) != "53300" {
			return false, fmt.Errorf("the error is %q", b[:n])
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

// greet completes the startup and sends what the client's kind sends. It returns false where the client is rejected.
func (c *modelClient) greet() (accepted bool, err error) {
	client, err := fake.DialPostgres(c.conn, "")
	if err != nil {
		return false, nil
	}
	statement := fmt.Sprintf("/* id=%s%d,c=look,d=900,cluster=4 */ SELECT v FROM records WHERE k = 'a'", c.kind, c.id)
	switch c.kind {
	case kindAsked: // the request may be rejected where another one is slow
		if r, err := client.Ask(statement); err != nil || r.Outcome == "" {
			return false, fmt.Errorf("%+v, %v", r, err)
		}
	case kindHalf:
		c.conn.Write([]byte{'Q', 0, 0})
	case kindOpen:
		c.conn.Write([]byte(postgresQuery(statement)))
	}
	return true, nil
}
