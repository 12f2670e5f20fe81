package backend

import (
	"fmt"
	"testing"
	"time"

	"cranegate/routing"
)

// TestReportsAreTakenWholeOrNot guards the module against load reports and positions that went bad on the way: one
// that lies in the future would make its member look fresh for ever, and its claim to be primary the newest.
func TestReportsAreTakenWholeOrNot(t *testing.T) {
	now := time.Now().UnixMilli()
	good := fmt.Sprintf("x0=%d.250,x1=1,util=0.5,queue=3", now/1000-2)
	want := routing.Report{HasPosition: true, Position: (now/1000-2)*1000 + 250, Role: routing.RolePrimary}
	for text, ok := range map[string]bool{
		good: true, good + ",late=x": false, good + ",": false, good[:len(good)-1]: false, "x" + good: false,
		fmt.Sprintf("x0=%d,x1=1", now/1000+60): false, "x0=-5,x1=1": false, "x0=NaN,x1=1": false, "x0=1e300,x1=1": false,
		fmt.Sprintf("x0=%d,x1=0.7", now/1000-2): false, "": false, "\x00\xff": false,
	} {
		for _, set := range []func(*Event){
			func(n *Event) { n.Set("pressure", text) },
			func(n *Event) { n.SetRow([]string{"pressure"}, [][]byte{[]byte(text)}) },
		} {
			var n Event
			if set(&n); ok && n.Report != want || !ok && n.Report.Position > now {
				t.Errorf("%q: %+v", text, n.Report)
			} else if !ok && text != "x"+good && n.Report != (routing.Report{}) {
				t.Errorf("%q enters: %+v", text, n.Report)
			}
		}
	}
	var n Event
	n.SetRow([]string{"x0", "x1"}, [][]byte{[]byte(fmt.Sprint(now/1000 - 2)), []byte("0")})
	if n.Report.Role != routing.RoleReplica || n.Report.Position != (now/1000-2)*1000 {
		t.Errorf("a column a field: %+v", n.Report)
	}
	for value, ok := range map[string]bool{fmt.Sprint(now): true, fmt.Sprint(now + 60000): false, "-4": false, "17x": false} {
		n = Event{}
		if n.Set("log_position", value); (n.Position != 0) != ok {
			t.Errorf("log_position %s: %+v", value, n)
		}
	}
}
