package admin

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cranegate/internal/override"
)

// TimeoutError reports that an action did not take effect within its timeout. It may have taken effect since, or may still do so. The
// caller can repeat the call, because all calls are idempotent.
type TimeoutError struct{ Waited time.Duration }

// ErrTimeout is the TimeoutError that callers get.
var ErrTimeout = TimeoutError{actionTimeout}

// Error implements the error interface.
func (e TimeoutError) Error() string {
	return fmt.Sprintf("not done within %v: it may or may not hold; ask again, the call may be made twice", e.Waited)
}

// InvalidIDError reports that an id in a path can't be the id of a database host. An id must be UTF-8, escaped for a URL.
type InvalidIDError struct{ ID string }

// Error implements the error interface.
func (e InvalidIDError) Error() string {
	return fmt.Sprintf("the id %.*q is not valid UTF-8; give it as discovery's list has it, escaped for a URL", maxIDBytes, e.ID)
}

// NotFoundError reports that there is no route for a path. Calls lists the paths that have one.
type NotFoundError struct{ Calls []string }

// Error implements the error interface.
func (e NotFoundError) Error() string {
	return "no such call; there are " + strings.Join(e.Calls, ", ")
}

// MethodError reports that a call does not allow the request's method. Allow lists the methods that are allowed.
type MethodError struct{ Allow string }

// Error implements the error interface.
func (e MethodError) Error() string { return "ask by " + e.Allow }

// status returns the HTTP status for an error.
func status(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case isError[InvalidIDError](err):
		return http.StatusBadRequest
	case isError[NotFoundError](err), isError[override.UnknownHostError](err):
		return http.StatusNotFound
	case isError[MethodError](err):
		return http.StatusMethodNotAllowed
	case isError[override.LimitError](err):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// isError reports whether an error of a type is in err's tree.
func isError[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}
