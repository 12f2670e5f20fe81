package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"cranegate/internal/logging"
	"cranegate/internal/membership"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// TestThousandGateways sends a gateway a full state with 1,023 others over a stream, as at its start: its view must contain
// all of them, and the JSON of the view must be short enough for its reader. The 1,025th gateway must be rejected, which the
// view counts each time and the log reports once, with what an operator can do.
func TestThousandGateways(t *testing.T) {
	var log logBuffer
	t.Cleanup(logging.Use(logging.New(&log, slog.LevelInfo)))
	transport := newTestTransport(t, "a", nil)
	runTransport(t, transport)
	memberNumber := func(i int) membership.MemberState {
		return membership.MemberState{Incarnation: membership.Incarnation(i + 1), Name: fmt.Sprintf("gateway-%04d", i), Zone: fmt.Sprint("zone-", i%3),
			Addr: fmt.Sprintf("127.0.0.1:%d", 1+i%2), Heartbeat: 1}
	}
	first := memberNumber(0)
	first.Addr = "127.0.0.1:1"
	m := membership.Message{Kind: membership.StateResponse, Fleet: "f", From: first}
	for i := 1; i < 1023; i++ {
		m.Members = append(m.Members, memberNumber(i))
	}
	encoded, err := membership.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	transport.sendStream(transport.Addr(), encoded)
	var view View
	eventually(t, "the view is whole", func() bool {
		if view, err = transport.View(context.Background()); err != nil {
			t.Fatal(err)
		}
		return len(view.Members) >= 1023 && view.Size >= 1024 // the size follows with the node's next probe
	})
	if len(view.Members) != 1023 || view.Size != 1024 || view.Rejected != 0 || strings.Contains(log.String(), "fleet_full") {
		t.Errorf("size %d, %d rejected, or a fleet_full log line too early", view.Size, view.Rejected)
	}
	if b, err := json.Marshal(view); err != nil || len(b) > 4<<20 { // the most that the command cranegate members reads
		t.Errorf("the view has %d bytes as JSON, error %v", len(b), err)
	}
	for heartbeat := range 3 {
		extra := memberNumber(2000)
		extra.Heartbeat = uint64(heartbeat + 1)
		b, err := membership.Encode(membership.Message{Kind: membership.Ping, Fleet: "f", From: extra})
		if err != nil {
			t.Fatal(err)
		}
		transport.deliver(b, false)
	}
	eventually(t, "the 1,025th is refused", func() bool {
		view, err = transport.View(context.Background())
		return err == nil && view.Rejected >= 3 && strings.Contains(log.String(), "fleet_full")
	})
	if logged := log.String(); strings.Count(logged, "fleet_full") != 1 || !strings.Contains(logged, FleetFullError{1024}.Error()) || len(view.Members) != 1023 {
		t.Errorf("%d members; the log reports the full fleet %d times, want once: %.300s", len(view.Members), strings.Count(logged, "fleet_full"), logged[strings.Index(logged, "fleet_full"):])
	}
}
