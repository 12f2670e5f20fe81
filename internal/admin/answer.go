package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"cranegate/internal/override"
)

// longestID is the most bytes of a database host's id.
const longestID = 256

// TimeoutError says that a call did not take effect in the time it had. It may or may not hold, now or soon. Ask again: each
// call may be made twice.
type TimeoutError struct{ Waited time.Duration }

// ErrTimeout is what callers are told.
var ErrTimeout = TimeoutError{actFor}

func (e TimeoutError) Error() string {
	return fmt.Sprintf("not done within %v: it may or may not hold; ask again, the call may be made twice", e.Waited)
}

// InvalidIDError says that an id in a path can't be one of a database host. Give it in UTF-8, escaped for a URL.
type InvalidIDError struct{ ID string }

func (e InvalidIDError) Error() string {
	return fmt.Sprintf("the id %.*q is not valid UTF-8; give it as discovery's list has it, escaped for a URL", longestID, e.ID)
}

// NotFoundError says that nothing stands at a path. Paths are compared whole.
type NotFoundError struct{ Calls []string }

func (e NotFoundError) Error() string {
	return "no such call; there are " + strings.Join(e.Calls, ", ")
}

// MethodError says that a call is made by other methods.
type MethodError struct{ Allow string }

func (e MethodError) Error() string { return "ask by " + e.Allow }

// status is the HTTP status for an error.
func status(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case is[InvalidIDError](err):
		return http.StatusBadRequest
	case is[NotFoundError](err), is[override.UnknownHostError](err):
		return http.StatusNotFound
	case is[MethodError](err):
		return http.StatusMethodNotAllowed
	case is[override.LimitError](err):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// route is what stands at a path.
type route struct {
	allow   string // the methods
	takesID bool   // the path goes on with an id
	// run acts and gives the text of a yes. What it releases it holds until its answer is on its way.
	run func(ctx context.Context, id string) (text string, release func(), err error)
}

// page is the route of a text to show.
func page(allow string, p Page) route {
	return route{allow: allow, run: func(ctx context.Context, _ string) (string, func(), error) {
		text, err := p(ctx)
		return text, func() {}, err
	}}
}

// find gives the route of a call, and the id in its path.
func (s *Server) find(r *http.Request) (x route, id string, err error) {
	path := r.URL.EscapedPath()
	x, ok := s.routes[path]
	if !ok || x.takesID {
		cut := strings.LastIndexByte(path, '/') + 1
		x, ok = s.routes[path[:cut]]
		if id, err = url.PathUnescape(path[cut:]); !ok || !x.takesID || id == "" || err != nil {
			return route{}, "", NotFoundError{s.calls()}
		}
	}
	switch {
	case !slices.Contains(strings.Split(x.allow, ", "), r.Method):
		return x, id, MethodError{x.allow}
	case !utf8.ValidString(id):
		return x, id, InvalidIDError{id}
	case len(id) > longestID:
		return x, id, override.UnknownHostError{ID: id}
	}
	return x, id, nil
}

// calls lists what there is.
func (s *Server) calls() []string {
	var all []string
	for path, x := range s.routes {
		if x.takesID {
			path += "ID"
		}
		all = append(all, path)
	}
	slices.Sort(all)
	return all
}

// ServeHTTP answers a call whose head is whole. A body is not read before the answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, ok := r.Context().Value(placeKey{}).(*place)
	if !ok || !p.move(acting) {
		panic(http.ErrAbortHandler) // its place was given away meanwhile: nothing is done
	}
	// The action does not end with its caller, who may have closed its side.
	ctx, cancel := context.WithTimeout(p.room.ctx, actFor)
	defer cancel()
	x, id, err := s.find(r)
	text := ""
	if err == nil {
		var release func()
		text, release, err = x.run(ctx, id)
		defer release()
	}
	// A shorter wait inside may have run out before the call's time: its own words say which, and what can be done.
	if err == context.DeadlineExceeded || ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		err = ErrTimeout
	}
	if r.Method == http.MethodPost {
		slog.Info("admin", "call", fmt.Sprintf("%.300s", r.URL.Path), "done", err == nil)
	}
	if err != nil {
		text = err.Error() + "\n"
	}
	p.move(answering)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if is[MethodError](err) || r.Method == http.MethodOptions && x.allow != "" {
		h.Set("Allow", x.allow)
	}
	w.WriteHeader(status(err))
	io.WriteString(w, text)
	c := http.NewResponseController(w)
	c.Flush()
	c.SetReadDeadline(time.Now().Add(lingerFor))
	p.move(answered)
}
