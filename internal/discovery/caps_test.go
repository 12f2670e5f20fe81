package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/metrics"
	"cranegate/routing"
)

// many is a list of so many hosts whose ids and endpoints are as long as any may be: 256 bytes that JSON writes as six each
// in a third of the places, and the longest name of a machine with its port.
func many(n int) Snapshot {
	s := Snapshot{Rev: 7, All: true}
	for i := range n {
		s.Targets = append(s.Targets, Target{UID: fmt.Sprintf("%04d", i) + strings.Repeat("<xx", 84), Endpoint: strings.Repeat("h", 253) + ":5432",
			Zone: strings.Repeat("z", 64), Group: 4, State: "SERVING", Capacity: 1.25, BootMS: 1790000000000, Replication: "replica"})
	}
	return s
}

// TestListOfAThousand hears a list of 1,024 hosts, one of 1,025 too, whole and in chunks, as it comes and indented: hosts are
// bounded by the bytes of their list alone. What the watch then holds is all of it.
func TestListOfAThousand(t *testing.T) {
	for _, n := range []int{1024, 1025} {
		plain, err := json.Marshal(many(n))
		if err != nil {
			t.Fatal(err)
		}
		indented, err := json.MarshalIndent(many(n), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		for name, body := range map[string]string{"plain": string(plain), "indented": string(indented)} {
			for form, whole := range map[string]string{"whole": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
				"in chunks": chunked(body, 4000)} {
				synctest.Test(t, func(t *testing.T) {
					var told core.EndpointList
					w := NewWatcher("agent:1", Snapshot{Rev: -1}, func(l core.EndpointList) { told = l }, backoff.New(1, 1), &metrics.Counters{})
					w.dial = host(func(query string) string {
						if strings.Contains(query, "after") {
							return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
						}
						return whole
					}, len(whole)/4, 100*time.Millisecond)
					err := w.follow(t.Context(), "agent:1", true)
					time.Sleep(10 * time.Second) // the agent sees the end
					if told.Kind != routing.EndpointListComplete || len(told.Hosts) != n || len(w.Snapshot().Targets) != n || w.Snapshot().Rev != 7 {
						t.Errorf("%d hosts, %s, %s, %d bytes: told of %d, %d held, %v", n, name, form, len(body), len(told.Hosts), len(w.Snapshot().Targets), err)
					}
				})
			}
		}
	}
}
