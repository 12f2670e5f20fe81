package routing_test

import (
	"fmt"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// printer is a Gateway that prints its calls.
type printer struct{}

func (printer) Send(request uint64, member string, abandonAt, _ time.Duration) {
	fmt.Printf("send %d to %s until %v\n", request, member, abandonAt)
}

func (printer) Cancel(request uint64, attempt int) { fmt.Println("cancel", request, attempt) }

func (printer) Reject(request uint64, retryAfter time.Duration, _ routing.Reason) {
	fmt.Println("reject", request, retryAfter)
}

func (printer) Fail(request uint64, _ routing.Reason)  { fmt.Println("fail", request) }
func (printer) CloseIdle(string)                       {}
func (printer) CheckHealth(string, routing.ConnPolicy) {}
func (printer) SetTimer(time.Duration, string)         {}
func (printer) Subscribe(bool)                         {}
func (printer) FetchEndpoints()                        {}
func (printer) ZoneChanged(zones.Change)               {}
func (printer) Log(string)                             {}

// A router sends a read to a replica and a write to the primary. It fails the write when its connection
// breaks.
func Example() {
	config := routing.Config{
		Gateways:    1,
		MaxAttempts: 3,
		StaleReads:  routing.StaleReadRejected,
		RoleSource:  routing.RoleSourceDelayed,
		Classes: []routing.Class{
			{
				Name:             "read",
				Consistency:      routing.ConsistencyAny,
				LatencyObjective: 200 * time.Millisecond,
				Deadline:         time.Second,
				PriorityWeight:   1,
			},
			{
				Name:             "write",
				Consistency:      routing.ConsistencyWrite,
				LatencyObjective: 500 * time.Millisecond,
				Deadline:         2 * time.Second,
				PriorityWeight:   4,
				LateShare:        0.5,
				Effect:           routing.NonIdempotent,
			},
		},
	}
	now := 10 * time.Second
	router, err := routing.New(now, config, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	router.UpdateEndpoints(now, routing.EndpointList{Kind: routing.EndpointListComplete, Endpoints: []routing.Endpoint{
		{Member: "db-1", Group: 4, Primary: true},
		{Member: "db-2", Group: 4},
	}})
	router.Request(now, routing.Request{ID: 1, Class: 0, Tenant: -1, Group: 4, Remaining: time.Second})
	router.Request(now, routing.Request{ID: 2, Class: 1, Tenant: -1, Group: 4, Remaining: 2 * time.Second})
	router.Outcome(now, routing.Outcome{Request: 2, Member: "db-1", Result: routing.ResultReset})
	// Output:
	// send 1 to db-2 until 10.2s
	// send 2 to db-1 until 12s
	// fail 2
}
