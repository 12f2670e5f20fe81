package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/clients"
	"cranegate/internal/clients/postgres"
	"cranegate/internal/config"
	"cranegate/internal/core"
	"cranegate/internal/list"
	"cranegate/internal/servers"
	pgservers "cranegate/internal/servers/postgres"
	"cranegate/internal/stats"
	"cranegate/rules"
)

const (
	reserve     = 64              // descriptors for the list, the listeners, the balancers and the runtime
	mostSockets = 1024            // no more is used where the platform allows more
	mostIdle    = 24              // idle connections to one host
	exitAfter   = 3 * time.Second // after the last deadline could have passed, a stop ends all the same
)

// run reads the configuration and serves until the context ends and all that was taken is answered.
func run(ctx context.Context) error {
	p, err := config.Load(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	memory := p.Limits.MemoryMB
	if memory <= 0 {
		memory = 192
	}
	runtime.GOMAXPROCS(max(1, int(p.Limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(memory) * 3 / 4 << 20) // the rest is stacks, code and the system's buffers
	counters := &stats.Counters{}
	go logOnRequest(ctx, counters)
	defer counters.Log("counters")

	sockets := p.Limits.Sockets
	if sockets <= 0 || sockets > mostSockets {
		sockets = mostSockets
	}
	slots := make(chan struct{}, (sockets-reserve)/2)

	work, cancel := context.WithCancel(context.Background()) // outlives ctx: what was taken is still answered
	defer cancel()
	pool := servers.New(work, servers.Options{Dial: pgservers.Dial, ConnectTimeout: p.Settings.ConnectTimeout,
		IdleFor: p.Settings.IdleClose * 2 / 3, MostOpen: (sockets - reserve) / 2, MostIdle: mostIdle, Counters: counters})
	c, err := core.New(core.Options{Rules: p.Settings.Rules, Seed: p.Seed, AnswerSlack: p.Settings.AnswerSlack,
		ProbeTimeout: p.Settings.ConnectTimeout, Counters: counters}, pool)
	if err != nil {
		return err
	}
	background, _ := errgroup.WithContext(work)
	background.Go(func() error { return c.Run(work) })
	c.Members(p.Known.List(rules.ListStale))
	w := &list.Watcher{Address: p.Discovery, Rev: p.Known.Rev, Tell: c.Members, Counters: counters}
	background.Go(func() error { return w.Run(work) })

	<-c.Ready()
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	log.Printf("event=serving name=%s listen=%s members=%d memory_mb=%d sockets=%d", p.Name, p.Listen,
		len(p.Known.Targets), memory, sockets)
	front := &clients.Server{Name: "postgres", Front: postgres.Front{}, Core: c, Slots: slots, Counters: counters}
	ended := make(chan error, 1)
	go func() { ended <- front.Run(ctx, l) }()
	select {
	case err = <-ended:
	case <-ctx.Done():
		log.Printf("event=stopping")
		select {
		case err = <-ended:
		case <-time.After(exitAfter + 500*time.Millisecond):
			log.Printf("event=stopped_with_clients")
		}
	}
	return err
}

// logOnRequest prints the counters at each SIGUSR1.
func logOnRequest(ctx context.Context, c *stats.Counters) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	for {
		select {
		case <-asked:
			c.Log("counters")
		case <-ctx.Done():
			return
		}
	}
}
