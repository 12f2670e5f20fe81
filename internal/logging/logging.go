// Package logging sets up the structured log: a line of key=value text for each record, with the event's name under the key "event".
//
// The level is Info unless LevelVariable names another one. Level debug adds a line for each request, attempt and closed connection.
package logging

import (
	"context"
	"io"
	"log/slog"
)

// LevelVariable is the environment variable that names the lowest level that is logged: debug, info, warn or error.
const LevelVariable = "CRANEGATE_LOG_LEVEL"

// timeFormat is the layout of times, which are in UTC.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// eventKey is the key of a record's message, in place of slog's.
const eventKey = "event"

// Level parses a level's name. It returns Info for anything that is not one.
func Level(name string) slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return level
}

// New returns a logger that writes a line of text to w for each record of level or above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr}))
}

// Use makes l the program's default logger. The caller may call undo to restore the previous one.
func Use(l *slog.Logger) (undo func()) {
	previous := slog.Default()
	slog.SetDefault(l)
	return func() { slog.SetDefault(previous) }
}

// Debugs reports whether records of level Debug are logged. Callers check it before they compute attributes that take time.
func Debugs() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// replaceAttr sets the key of messages and the layout of times.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = eventKey
	case slog.TimeKey:
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(timeFormat))
	}
	return a
}
