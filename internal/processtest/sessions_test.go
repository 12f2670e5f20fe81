package processtest

import (
	"fmt"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// withLocalSessions has hosts check no read, and sessions carry no position of their last write.
func withLocalSessions(settings map[string]any) {
	withLongTimeouts(settings)
	domain := settings["domain"].(map[string]any)
	domain["guards"], domain["writeMarks"] = "none", "remembered"
}

// sessionClient is a client whose key names its session.
type sessionClient struct {
	harness *harness
	conn    *fake.PostgresClient
	key     string
}

// newSessionClient connects a client.
func (h *harness) newSessionClient(key string) *sessionClient {
	h.t.Helper()
	conn, err := h.dial()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	return &sessionClient{harness: h, conn: conn, key: key}
}

// request sends a statement of a class, which must be served, and returns its id.
func (c *sessionClient) request(class, statement string) string {
	t := c.harness.t
	t.Helper()
	id := fmt.Sprintf("%s-%d", c.key, c.harness.lastSessionRequest.Add(1))
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=0 */ "+statement, id, class, (eventualTimeout / 4).Milliseconds(), c.key)
	if reply, err := c.conn.Ask(text); err != nil || reply.Outcome != "served" {
		t.Fatalf("%s: %+v, %v", id, reply, err)
	}
	return id
}

// write writes the session's key.
func (c *sessionClient) write() { c.request("zusage", "INSERT INTO records (k) VALUES ('%s')") }

// readsAtPrimary reads the session's key and reports whether the primary served the read.
func (c *sessionClient) readsAtPrimary() bool {
	c.harness.t.Helper()
	return c.harness.hosts[0].Ran(c.request("eigener-antrag", "SELECT v FROM records WHERE k = '%s'")) > 0
}

// expectOwnWrite checks that a session's reads go to the primary, as no replica has the session's write.
func (c *sessionClient) expectOwnWrite(when string) {
	c.harness.t.Helper()
	for range 8 { // without a mark each member would be as good
		if !c.readsAtPrimary() {
			c.harness.t.Errorf("%s, %s: a replica served the read without the session's write", c.key, when)
			return
		}
	}
}

// TestSessionsAcrossUpgrades has sessions write before, between and during two upgrades in a row, where replicas lag, check no read,
// and clients carry no position. A process must not serve a session's read from a replica because another process has served the
// write: the newer process knew no writes of the older one, nor the older one those of the newer.
func TestSessionsAcrossUpgrades(t *testing.T) {
	h := newHarness(t, 256, withLocalSessions)
	h.replicaLag.Store(int64(time.Minute))
	p := h.start().waitReady()
	early := h.newSessionClient("early")
	early.write()
	early.expectOwnWrite("before the upgrades")
	for upgrade := range 2 {
		name := fmt.Sprint("upgrade ", upgrade)
		next := h.start().waitReady()
		p.waitEvent("superseded")
		late := h.newSessionClient(fmt.Sprint("late", upgrade)) // at the newer process
		early.expectOwnWrite(name + ", both processes serve")
		early.write()
		late.write()
		h.newSessionClient(early.key).expectOwnWrite(name + ", another connection")
		p.terminate()
		early.expectOwnWrite(name + ", the older process has ended")
		late.expectOwnWrite(name + ", the older process has ended")
		p = next
	}
	h.replicaLag.Store(0)
	h.eventually("replicas that have caught up serve sessions again", func() bool { return !early.readsAtPrimary() })
}

// TestSessionsAfterFailedUpgrade kills a newer process that has served a session's write. The older one, which serves again, must not
// serve the session's read from a replica.
func TestSessionsAfterFailedUpgrade(t *testing.T) {
	h := newHarness(t, 256, withLocalSessions)
	h.replicaLag.Store(int64(time.Minute))
	old := h.start().waitReady()
	next := h.start().waitReady()
	old.waitEvent("superseded")
	h.newSessionClient("s").write()
	next.kill()
	old.waitEvent("restored")
	h.newSessionClient("s").expectOwnWrite("the newer process was killed")
}
