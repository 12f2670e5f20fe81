package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// ServeHTTP answers a request whose header is complete. A body is not read before the answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connSlot, ok := r.Context().Value(slotKey{}).(*slot)
	if !ok || !connSlot.setPhase(phaseActing) {
		panic(http.ErrAbortHandler) // the connection was evicted before: nothing is done
	}
	// The context is not the request's: the action continues after the caller has closed its side of the connection.
	ctx, cancel := context.WithTimeout(connSlot.limiter.ctx, actionTimeout)
	defer cancel()
	found, id, err := s.findRoute(r)
	text := ""
	if err == nil {
		var release func()
		text, release, err = found.handle(ctx, id)
		defer release()
	}
	// The error of a shorter timeout within the action is not replaced: its text says more than ErrTimeout.
	if err == context.DeadlineExceeded || ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		err = ErrTimeout
	}
	if r.Method == http.MethodPost {
		slog.Info("admin_call", "call", fmt.Sprintf("%.300s", r.URL.Path), "done", err == nil)
	}
	connSlot.setPhase(phaseAnswering)
	if isError[MethodError](err) || r.Method == http.MethodOptions && found.methods != "" {
		w.Header().Set("Allow", found.methods)
	}
	writeAnswer(w, text, err)
	connSlot.setPhase(phaseAnswered)
}

// writeAnswer writes an answer with text or, if err is not nil, with the error's text, and flushes it.
func writeAnswer(w http.ResponseWriter, text string, err error) {
	if err != nil {
		text = err.Error() + "\n"
	}
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status(err))
	io.WriteString(w, text)
	controller := http.NewResponseController(w)
	controller.Flush()
	controller.SetReadDeadline(time.Now().Add(lingerTimeout))
}
