package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// ports counts the ports that FreeAddress has tried.
var ports atomic.Int64

// FreeAddress returns an address on which nothing listens. Its port is outside the ephemeral range, on a loopback
// address of this process, so that no other process takes it in the meantime.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	for range 1000 {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>14&63, pid>>7&127, 1+pid&127, 10000+ports.Add(1)%20000)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no address is free")
}
