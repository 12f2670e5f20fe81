package hotrestart

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/metrics"
)

// Environment variables of a child process.
const (
	childDirVariable  = "HOTRESTART_TEST_DIR"
	killStepVariable  = "HOTRESTART_TEST_KILL" // the step before which the child kills itself
	pauseStepVariable = "HOTRESTART_TEST_STOP" // the step before which the child stops itself
)

// Commands to a child, one per line.
const (
	detachCommand   = "detach" // followed by a host
	attachCommand   = "attach" // followed by a host
	lameduckCommand = "lameduck"
	readyCommand    = "ready"
	closeCommand    = "close"
	statusCommand   = "status"
)

// childReply is a child's reply to a command.
type childReply struct {
	Detached       []string // hosts whose detach the child has applied
	Lameduck       bool
	Older          bool
	Role           string
	Inherited      string
	Superseded     int // calls of OnSuperseded
	OlderEnded     int // calls of OnOlderEnded
	Unconfirmed    []string
	Err            string
	Unacknowledged bool // Err is ErrUnacknowledged
	Took           time.Duration
}

// child is a process that runs a Coordinator and replies to commands.
type child struct {
	coordinator *Coordinator

	mu         sync.Mutex
	applied    state.State
	superseded int
	olderEnded int
}

// runChild replies to each command on the standard input with a line on the standard output.
func runChild(dir string) {
	if step := os.Getenv(killStepVariable); step != "" {
		beforeStep = signalAtStep(step, syscall.SIGKILL)
	} else if step := os.Getenv(pauseStepVariable); step != "" {
		beforeStep = signalAtStep(step, syscall.SIGSTOP)
	}
	c := &child{}
	started := time.Now()
	err := c.open(dir)
	took := time.Since(started)
	if err != nil {
		fmt.Println(`{"Err":"open"}`)
		return
	}
	go c.coordinator.Run(context.Background())
	c.reply(nil, took)
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		command, argument, _ := strings.Cut(lines.Text(), " ")
		started := time.Now()
		err := c.execute(command, argument)
		c.reply(err, time.Since(started))
	}
}

// signalAtStep returns a function for beforeStep that sends a signal to its own process at a step.
func signalAtStep(at string, s syscall.Signal) func(string) {
	return func(step string) {
		if step == at {
			syscall.Kill(os.Getpid(), s)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (c *child) open(dir string) (err error) {
	c.coordinator, err = Open(context.Background(), Options{
		Dir:      dir,
		Counters: &metrics.Counters{},
		OnState: func(_ context.Context, s state.State) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.applied = s
			return nil
		},
		Export:       func() []byte { return fmt.Appendf(nil, "of %d", os.Getpid()) },
		OnSuperseded: func() { c.count(&c.superseded) },
		OnOlderEnded: func() { c.count(&c.olderEnded) },
	})
	return err
}

func (c *child) count(calls *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*calls++
}

func (c *child) execute(command, argument string) error {
	ctx := context.Background()
	switch command {
	case detachCommand, attachCommand:
		return c.coordinator.Apply(ctx, state.Change{Host: argument, Detach: command == detachCommand})
	case lameduckCommand:
		return c.coordinator.Apply(ctx, state.Change{Lameduck: argument == "on"})
	case readyCommand:
		c.coordinator.Ready()
	case closeCommand:
		return c.coordinator.Close()
	}
	return nil
}

func (c *child) reply(err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := childReply{
		Lameduck:   c.applied.Lameduck,
		Older:      c.coordinator.Older(),
		Role:       c.coordinator.Role().String(),
		Inherited:  string(c.coordinator.Inherited()),
		Superseded: c.superseded,
		OlderEnded: c.olderEnded,
		Took:       took,
	}
	for id := range c.applied.Detached {
		r.Detached = append(r.Detached, id)
	}
	for _, err := range c.coordinator.Unconfirmed() {
		r.Unconfirmed = append(r.Unconfirmed, err.Error())
	}
	if err != nil {
		r.Err, r.Unacknowledged = err.Error(), errors.Is(err, ErrUnacknowledged)
	}
	json.NewEncoder(os.Stdout).Encode(r)
}
