package discovery

import (
	"encoding/json"
	"errors"
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

// longSnapshot returns a list of n hosts whose ids and endpoints have the maximum length: ids of 256 bytes, a third of which JSON
// escapes with six bytes each, and the longest host name with a port.
func longSnapshot(n int) Snapshot {
	s := Snapshot{Rev: 7, All: true}
	for i := range n {
		s.Targets = append(s.Targets, Target{UID: fmt.Sprintf("%04d", i) + strings.Repeat("<xx", 84), Endpoint: strings.Repeat("h", 253) + ":5432",
			Zone: strings.Repeat("z", 64), Group: 4, State: "SERVING", Capacity: 1.25, BootMS: 1790000000000, Replication: "replica"})
	}
	return s
}

// TestListOfMaxHosts reads lists of 1,024 and 1,025 hosts, with a length and in chunks, compact and indented, and checks that the
// Watcher's snapshot has all hosts. Only the bytes of a list are bounded, not the number of its hosts.
func TestListOfMaxHosts(t *testing.T) {
	for _, n := range []int{1024, 1025} {
		compact, err := json.Marshal(longSnapshot(n))
		if err != nil {
			t.Fatal(err)
		}
		indented, err := json.MarshalIndent(longSnapshot(n), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		for name, body := range map[string]string{"compact": string(compact), "indented": string(indented)} {
			for form, response := range map[string]string{"with a length": sizedResponse(body), "chunked": chunkedResponse(body, 4000)} {
				synctest.Test(t, func(t *testing.T) {
					var notified core.EndpointList
					w := NewWatcher("agent:1", Snapshot{Rev: -1}, func(list core.EndpointList) { notified = list }, backoff.New(1, 1), &metrics.Counters{})
					w.dial = dialInPieces(firstAnswerOnly(response), len(response)/4, 100*time.Millisecond)
					err := w.follow(t.Context(), "agent:1", true)
					time.Sleep(10 * time.Second) // until the agent has seen the end of the connection
					snapshot := w.Snapshot()
					if notified.Kind != routing.EndpointListComplete || len(notified.Hosts) != n || len(snapshot.Targets) != n || snapshot.Rev != 7 {
						t.Errorf("%d hosts, %s, %s, %d bytes: notified of %d, snapshot of %d, %v", n, name, form, len(body), len(notified.Hosts),
							len(snapshot.Targets), err)
					}
				})
			}
		}
	}
}

// TestLongIndentedList reads a list of 300 hosts that is padded with white space up to maxAnswerBytes, with a length and chunked, from
// an agent that sends a quarter each second. A list that is longer by a byte is an AnswerTooLongError in both forms.
func TestLongIndentedList(t *testing.T) {
	s := Snapshot{Rev: 7, All: true}
	for i := range 300 {
		s.Targets = append(s.Targets, Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: "10.1.0.18:5432", Zone: "a", State: "SERVING"})
	}
	text, err := json.MarshalIndent(s, "\t", strings.Repeat(" ", 80))
	if err != nil || len(text) > maxAnswerBytes {
		t.Fatal(err, len(text))
	}
	for excess := range 2 {
		body := string(text) + strings.Repeat("\n", maxAnswerBytes-len(text)+excess)
		for form, response := range map[string]string{"with a length": sizedResponse(body), "chunked": chunkedResponse(body, 4000)} {
			synctest.Test(t, func(t *testing.T) {
				notified := 0
				w := NewWatcher("agent:1", Snapshot{Rev: -1}, func(list core.EndpointList) { notified = len(list.Hosts) }, backoff.New(1, 1),
					&metrics.Counters{})
				w.dial = dialInPieces(firstAnswerOnly(response), len(response)/4, time.Second)
				err := w.follow(t.Context(), "agent:1", true)
				time.Sleep(10 * time.Second) // until the agent has seen the end of the connection
				var tooLong AnswerTooLongError
				if errors.As(err, &tooLong) != (excess > 0) || (notified == 300) != (excess == 0) {
					t.Errorf("%s, %d bytes over: notified of %d hosts, %v", form, excess, notified, err)
				}
			})
		}
	}
}
