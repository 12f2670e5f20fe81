// Command simhost runs many instances of the router for the simulator. It reads batches of events from its standard input and writes the
// instances' actions to its standard output, in the simulator's text protocol.
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

// instanceServer holds the routers of all instances, by the instances' names.
type instanceServer struct {
	routers map[string]*routing.Router
	writer  *simwire.Writer
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	server := &instanceServer{routers: map[string]*routing.Router{}, writer: simwire.NewWriter(out)}
	for {
		batch, err := reader.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		for _, event := range batch.Events {
			if err := server.handle(batch.Now, event); err != nil {
				return err
			}
		}
		if err := server.writer.End(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handle passes one event to its instance. A panic there is reported as a bug of the instance, with the panic's text.
func (s *instanceServer) handle(now time.Duration, event simwire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.writer.Bug(event.Instance, fmt.Sprint(p))
		}
	}()
	switch payload := event.Payload.(type) {
	case simwire.InstanceOpened:
		return s.open(now, event.Instance, payload)
	case simwire.InstanceClosed:
		delete(s.routers, event.Instance)
		return nil
	}
	if router := s.routers[event.Instance]; router != nil {
		dispatch(router, now, event.Payload)
	}
	return nil
}

// open creates an instance.
func (s *instanceServer) open(now time.Duration, instance string, opened simwire.InstanceOpened) error {
	router, err := routing.New(now, opened.Config, opened.Seed, &simwire.Actions{Writer: s.writer, Instance: instance})
	if err != nil {
		return fmt.Errorf("opening %s: %w", instance, err)
	}
	s.routers[instance] = router
	return nil
}

// dispatch passes one event to a router. Events that are not for routers, such as datagrams, are ignored.
func dispatch(router *routing.Router, now time.Duration, payload any) {
	switch payload := payload.(type) {
	case routing.EndpointList:
		router.UpdateEndpoints(now, payload)
	case routing.Request:
		router.Request(now, payload)
	case routing.Outcome:
		router.Outcome(now, payload)
	case routing.HealthCheckResult:
		router.HealthChecked(now, payload)
	case simwire.ClientDisconnected:
		router.ClientDisconnected(now, payload.Request)
	case simwire.TimerFired:
		router.Timer(now, payload.Name)
	case simwire.AnswerStarted:
		router.StreamStarted(now, payload.Request, payload.Attempt)
	}
}
