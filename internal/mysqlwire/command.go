package mysqlwire

import (
	"sync/atomic"

	"cranegate/internal/sqlcomment"
)

// Statement is a prepared statement of a client. Each connection to a database host maps it to a statement of
// its own, until it is dropped.
type Statement struct {
	Text    string
	Meta    *sqlcomment.Statement // parsed from the comment in Text
	Params  int
	dropped atomic.Bool
}

// Drop marks the statement as closed by its client, or the client as disconnected. Any goroutine may call it.
func (s *Statement) Drop() { s.dropped.Store(true) }

// Dropped reports whether Drop was called. Any goroutine may call it.
func (s *Statement) Dropped() bool { return s.dropped.Load() }

// Command is a request to a database host. It shares no bytes with a connection's buffer.
type Command struct {
	Kind       byte                  // ComQuery, ComStmtPrepare or ComStmtExecute
	Meta       *sqlcomment.Statement // of this execution
	Statement  *Statement            // of a prepare or execute
	Params     []Param               // of an execute
	Long       map[int][]byte        // of an execute: the values that were sent ahead as long data, by the parameter's index
	Attributes []Param               // forwarded, except for the deadline
}
