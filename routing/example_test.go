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
func (printer) Refuse(id uint64, comeBack time.Duration, _ routing.Reason) {
	fmt.Println("refuse", id, comeBack)
}
func (printer) Fail(id uint64, _ routing.Reason)          { fmt.Println("fail", id) }
func (printer) Close(member string)                       {}
func (printer) Probe(member string, by routing.Conn)      {}
func (printer) SetTimer(after time.Duration, name string) {}
func (printer) Subscribe(on bool)                         {}
func (printer) LookUp()                                   {}
func (printer) ZoneChanged(zones.Change)                  {}
func (printer) Log(text string)                           {}

func Example() {
	config := routing.Config{
		Gateways:    1,
		MaxAttempts: 3,
		Guards:      routing.GuardRefuse,
		ListRole:    routing.ListRoleLate,
		Classes: []routing.Class{
			{Name: "read", Need: routing.NeedAny, Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1},
			{Name: "write", Need: routing.NeedWrite, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 4,
				LateWorth: 0.5, Effect: routing.Once},
		},
	}
	now := 10 * time.Second
	router, err := routing.New(now, config, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Members(now, routing.MemberList{Kind: routing.ListWhole, Entries: []routing.Entry{
		{Member: "db-1", Group: 4, Leader: true},
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
