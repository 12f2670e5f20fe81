// Command toyserver runs a group of three fake database hosts, which serve both protocols, and a fake discovery service on
// loopback, for trying out the gateway. See ../README.md.
package main

import (
	"fmt"
	"log"
	"net"
	"net/http"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

func main() {
	endpoints := &fake.Discovery{}
	var targets []discovery.Target
	for i := range 3 {
		h := &fake.Host{Primary: i == 0}
		role := "standby"
		if h.Primary {
			role = "primary"
		}
		serve(15432+i, h.ServePostgres)
		serve(13311+i, h.ServeMySQL)
		targets = append(targets, discovery.Target{UID: fmt.Sprint("toy-", i), Endpoint: fmt.Sprint("127.0.0.1:", 15432+i),
			Zone: "nuernberg", Group: 0, State: "SERVING", Capacity: 1, Replication: role})
	}
	endpoints.Set(targets)
	l, err := net.Listen("tcp", "127.0.0.1:18500")
	if err != nil {
		log.Fatal(err)
	}
	log.Print("event=serving postgres=15432..15434 mysql=13311..13313 discovery=18500")
	log.Fatal(http.Serve(l, endpoints))
}

// serve accepts connections on a loopback port and passes each to handle.
func serve(port int, handle func(net.Conn)) {
	l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
	if err != nil {
		log.Fatal(err)
	}
	go fake.Accept(l, handle)
}
