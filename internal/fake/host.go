// Package fake provides small database hosts, clients and a discovery service for tests and examples. They implement the
// public protocol specifications as far as the gateway needs them.
package fake

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cranegate/internal/framebuf"
	"cranegate/internal/sqlcomment"
)

// Act is how a host handles a statement.
type Act int

// The ways in which a host handles a statement.
const (
	Serve            Act = iota // run it and answer
	Miss                        // reject it: not the primary, or too stale
	Reject                      // reject it: over capacity
	Error                       // run it and answer with an error
	Reset                       // run it and drop the connection
	Silent                      // run it and never answer
	InvalidStatement            // reject it: the statement is invalid
	NoCapacity                  // reject it and close: too many connections (PostgreSQL only)
)

// Host is a database host of one group.
type Host struct {
	Primary  bool
	Password string // of a MySQL login
	Plugin   string // authentication plugin of a MySQL login; empty for mysql_native_password
	// Act decides how to handle a statement or, if prepare is set, a prepare. Nil serves everything except writes at a
	// replica, which get Miss.
	Act func(id, text string, prepare bool) Act
	// RoleAndPosition returns the role and position (Unix milliseconds) that the host reports in answers or, if report is
	// set, in load reports. If it is nil, the host reports Primary and the current time.
	RoleAndPosition func(report bool) (primary bool, position int64)
	// Reports adds the load report to each answer, in place of the position. Only load reports then contain the position.
	Reports bool
	// PrepareFor is how long a prepare takes.
	PrepareFor time.Duration
	// Malform replaces the answer to a request. Nil leaves all answers as they are.
	Malform func(id string, answer []byte) Malformed

	mu             sync.Mutex
	runs           map[string]int // number of executions, by request ID
	openStatements int            // prepared statements
	prepares       int
	conns          map[net.Conn]bool
}

// Malformed is what a host sends in place of an answer.
type Malformed struct {
	Answer  []byte
	Surplus []byte        // sent after Answer, without a request
	After   time.Duration // delay between Answer and Surplus
	Dead    bool          // nothing more is answered; the connection stays open until the peer sends more
}

// send writes an answer, or what Malform returns in its place. It returns false if no more requests are to be read.
func (h *Host) send(c *framebuf.Conn, id string, answer []byte) bool {
	reply := Malformed{Answer: answer}
	if h.Malform != nil && id != "" {
		reply = h.Malform(id, answer)
	}
	if _, err := c.Write(reply.Answer); err != nil {
		return false
	}
	if reply.Surplus != nil {
		time.Sleep(reply.After)
		c.Write(reply.Surplus)
	}
	if reply.Dead {
		c.Need(c.Buffered() + 1) // until the peer closes or sends more
	}
	return !reply.Dead
}

// Ran returns how often a request has run on this host.
func (h *Host) Ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// Statements returns the number of open prepared statements and the number of prepares received.
func (h *Host) Statements() (open, prepares int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openStatements, h.prepares
}

// Conns returns the number of open connections.
func (h *Host) Conns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// DropConnections closes all connections, as when the host's process crashes. New connections are still accepted.
func (h *Host) DropConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// track counts a connection as open until the returned function closes it.
func (h *Host) track(c net.Conn) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = map[net.Conn]bool{}
		h.runs = map[string]int{}
	}
	h.conns[c] = true
	return func() {
		c.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.conns, c)
	}
}

// decide returns how to handle a statement or a prepare. It counts prepares and the statements that run.
func (h *Host) decide(id, text string, prepare bool) Act {
	act := Serve
	if h.Act != nil {
		act = h.Act(id, text, prepare)
	} else if !prepare && !h.Primary && strings.Contains(text, "INSERT") {
		act = Miss
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if prepare {
		h.prepares++
	} else if act != Miss && act != Reject && act != InvalidStatement {
		h.runs[id]++
	}
	return act
}

// selfReport returns the host's role and position, as answers or load reports carry them.
func (h *Host) selfReport(report bool) (primary bool, position int64) {
	if h.RoleAndPosition != nil {
		return h.RoleAndPosition(report)
	}
	return h.Primary, time.Now().UnixMilli()
}

// sessionVariables returns the session variables that the host reports with an answer, as names and values.
func (h *Host) sessionVariables() [][2]string {
	role := "standby"
	primary, position := h.selfReport(false)
	if primary {
		role = "primary"
	}
	if h.Reports {
		return [][2]string{{"replication_role", role}, {"pressure", h.loadReport()}}
	}
	return [][2]string{{"replication_role", role}, {"log_position", strconv.FormatInt(position, 10)}}
}

// loadReport returns the host's load report, which is also the answer to a health check.
func (h *Host) loadReport() string {
	role := "0"
	primary, position := h.selfReport(true)
	if primary {
		role = "1"
	}
	return "x0=" + strconv.FormatFloat(float64(position)/1000, 'f', 3, 64) + ",x1=" + role
}

// valueOf returns the value in the answer to a statement, which contains the statement's key.
func valueOf(text string) string { return "value of " + string(sqlcomment.FirstQuoted([]byte(text))) }

// sqlErrors holds the SQLSTATE and the message of each act that ServePostgres answers with an error, except Miss, whose
// SQLSTATE depends on the statement.
var sqlErrors = map[Act][2]string{
	Reject:           {"53300", "over capacity"},
	NoCapacity:       {"53300", "too many connections"},
	Error:            {"XX000", "internal error"},
	InvalidStatement: {"42601", "syntax error"},
}
