package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var ports atomic.Int64

// FreeAddress gives an address on which nothing listens. It is out of the range that the system gives out by itself, on a
// loopback address of this process, so that nobody takes it meanwhile.
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
