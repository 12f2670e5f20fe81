// Package balancers tells load balancers how this gateway is: HAProxy's agent-check over TCP, and a health
// endpoint over HTTP. Both follow the same state.
package balancers

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/netbuf"
)

const (
	answerFor = time.Second // a check takes no longer
	mostLine  = 4 << 10
	mostLines = 64
	mostOpen  = 16 // checks at once
)

// State is what balancers are told.
type State int32

// The states, in their order.
const (
	Starting State = iota
	Ready
	Draining // no new clients, please; those here are still served
)

// Status is the state, shared by all checks.
type Status struct {
	state atomic.Int32
	// Free is the share of client connections that are still to be had, 0 to 1; nil stands for all.
	Free func() float64
}

// Set moves to a state.
func (s *Status) Set(x State) { s.state.Store(int32(x)) }

// State is the present state.
func (s *Status) State() State { return State(s.state.Load()) }

// Agent is the line for HAProxy's agent-check: a weight that falls as connections run out.
func (s *Status) Agent() string {
	switch s.State() {
	case Ready:
		weight := 100
		if s.Free != nil {
			weight = max(1, min(100, int(100*s.Free()+0.5)))
		}
		return fmt.Sprintf("up ready %d%%\n", weight)
	case Draining:
		return "drain\n"
	}
	return "down\n"
}

// health is the HTTP status and text.
func (s *Status) health() (string, string) {
	switch s.State() {
	case Ready:
		return "200 OK", "ready\n"
	case Draining:
		return "503 Service Unavailable", "draining\n"
	}
	return "503 Service Unavailable", "starting\n"
}

// ServeAgent answers agent-checks until the context ends. Whatever the balancer says is passed over.
func ServeAgent(ctx context.Context, l net.Listener, s *Status) error {
	return serve(ctx, l, func(c net.Conn) error {
		_, err := c.Write([]byte(s.Agent()))
		return err
	})
}

// ServeHealth answers GET, HEAD and OPTIONS for /health, and /counters with text, until the context ends.
func ServeHealth(ctx context.Context, l net.Listener, s *Status, counters func() string) error {
	return serve(ctx, l, func(c net.Conn) error {
		return answerHTTP(c, func(target string) (status, text string) {
			switch target {
			case "/health", "/": // HAProxy's own default asks for the root
				return s.health()
			case "/counters":
				return "200 OK", strings.ReplaceAll(counters(), " ", "\n") + "\n"
			}
			return notFound, "not found\n"
		})
	})
}

// ServeAdmin answers GET for the pages that are given, each with what its function returns, until the context ends.
func ServeAdmin(ctx context.Context, l net.Listener, pages map[string]func() (string, error)) error {
	return serve(ctx, l, func(c net.Conn) error {
		return answerHTTP(c, func(target string) (status, text string) {
			page := pages[target]
			if page == nil {
				return notFound, "not found\n"
			}
			text, err := page()
			if err != nil {
				return "503 Service Unavailable", err.Error() + "\n"
			}
			return "200 OK", text
		})
	})
}

const notFound = "404 Not Found"

// answerHTTP reads a request and answers it with what stands at its target.
func answerHTTP(c net.Conn, at func(target string) (status, text string)) error {
	method, target, err := request(netbuf.New(c, mostLine))
	if err != nil {
		c.Write([]byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		return err
	}
	status, text := "405 Method Not Allowed", "GET, HEAD or OPTIONS\n"
	if method == "GET" || method == "HEAD" || method == "OPTIONS" {
		target, _, _ = strings.Cut(target, "?")
		status, text = at(target)
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nCache-Control: no-store\r\n"+
		"Connection: close\r\n\r\n", status, len(text))
	if method == "HEAD" {
		text = ""
	}
	_, err = c.Write([]byte(head + text))
	return err
}

// request reads a request line and passes over the headers.
func request(c *netbuf.Conn) (method, target string, err error) {
	first, err := c.Line()
	if err != nil {
		return "", "", err
	}
	method, rest, ok := strings.Cut(first, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !strings.HasPrefix(version, "HTTP/1.") {
		return "", "", errors.New("no HTTP request")
	}
	for range mostLines {
		if h, err := c.Line(); err != nil || h == "" {
			return method, target, err
		}
	}
	return "", "", errors.New("too many headers")
}

// serve answers one check a connection.
func serve(ctx context.Context, l net.Listener, answer func(net.Conn) error) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var group errgroup.Group
	group.SetLimit(mostOpen)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return group.Wait()
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		group.Go(func() error {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(answerFor))
			if err := answer(conn); err != nil {
				log.Printf("event=check_failed peer=%s error=%q", conn.RemoteAddr(), err)
				return nil
			}
			finish(conn)
			return nil
		})
	}
}

// finish reads what the balancer has still sent: closing over it would reset the connection and lose the answer.
func finish(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(answerFor / 10))
		var b [256]byte
		for range mostLines {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	}
}
