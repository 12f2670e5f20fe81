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

// lines is a log that tests read while others write.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(b) }

func (l *lines) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// TestThousandGateways tells a gateway on sockets of 1,023 others by a stream, as at a start: its view has all of them,
// and what it tells in turn is sent whole. The 1,025th is refused, in the view and in the log, with what to do, and once.
func TestThousandGateways(t *testing.T) {
	var log lines
	t.Cleanup(logging.Use(logging.New(&log, slog.LevelInfo)))
	p := listen(t, "a", nil)
	run(t, p)
	row := func(i int) membership.MemberState {
		return membership.MemberState{Incarnation: membership.Incarnation(i + 1), Name: fmt.Sprintf("gateway-%04d", i), Zone: fmt.Sprint("zone-", i%3),
			Addr: fmt.Sprintf("127.0.0.1:%d", 1+i%2), Heartbeat: 1}
	}
	first := row(0)
	first.Addr = "127.0.0.1:1"
	m := membership.Message{Kind: membership.StateResponse, Fleet: "f", From: first}
	for i := 1; i < 1023; i++ {
		m.Members = append(m.Members, row(i))
	}
	text, err := membership.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	p.sendStream(p.Addr(), text)
	var v View
	eventually(t, "the view is whole", func() bool {
		if v, err = p.View(context.Background()); err != nil {
			t.Fatal(err)
		}
		return len(v.Members) >= 1023 && v.Size >= 1024 // it counts on them with its next probe
	})
	if len(v.Members) != 1023 || v.Size != 1024 || v.Rejected != 0 || strings.Contains(log.String(), "fleet_full") {
		t.Errorf("counts on %d, refused %d", v.Size, v.Rejected)
	}
	if b, err := json.Marshal(v); err != nil || len(b) > 4<<20 { // what cranegate members reads at most
		t.Errorf("the view takes %d bytes, %v", len(b), err)
	}
	for beat := range 3 {
		late := row(2000)
		late.Heartbeat = uint64(beat + 1)
		b, err := membership.Encode(membership.Message{Kind: membership.Ping, Fleet: "f", From: late})
		if err != nil {
			t.Fatal(err)
		}
		p.deliver(b, false)
	}
	eventually(t, "the 1,025th is refused", func() bool {
		v, err = p.View(context.Background())
		return err == nil && v.Rejected >= 3 && strings.Contains(log.String(), "fleet_full")
	})
	if told := log.String(); strings.Count(told, "fleet_full") != 1 || !strings.Contains(told, FleetFullError{1024}.Error()) || len(v.Members) != 1023 {
		t.Errorf("%d members; the log says it %d times: %.300s", len(v.Members), strings.Count(told, "fleet_full"), told[strings.Index(told, "fleet_full"):])
	}
}
