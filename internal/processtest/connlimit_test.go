package processtest

import (
	"fmt"
	"syscall"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// partialRequest is a connection on which the first half of a request was written.
type partialRequest struct {
	*fake.PostgresClient
	id   string
	rest []byte
}

// beginPartial opens a connection, sends a request that must be served, and writes the first half of another request.
func (h *harness) beginPartial(id string, group int, write bool) (*partialRequest, error) {
	conn, err := h.dial()
	if err != nil {
		return nil, err
	}
	h.t.Cleanup(func() { conn.Close() })
	if reply, err := conn.Ask(longTimeoutStatement(id+"-first", group, false)); err != nil || reply.Outcome != "served" {
		return nil, fmt.Errorf("the first request on the connection: %+v, %w", reply, err)
	}
	message := pgwire.Append(nil, 'Q', longTimeoutStatement(id, group, write), "\x00")
	_, err = conn.Write(message[:len(message)/2])
	return &partialRequest{conn, id, message[len(message)/2:]}, err
}

// complete writes the rest of the request and checks its answer.
func (p *partialRequest) complete() error {
	if _, err := p.Write(p.rest); err != nil {
		return err
	}
	reply, err := p.Read()
	if err != nil || reply.Outcome != "served" || reply.Value != "value of "+p.id {
		return fmt.Errorf("%s: %+v, %w", p.id, reply, err)
	}
	return nil
}

// TestConnectionLimitDuringSecondUpgrade delays the start of the new process in each of two upgrades. In the second upgrade, the
// serving process must accept as many clients with a request in flight as in the first. A gateway with 224 descriptors has a
// connection limit of 80; half of it is left while another process runs, and a quarter once that other process serves.
func TestConnectionLimitDuringSecondUpgrade(t *testing.T) {
	h := newHarness(t, 224)
	p := h.start().waitReady()
	for i := range 2 {
		next := h.startStopped()
		var partials []*partialRequest
		for n := range 36 {
			partial, err := h.beginPartial(fmt.Sprintf("u%d-%d", i, n), n%groupCount, false)
			if err != nil {
				t.Fatalf("upgrade %d, client %d: %v", i+1, n+1, err)
			}
			partials = append(partials, partial)
		}
		for _, partial := range partials {
			if err := partial.complete(); err != nil {
				t.Errorf("upgrade %d: %v", i+1, err)
			}
			partial.Close()
		}
		next.signal(syscall.SIGCONT)
		next.waitReady()
		p.terminate()
		p = next
	}
}
