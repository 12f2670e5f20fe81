package routing_test

import (
	"fmt"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// printer is a gateway that prints what it is asked to do.
type printer struct{}

func (printer) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	fmt.Printf("send %d to %s until %v\n", id, member, abandonAt)
}
func (printer) Cancel(id uint64, attempt int) { fmt.Println("cancel", id, attempt) }
func (printer) Reject(id uint64, comeBack time.Duration, _ routing.Reason) {
	fmt.Println("refuse", id, comeBack)
}
func (printer) Fail(id uint64, _ routing.Reason)                 { fmt.Println("fail", id) }
func (printer) CloseIdle(member string)                          {}
func (printer) CheckHealth(member string, by routing.ConnPolicy) {}
func (printer) SetTimer(after time.Duration, name string)        {}
func (printer) Subscribe(on bool)                                {}
func (printer) FetchEndpoints()                                  {}
func (printer) ZoneChanged(zones.Change)                         {}
func (printer) Log(text string)                                  {}

func Example() {
	config := routing.Config{
		Gateways:    1,
		MaxAttempts: 3,
		StaleReads:  routing.StaleReadRejected,
		RoleSource:  routing.RoleSourceDelayed,
		Classes: []routing.Class{
			{Name: "read", Consistency: routing.ConsistencyAny, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
			{Name: "write", Consistency: routing.ConsistencyWrite, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 4,
				LateShare: 0.5, Effect: routing.NonIdempotent},
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
