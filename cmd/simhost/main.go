// Command simhost hosts many instances of the decision module on the simulator's wire.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cranegate/internal/simwire"
	"cranegate/routing"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[string]*routing.Router{}
	for {
		b, err := r.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		for _, e := range b.Events {
			if err := deliver(instances, w, b.Now, e); err != nil {
				return err
			}
		}
		if err := w.End(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// deliver hands one event to its instance; a panic there becomes a bug with its text.
func deliver(instances map[string]*routing.Router, w *simwire.Writer, now time.Duration, e simwire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			w.Bug(e.Instance, fmt.Sprint(p))
		}
	}()
	if o, ok := e.What.(simwire.Open); ok {
		m, err := routing.New(now, o.Config, o.Seed, &simwire.Actions{Writer: w, Instance: e.Instance})
		if err != nil {
			return fmt.Errorf("opening %s: %w", e.Instance, err)
		}
		instances[e.Instance] = m
		return nil
	}
	m := instances[e.Instance]
	if m == nil {
		return nil
	}
	switch x := e.What.(type) {
	case simwire.Detach:
		delete(instances, e.Instance)
	case routing.EndpointList:
		m.UpdateEndpoints(now, x)
	case routing.Request:
		m.Request(now, x)
	case routing.Outcome:
		m.Outcome(now, x)
	case routing.HealthCheckResult:
		m.HealthChecked(now, x)
	case simwire.ClientDisconnected:
		m.ClientDisconnected(now, x.Request)
	case simwire.TimerDue:
		m.Timer(now, x.Name)
	case simwire.Started:
		m.StreamStarted(now, x.Request, x.Attempt)
	}
	return nil
}
