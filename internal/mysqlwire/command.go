package mysqlwire

import (
	"sync/atomic"

	"cranegate/internal/sqlcomment"
)

// Statement is a prepared statement of a client.
type Statement struct {
	Text   string
	Meta   *sqlcomment.Statement // parsed from the comment in Text
	Params int
	Key    *StatementKey
}

// NewStatement returns a statement whose parameters are not known yet.
func NewStatement(text string, meta *sqlcomment.Statement) *Statement {
	return &Statement{Text: text, Meta: meta, Key: &StatementKey{}}
}

// StatementKey identifies a Statement. Each connection to a database host maps it to a statement of its own, until the connection's
// first use after the statement is dropped. It does not refer to the statement, whose text may be long.
type StatementKey struct{ dropped atomic.Bool }

// Drop marks the statement as closed by its client, or the client as disconnected. Any goroutine may call it.
func (k *StatementKey) Drop() { k.dropped.Store(true) }

// Dropped reports whether Drop was called. Any goroutine may call it.
func (k *StatementKey) Dropped() bool { return k.dropped.Load() }

// Command is a request to a database host. It shares no bytes with a connection's buffer.
type Command struct {
	Kind       byte                  // ComQuery, ComStmtPrepare or ComStmtExecute
	Meta       *sqlcomment.Statement // of this execution
	Statement  *Statement            // of a prepare or execute
	Params     []Param               // of an execute
	Long       map[int][]byte        // of an execute: the values that were sent ahead as long data, by the parameter's index
	Attributes []Param               // forwarded, except for the deadline
}
