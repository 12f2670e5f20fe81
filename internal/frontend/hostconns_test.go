package frontend_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
)

// TestManyGatewaysKeepNoIdleConnections checks that the pool of idle connections depends on the number of gateways. A single gateway
// keeps a connection to a host for as long as hosts allow. One of a thousand gateways keeps it only while it is in use, because the
// idle connections of all gateways would use up the host's connections.
func TestManyGatewaysKeepNoIdleConnections(t *testing.T) {
	for _, form := range protocols {
		for gateways, kept := range map[int]int{1: 1, 1000: 0} {
			synctest.Test(t, func(t *testing.T) {
				host := &fake.Host{Primary: true}
				harness := newHarnessFor(5, gateways, form == formMySQL, host)
				defer harness.close()
				client, err := harness.newClient(form)
				if err != nil {
					t.Fatal(err)
				}
				for i := range 8 {
					if r, err := client.request("put", fmt.Sprint("w", i)); err != nil || r.Outcome != "served" {
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

// TestHostWithoutConnectionCapacity has a host reject requests on new connections. If the host also closes these connections, the gateway
// must count it as having no capacity for connections. If it leaves them open, only its request queue is full, and that is not counted.
func TestHostWithoutConnectionCapacity(t *testing.T) {
	for act, want := range map[fake.Act]bool{fake.NoCapacity: true, fake.Reject: false} {
		synctest.Test(t, func(t *testing.T) {
			host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
				if id[0] == 'n' {
					return act
				}
				return fake.Serve
			}}
			harness := newHarness(false, host)
			defer harness.close()
			client, err := harness.newClient(formPostgres)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 10 {
				for _, kind := range []string{"y", "n"} { // n right after y, and so on a new connection
					if _, err := client.request("put", fmt.Sprint(kind, i)); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			if got := harness.counters.Get("server_connections_no_room"); (got >= 3) != want || !want && got > 0 {
				t.Errorf("no connection capacity was counted %d times, of %d rejections", got, harness.counters.Get("attempts_turned_away"))
			}
		})
	}
}
