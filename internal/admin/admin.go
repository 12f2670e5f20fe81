// Package admin is the HTTP/1.1 server with which staff, their tools and load balancers check whether the gateway is ready, detach and
// attach database hosts, and drain its clients.
//
// A call is answered with 2xx once its action has taken effect, otherwise with 4xx or 5xx and a line that says what can be done.
package admin

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout    = 2 * time.Second        // to read a request; also to write the answer, from the end of the header on
	actionTimeout  = 800 * time.Millisecond // for an action to take effect; callers wait for 1 s
	lingerTimeout  = 100 * time.Millisecond // to receive the rest of a request's body after the answer
	maxHeaderBytes = 8 << 10                // net/http reads up to 4 KiB more
)

// Control is the part of the gateway that the calls act on. Each method returns nil once its action has taken effect, and an error if it
// has not. A method with a context returns soon after the context ends. It may then be unknown whether its action has taken effect.
type Control interface {
	// Ready returns an error if this process can't serve. It does not block.
	Ready() error
	// Detach takes a database host out of use. Attach lets it serve again. The id is valid UTF-8 of 1 to 256 bytes.
	Detach(ctx context.Context, id string) error
	Attach(ctx context.Context, id string) error
	// Lameduck drains the clients, or accepts clients again.
	Lameduck(ctx context.Context, on bool) error
}

// Page returns the text of a page. It returns soon after the context ends.
type Page func(context.Context) (string, error)

// Server answers the calls that one listener accepts.
type Server struct {
	routes   map[string]route
	maxConns int
	http     http.Server
}

// New returns a server for the calls on c and for pages, which are given by their paths. Servers with the same Control share a
// serializer. The server serves maxConns connections at once, and may hold one more that waits for a slot.
func New(c Control, serializer *Serializer, pages map[string]Page, maxConns int) *Server {
	lameduck := func(on bool) route {
		key := func(string) string { return "lameduck" }
		return actionRoute(serializer, key, func(ctx context.Context, _ string) error { return c.Lameduck(ctx, on) })
	}
	routes := map[string]route{
		"/_ready":                  pageRoute("GET, HEAD", func(context.Context) (string, error) { return "yes\n", c.Ready() }),
		"/_database-hosts/detach/": hostRoute(serializer, c.Detach),
		"/_database-hosts/attach/": hostRoute(serializer, c.Attach),
		"/_lameduck/on":            lameduck(true),
		"/_lameduck/off":           lameduck(false),
	}
	for path, page := range pages {
		routes[path] = pageRoute("GET, HEAD", page)
	}
	return newServer(routes, maxConns)
}

// NewHealth returns a server for load balancers. It serves the page health under /health and /, and the counters as text under
// /counters. The page health returns an error while clients should connect to another gateway.
func NewHealth(health, counters Page, maxConns int) *Server {
	const methods = "GET, HEAD, OPTIONS"
	return newServer(map[string]route{
		"/health":   pageRoute(methods, health),
		"/":         pageRoute(methods, health), // the default of HAProxy's health checks
		"/counters": pageRoute(methods, counters),
	}, maxConns)
}

func newServer(routes map[string]route, maxConns int) *Server {
	s := &Server{routes: routes, maxConns: maxConns}
	s.http = http.Server{
		Handler:           s,
		ReadHeaderTimeout: callTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(errorLogWriter{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, slotKey{}, c)
		},
	}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// Run answers calls until the context ends, and closes the listener. Calls that are in progress then are aborted.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	err := s.http.Serve(newLimiter(ctx, l, s.maxConns))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// errorLogWriter logs the HTTP server's own errors. slog.NewLogLogger can't be used, because it would log the server's text as the
// event's name.
type errorLogWriter struct{}

func (errorLogWriter) Write(line []byte) (int, error) {
	slog.Warn("admin_call_failed", "error", strings.TrimSpace(string(line)))
	return len(line), nil
}
