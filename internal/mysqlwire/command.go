package mysqlwire

import (
	"sync/atomic"

	"cranegate/internal/sqlcomment"
)

// Statement is a prepared statement of a client. Database hosts' connections each map it to a statement of
// their own, for as long as it is not dropped.
type Statement struct {
	Text    string
	Meta    *sqlcomment.Statement // what its comment tells
	Params  int
	dropped atomic.Bool
}

// Drop says that its client has closed it or left.
func (s *Statement) Drop() { s.dropped.Store(true) }

// Dropped says whether Drop was called.
func (s *Statement) Dropped() bool { return s.dropped.Load() }

// Command is what a request asks of a database host. Its bytes are its own.
type Command struct {
	Kind       byte                  // ComQuery, ComStmtPrepare or ComStmtExecute
	Meta       *sqlcomment.Statement // of this execution
	Statement  *Statement            // prepare and execute
	Params     []Param               // execute
	Long       map[int][]byte        // execute: parameters whose values went ahead
	Attributes []Param               // passed on, but for the deadline
}
