package admin

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"cranegate/internal/override"
)

// maxIDBytes bounds a database host's id.
const maxIDBytes = 256

// route answers the requests to one path.
type route struct {
	methods string // as in an Allow header
	takesID bool   // an id follows the route's path
	// handle performs the call and returns the text of a successful answer. The caller calls release once it has written the answer.
	handle func(ctx context.Context, id string) (text string, release func(), err error)
}

// pageRoute returns the route of a page.
func pageRoute(methods string, page Page) route {
	return route{methods: methods, handle: func(ctx context.Context, _ string) (string, func(), error) {
		text, err := page(ctx)
		return text, func() {}, err
	}}
}

// actionRoute returns the route of an action. Actions with the same key run one at a time.
func actionRoute(serializer *Serializer, key func(id string) string, action func(ctx context.Context, id string) error) route {
	return route{methods: "POST", handle: func(ctx context.Context, id string) (string, func(), error) {
		release, err := serializer.do(ctx, key(id), func() error { return action(ctx, id) })
		return "yes\n", release, err
	}}
}

// hostRoute returns the route of an action on a database host. The path ends with the host's id.
func hostRoute(serializer *Serializer, action func(ctx context.Context, id string) error) route {
	r := actionRoute(serializer, func(id string) string { return "host " + id }, action)
	r.takesID = true
	return r
}

// findRoute returns the route of a request, and the id in its path.
func (s *Server) findRoute(r *http.Request) (found route, id string, err error) {
	path := r.URL.EscapedPath()
	found, ok := s.routes[path]
	if !ok || found.takesID {
		idStart := strings.LastIndexByte(path, '/') + 1
		found, ok = s.routes[path[:idStart]]
		id, err = url.PathUnescape(path[idStart:])
		if !ok || !found.takesID || id == "" || err != nil {
			return route{}, "", NotFoundError{s.paths()}
		}
	}
	switch {
	case !slices.Contains(strings.Split(found.methods, ", "), r.Method):
		return found, id, MethodError{found.methods}
	case !utf8.ValidString(id):
		return found, id, InvalidIDError{id}
	case len(id) > maxIDBytes:
		return found, id, override.UnknownHostError{ID: id}
	}
	return found, id, nil
}

// paths lists the paths of all routes, sorted.
func (s *Server) paths() []string {
	var paths []string
	for path, r := range s.routes {
		if r.takesID {
			path += "ID"
		}
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}
