// Package admin answers HTTP/1.1 calls by which staff, their tools and balancers ask whether the gateway serves, take
// database hosts out and back, and send its clients away.
//
// A call is answered with 2xx once what it asks for holds, else with 4xx or 5xx and a line that says what can be done.
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
	callFor   = 2 * time.Second        // for a caller's call to come in, and from its head on for its answer to be taken
	actFor    = 800 * time.Millisecond // for what is asked to take effect; callers wait 1 s
	lingerFor = 100 * time.Millisecond // for the rest of a body behind the answer
	mostHead  = 8 << 10                // bytes; net/http reads up to 4 KiB more
)

// Control is what the calls act on. Each method returns once what it asks for holds; an error says that it does not. A
// method that takes a context returns soon after that ends, and may then leave it open whether its action holds.
type Control interface {
	// Ready says whether this process can serve. It does not wait.
	Ready() error
	// Detach leaves a database host out, Attach lets it serve again. The id is valid UTF-8 of 1 to 256 bytes.
	Detach(ctx context.Context, id string) error
	Attach(ctx context.Context, id string) error
	// Lameduck sends the clients away, or takes clients again.
	Lameduck(ctx context.Context, on bool) error
}

// Page makes a text to show. It returns soon after the context ends.
type Page func(context.Context) (string, error)

// Server answers the calls that one listener takes.
type Server struct {
	routes map[string]route
	places int
	http   http.Server
}

// New returns a server for the calls and for pages, by their paths. Servers of the same control share its turns. Places
// is how many connections it serves at once; one more may be held that waits for a place.
func New(c Control, turns *Serializer, pages map[string]Page, places int) *Server {
	act := func(key func(id string) string, f func(ctx context.Context, id string) error) route {
		return route{allow: "POST", run: func(ctx context.Context, id string) (string, func(), error) {
			release, err := turns.do(ctx, key(id), func() error { return f(ctx, id) })
			return "yes\n", release, err
		}}
	}
	host := func(f func(ctx context.Context, id string) error) route {
		r := act(func(id string) string { return "host " + id }, f)
		r.takesID = true
		return r
	}
	lameduck := func(on bool) route {
		return act(func(string) string { return "lameduck" }, func(ctx context.Context, _ string) error { return c.Lameduck(ctx, on) })
	}
	routes := map[string]route{
		"/_ready":                  page("GET, HEAD", func(context.Context) (string, error) { return "yes\n", c.Ready() }),
		"/_database-hosts/detach/": host(c.Detach),
		"/_database-hosts/attach/": host(c.Attach),
		"/_lameduck/on":            lameduck(true),
		"/_lameduck/off":           lameduck(false),
	}
	for path, p := range pages {
		routes[path] = page("GET, HEAD", p)
	}
	return newServer(routes, places)
}

// NewHealth returns a server for balancers: health, which gives a line and an error while clients should go elsewhere,
// under /health and /, and the counters as text under /counters.
func NewHealth(health, counters Page, places int) *Server {
	const allow = "GET, HEAD, OPTIONS"
	return newServer(map[string]route{"/health": page(allow, health), "/": page(allow, health), // HAProxy's own default asks for the root
		"/counters": page(allow, counters)}, places)
}

func newServer(routes map[string]route, places int) *Server {
	s := &Server{routes: routes, places: places}
	s.http = http.Server{Handler: s, ReadHeaderTimeout: callFor, ReadTimeout: callFor, WriteTimeout: callFor, MaxHeaderBytes: mostHead,
		ErrorLog: log.New(logged{}, "", 0), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, placeKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s
}

// Run answers calls until the context ends, and closes the listener. Those that are then being answered are cut off.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(newRoom(ctx, l, s.places)); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// logged takes the HTTP server's own lines.
type logged struct{}

func (logged) Write(b []byte) (int, error) {
	slog.Warn("admin_call_failed", "error", strings.TrimSpace(string(b)))
	return len(b), nil
}
