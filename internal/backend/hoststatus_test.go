package backend

import (
	"fmt"
	"testing"
	"time"

	"cranegate/routing"
)

// TestReportsAreCompleteOrIgnored checks that a load report that was damaged on the way is ignored. A position in the future
// would make its member look fresh indefinitely, and the member's claim to be primary the newest.
func TestReportsAreCompleteOrIgnored(t *testing.T) {
	now := time.Now().UnixMilli()
	good := fmt.Sprintf("x0=%d.250,x1=1,util=0.5,queue=3", now/1000-2)
	want := routing.Report{HasPosition: true, Position: (now/1000-2)*1000 + 250, Role: routing.RolePrimary}
	for text, ok := range map[string]bool{
		good: true, good + ",late=x": false, good + ",": false, good[:len(good)-1]: false, "x" + good: false,
		fmt.Sprintf("x0=%d,x1=1", now/1000+60): false, "x0=-5,x1=1": false, "x0=NaN,x1=1": false, "x0=1e300,x1=1": false,
		fmt.Sprintf("x0=%d,x1=0.7", now/1000-2): false, "": false, "\x00\xff": false,
	} {
		for _, set := range []func(*HostStatus){
			func(s *HostStatus) { s.Set("pressure", text) },
			func(s *HostStatus) { s.SetRow([]string{"pressure"}, [][]byte{[]byte(text)}) },
		} {
			var status HostStatus
			if set(&status); ok && status.Report != want || !ok && status.Report.Position > now {
				t.Errorf("%q: %+v", text, status.Report)
			} else if !ok && text != "x"+good && status.Report != (routing.Report{}) {
				t.Errorf("%q is accepted: %+v", text, status.Report)
			}
		}
	}
}

// TestReportOfColumns sets a report from a row with a column for each field.
func TestReportOfColumns(t *testing.T) {
	seconds := time.Now().Unix() - 2
	var status HostStatus
	status.SetRow([]string{"x0", "x1"}, [][]byte{[]byte(fmt.Sprint(seconds)), []byte("0")})
	if status.Report.Role != routing.RoleReplica || status.Report.Position != seconds*1000 {
		t.Errorf("one column for each field: %+v", status.Report)
	}
}

// TestPositionsAreChecked checks that a position that is in the future, negative or not a number is ignored.
func TestPositionsAreChecked(t *testing.T) {
	now := time.Now().UnixMilli()
	for value, ok := range map[string]bool{fmt.Sprint(now): true, fmt.Sprint(now + 60000): false, "-4": false, "17x": false} {
		var status HostStatus
		if status.Set("log_position", value); (status.Position != 0) != ok {
			t.Errorf("log_position %s: %+v", value, status)
		}
	}
}
