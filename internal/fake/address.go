package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// portsTried counts the ports that FreeAddress has tried.
var portsTried atomic.Int64

// FreeAddress returns an address on which nothing listens. Its port is outside the ephemeral range and its loopback IP
// address is derived from the process ID, so that no other process takes it before the caller listens.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	for range 1000 {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>14&63, pid>>7&127, 1+pid&127, 10000+portsTried.Add(1)%20000)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no address is free")
}
