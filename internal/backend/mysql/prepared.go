package mysql

import (
	"slices"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

const (
	maxStatements    = 256         // prepared on one connection; the one prepared first is closed to prepare another
	latePrepareGrace = time.Second // how long after its deadline a prepare may still be answered
)

// errUnknownStatement is the error code of a host that does not know the prepared statement any more. It proves that nothing
// ran.
const errUnknownStatement = 1243

// prepareOnly runs a client's prepare. The connection is not closed when the attempt is abandoned. Instead the answer, if it
// still arrives, is read, so that the connection stays in step. The statement is closed if its client has disconnected
// meanwhile.
func (c *Conn) prepareOnly(a *core.Attempt, statement *mysqlwire.Statement) (core.Outcome, bool) {
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return c.discard(len(c.w.B))
	}
	definitions, serverError, err := c.prepare(statement, time.Until(a.Deadline)+latePrepareGrace)
	if err != nil {
		return core.Outcome{Result: resultOf(nil, err)}, false
	}
	c.w.Reset(0)
	c.closeDropped()
	inStep := c.flush() == nil
	if serverError != nil {
		return core.Outcome{Result: resultOf(serverError, nil)}, inStep
	}
	return core.Outcome{Result: routing.ResultOK, Value: definitions}, inStep
}

// execute runs a prepared statement. It prepares the statement on this connection first if necessary, and prepares it again,
// once, if the host does not know it any more.
func (c *Conn) execute(a *core.Attempt, command *mysqlwire.Command) (core.Outcome, bool) {
	// This stop is a placeholder until CloseOnAbandon returns the real one.
	begun, stop := false, func() bool { return true }
	for {
		statementID, wasPrepared := c.statements[command.Statement.Key]
		if !wasPrepared {
			if !begun && !a.Waiting() {
				return c.discard(len(c.w.B))
			}
			switch alive := c.Alive(); {
			case !alive && !begun:
				return backend.NotSent, false
			case !alive: // the host has not run the execute, as it did not know the statement: it may be retried elsewhere
				return core.Outcome{Result: routing.ResultConnectFailed}, false
			}
			_, serverError, err := c.prepare(command.Statement, c.account.PrepareTimeout)
			if err != nil { // the execute was not written, or the host did not know the statement: it may be retried elsewhere
				return core.Outcome{Result: routing.ResultConnectFailed}, false
			} else if serverError != nil {
				return core.Outcome{Result: resultOf(serverError, nil)}, stop()
			}
			statementID = c.statements[command.Statement.Key]
			awaitSurplus(a)
		}
		buffered := len(c.w.B)
		c.appendExecute(statementID, command, time.Until(a.Deadline))
		if !c.Alive() {
			if wasPrepared { // while the connection was idle, it was closed or unexpected bytes arrived
				return backend.NotSent, false
			}
			// The close or the bytes arrived after the prepare's answer. The execute has not run, and may be retried elsewhere.
			return core.Outcome{Result: routing.ResultConnectFailed}, false
		}
		if !begun {
			if !a.Begin() {
				return c.discard(buffered)
			}
			begun, stop = true, backend.CloseOnAbandon(a, c)
		}
		if err := c.flush(); err != nil { // the execute was not written completely: it has not run, and may be retried elsewhere
			return core.Outcome{Result: routing.ResultConnectFailed}, false
		}
		c.SetReadDeadline(time.Time{})
		response, serverError, err := c.readResponse(a.Context(), true)
		forgotten := serverError != nil && response == nil && serverError.Code == errUnknownStatement
		if forgotten && wasPrepared {
			c.forget(command.Statement.Key)
			awaitSurplus(a)
			continue
		}
		return c.outcome(a, response, serverError, err), stop() && err == nil && c.Buffered() == 0
	}
}

// awaitSurplus waits for backend.ReuseDelay behind an answer within an attempt, so that a second copy of it arrives before the next
// command is written. It returns early if the attempt is abandoned.
func awaitSurplus(a *core.Attempt) {
	timer := time.NewTimer(backend.ReuseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.Context().Done():
	}
}

// appendExecute buffers an execute, preceded by the long data of its parameters.
func (c *Conn) appendExecute(id uint32, command *mysqlwire.Command, wait time.Duration) {
	for param, data := range command.Long {
		c.w.Seq = 0
		c.w.Begin()
		c.w.Byte(mysqlwire.ComStmtLongData)
		c.w.U32(id)
		c.w.U16(uint16(param))
		c.w.B = append(c.w.B, data...)
		c.w.End()
	}
	c.w.Seq = 0
	c.w.Execute(id, command.Params, attributes(command, wait), c.caps)
}

// prepare prepares a statement on this connection. After an error of the host (the second result) the connection is in step;
// after any other error it is not.
func (c *Conn) prepare(statement *mysqlwire.Statement, timeout time.Duration) (*mysqlwire.Definitions, *mysqlwire.Error, error) {
	for len(c.order) >= maxStatements {
		c.closeStatement(c.order[0])
	}
	c.w.Seq = 0
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtPrepare)
	c.w.Text(statement.Text)
	c.w.End()
	if err := c.flush(); err != nil {
		return nil, nil, err
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	c.seq = 1
	if _, err := c.Need(1); err != nil {
		return nil, nil, err
	}
	c.SetReadDeadline(time.Now().Add(backend.AnswerStallTimeout))
	packet, err := c.readPacket()
	if err != nil {
		return nil, nil, err
	}
	if len(packet) > 0 && packet[0] == mysqlwire.HeadErr {
		serverError, err := mysqlwire.ParseErr(packet)
		return nil, &serverError, err
	}
	definitions, err := c.readPrepared(statement.Key, packet)
	return definitions, nil, err
}

// readPrepared reads the definitions that follow a successful prepare's first packet, and records the statement.
func (c *Conn) readPrepared(statement *mysqlwire.StatementKey, first []byte) (*mysqlwire.Definitions, error) {
	cursor := mysqlwire.Cursor{B: first}
	head, id := cursor.Byte(), cursor.U32()
	columns, params := int(cursor.U16()), int(cursor.U16())
	if cursor.Err != nil || head != mysqlwire.HeadOK {
		return nil, mysqlwire.ErrMalformed
	}
	definitions := &mysqlwire.Definitions{}
	bytesLeft := maxResponseBytes
	var err error
	if definitions.Params, err = c.readDefinitions(params, &bytesLeft); err != nil {
		return nil, err
	}
	if definitions.Columns, err = c.readDefinitions(columns, &bytesLeft); err != nil {
		return nil, err
	}
	c.statements[statement] = id
	c.order = append(c.order, statement)
	return definitions, nil
}

// closeDropped closes, with the next write, each statement that was dropped: its client has closed it, has reset its session
// or has disconnected, or the client's prepare has failed.
func (c *Conn) closeDropped() {
	for _, statement := range slices.Clone(c.order) {
		if statement.Dropped() {
			c.closeStatement(statement)
		}
	}
}

// closeStatement closes one statement with the next write. The host does not answer it.
func (c *Conn) closeStatement(statement *mysqlwire.StatementKey) {
	c.w.Seq = 0
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtClose)
	c.w.U32(c.statements[statement])
	c.w.End()
	c.forget(statement)
}

// forget removes a statement from the ones recorded as prepared on this connection.
func (c *Conn) forget(statement *mysqlwire.StatementKey) {
	delete(c.statements, statement)
	if i := slices.Index(c.order, statement); i >= 0 {
		c.order = append(c.order[:i:i], c.order[i+1:]...)
	}
}
