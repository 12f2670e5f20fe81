package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// runClients runs count extra clients at a gateway concurrently and waits for them.
func (s *scenario) runClients(g *gateway, rng *rand.Rand, count int, run func(c *client)) {
	var group sync.WaitGroup
	for range count {
		c := &client{scenario: s, gateway: g, rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
		group.Go(func() { run(c) })
	}
	group.Wait()
}

// disconnectClients has clients close their connections shortly after sending a request.
func disconnectClients(s *scenario, g *gateway, h *host, rng *rand.Rand) {
	s.runClients(g, rng, 10, func(c *client) {
		for range 20 {
			c.disconnectAfter(h.group, randomDuration(c.rng, 0, 100*time.Millisecond))
		}
	})
}

// sendPartialMessages has clients stop in the middle of a message.
func sendPartialMessages(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	s.runClients(g, rng, 4, func(c *client) { c.sendPartial(c.rng.IntN(2) == 0) })
}

// sendGarbage has clients send random bytes.
func sendGarbage(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	s.runClients(g, rng, 5, (*client).sendGarbage)
}

// pipelineRequests has clients send several requests before they read an answer.
func pipelineRequests(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	s.runClients(g, rng, 3, func(c *client) { c.pipeline(2 + c.rng.IntN(5)) })
}

// isTimeout reports whether err is an exceeded deadline or a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}
