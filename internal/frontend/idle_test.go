package frontend_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
)

// TestManyGatewaysLeaveRoom holds what a gateway keeps against the size of its fleet: the only one keeps a connection
// for as long as hosts suffer it, one of a thousand only while it is in use, as all of them would fill the host.
func TestManyGatewaysLeaveRoom(t *testing.T) {
	for _, form := range []string{"postgres", "mysql"} {
		for gateways, kept := range map[int]int{1: 1, 1000: 0} {
			synctest.Test(t, func(t *testing.T) {
				host := &fake.Host{Primary: true}
				rig := newRigFor(5, gateways, form == "mysql", host)
				defer rig.close()
				a, err := rig.asker(form)
				if err != nil {
					t.Fatal(err)
				}
				for i := range 8 {
					if r, err := a.ask("put", fmt.Sprint("w", i)); err != nil || r.Outcome != "served" {
						t.Fatalf("%s, %d gateways: %v, %v", form, gateways, r, err)
					}
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(time.Second)
				if n := host.Conns(); n != kept {
					t.Errorf("%s, %d gateways: %d connections after a second, want %d", form, gateways, n, kept)
				}
			})
		}
	}
}

// TestNoRoomForConnections lets a host end new connections with a refusal: that shows that its room is short. Where it
// turns requests away and leaves connections open, it is the queue that is full.
func TestNoRoomForConnections(t *testing.T) {
	for act, want := range map[fake.Act]bool{fake.NoCapacity: true, fake.Reject: false} {
		synctest.Test(t, func(t *testing.T) {
			host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
				if id[0] == 'n' {
					return act
				}
				return fake.Serve
			}}
			rig := newRig(false, host)
			defer rig.close()
			a, err := rig.asker("postgres")
			if err != nil {
				t.Fatal(err)
			}
			for i := range 10 {
				for _, kind := range []string{"y", "n"} { // the second at once, so on a new connection
					if _, err := a.ask("put", fmt.Sprint(kind, i)); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			if got := rig.counters.Get("server_connections_no_room"); (got >= 3) != want || !want && got > 0 {
				t.Errorf("room was found short %d times, of %d turned away", got, rig.counters.Get("attempts_turned_away"))
			}
		})
	}
}
