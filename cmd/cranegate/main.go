// Command cranegate is the gateway: it takes requests from clients and sends them on to database hosts, as the
// decision module says.
package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	log.SetFlags(log.Lmicroseconds)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		log.Printf("event=ended error=%q", err)
		os.Exit(1)
	}
}
