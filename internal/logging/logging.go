// Package logging sets up the structured log: a line of key=value text for each record, the event's name under the key event.
//
// The level is Info, or what LevelVariable names: debug adds a line for each request, attempt and closed connection.
package logging

import (
	"context"
	"io"
	"log/slog"
)

// LevelVariable is the environment variable that names the least level that is logged: debug, info, warn or error.
const LevelVariable = "CRANEGATE_LOG_LEVEL"

// timeForm is how times are written, in UTC.
const timeForm = "2006-01-02T15:04:05.000000Z"

// eventKey replaces slog's key of the message.
const eventKey = "event"

// Level reads a level's name; anything else is Info.
func Level(name string) slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return level
}

// New returns a logger that writes lines of text, with times in UTC.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: rename}))
}

// Use makes a logger the program's, and returns a call that undoes it.
func Use(l *slog.Logger) (undo func()) {
	old := slog.Default()
	slog.SetDefault(l)
	return func() { slog.SetDefault(old) }
}

// Debugs says whether lines of level Debug are logged: whoever has to gather what they say looks first.
func Debugs() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

func rename(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = eventKey
	case slog.TimeKey:
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(timeForm))
	}
	return a
}
