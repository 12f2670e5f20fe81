package rules_test

import (
	"fmt"
	"time"

	"cranegate/internal/zones"
	"cranegate/rules"
)

// printer is a gateway that prints what it is asked to do.
type printer struct{}

func (printer) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	fmt.Printf("send %d to %s until %v\n", id, member, abandonAt)
}
func (printer) Cancel(id uint64, attempt int) { fmt.Println("cancel", id, attempt) }
func (printer) Refuse(id uint64, comeBack time.Duration, _ rules.Reason) {
	fmt.Println("refuse", id, comeBack)
}
func (printer) Fail(id uint64, _ rules.Reason)            { fmt.Println("fail", id) }
func (printer) Close(member string)                       {}
func (printer) Probe(member string, by rules.Conn)        {}
func (printer) SetTimer(after time.Duration, name string) {}
func (printer) Subscribe(on bool)                         {}
func (printer) LookUp()                                   {}
func (printer) ZoneChanged(zones.Change)                  {}
func (printer) Log(text string)                           {}

func Example() {
	config := rules.Config{
		Gateways:    1,
		MaxAttempts: 3,
		Guards:      rules.GuardRefuse,
		ListRole:    rules.ListRoleLate,
		Classes: []rules.Class{
			{Name: "read", Need: rules.NeedAny, Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1},
			{Name: "write", Need: rules.NeedWrite, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 4,
				LateWorth: 0.5, Effect: rules.Once},
		},
	}
	now := 10 * time.Second
	router, err := rules.New(now, config, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Members(now, rules.MemberList{Kind: rules.ListWhole, Entries: []rules.Entry{
		{Member: "db-1", Group: 4, Leader: true},
		{Member: "db-2", Group: 4},
	}})
	router.Request(now, rules.Request{ID: 1, Class: 0, Tenant: -1, Group: 4, Remaining: time.Second})
	router.Request(now, rules.Request{ID: 2, Class: 1, Tenant: -1, Group: 4, Remaining: 2 * time.Second})
	router.Outcome(now, rules.Outcome{Request: 2, Member: "db-1", Result: rules.ResultReset})
	// Output:
	// send 1 to db-2 until 10.2s
	// send 2 to db-1 until 12s
	// fail 2
}
