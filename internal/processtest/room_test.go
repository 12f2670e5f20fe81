package processtest

import (
	"fmt"
	"syscall"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// half is a connection whose next request is half written.
type half struct {
	*fake.PostgresClient
	id   string
	rest []byte
}

// begin has a connection ask once, and writes half of a request.
func (r *rig) begin(id string, group int, write bool) (*half, error) {
	c, err := r.dial()
	if err != nil {
		return nil, err
	}
	r.t.Cleanup(func() { c.Close() })
	if a, err := c.Ask(unhurriedStatement(id+"-first", group, false)); err != nil || a.Outcome != "served" {
		return nil, fmt.Errorf("its first request: %+v, %w", a, err)
	}
	b := pgwire.Append(nil, 'Q', unhurriedStatement(id, group, write), "\x00")
	_, err = c.Write(b[:len(b)/2])
	return &half{c, id, b[len(b)/2:]}, err
}

// end writes the rest, and wants the answer.
func (h *half) end() error {
	if _, err := h.Write(h.rest); err != nil {
		return err
	}
	a, err := h.Read()
	if err != nil || a.Outcome != "served" || a.Value != "value of "+h.id {
		return fmt.Errorf("%s: %+v, %w", h.id, a, err)
	}
	return nil
}

// TestPlacesOfSecondUpgrade holds up the start of a third process, while the second serves: the second has room for
// clients that all have a request under way, as the first had at the first upgrade. A gateway of 224 descriptors has 80
// places, of which a half is left where another process lives, and a quarter once that serves.
func TestPlacesOfSecondUpgrade(t *testing.T) {
	r := newRig(t, 224)
	p := r.start().ready()
	for i := range 2 {
		next := r.startStopped()
		var all []*half
		for n := range 36 {
			h, err := r.begin(fmt.Sprintf("u%d-%d", i, n), n%groups, false)
			if err != nil {
				t.Fatalf("upgrade %d, client %d: %v", i+1, n+1, err)
			}
			all = append(all, h)
		}
		for _, h := range all {
			if err := h.end(); err != nil {
				t.Errorf("upgrade %d: %v", i+1, err)
			}
			h.Close()
		}
		next.signal(syscall.SIGCONT)
		next.ready()
		p.term()
		p = next
	}
}
