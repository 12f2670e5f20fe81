package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// crowd plays some clients of a kind at a gateway, side by side.
func (s *site) crowd(g *gateway, rng *rand.Rand, n int, play func(c *client)) {
	var group sync.WaitGroup
	for range n {
		c := &client{site: s, gateway: g, rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
		group.Go(func() { play(c) })
	}
	group.Wait()
}

func leavers(s *site, g *gateway, h *host, rng *rand.Rand) {
	s.crowd(g, rng, 10, func(c *client) {
		for range 20 {
			c.leaves(h.group, between(c.rng, 0, 100*time.Millisecond))
		}
	})
}

func halfMessages(s *site, g *gateway, _ *host, rng *rand.Rand) {
	s.crowd(g, rng, 4, func(c *client) { c.stopsHalfway(c.rng.IntN(2) == 0) })
}

func babble(s *site, g *gateway, _ *host, rng *rand.Rand) { s.crowd(g, rng, 5, (*client).babbles) }

func pipelines(s *site, g *gateway, _ *host, rng *rand.Rand) {
	s.crowd(g, rng, 3, func(c *client) { c.pipelines(2 + c.rng.IntN(5)) })
}

// asTimeout says whether an error is that of a deadline.
func asTimeout(err error, as *net.Error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, as) && (*as).Timeout()
}
