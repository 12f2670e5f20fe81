// Package mysql serves clients of the MySQL protocol, with text queries and prepared statements.
//
// A statement's comment contains the platform's fields: id, c, d, cluster, after, r. Most of them change with each execution
// of a prepared statement, so query attributes of the same names override the comment. The attribute k overrides the
// session's key, which is otherwise the first quoted text of the statement.
//
// Only c is required. Without d, the timeout of a request is its class's deadline. Without cluster, the request is for group
// 0. Without after, a read need not see any earlier write. Without id, the database host receives no id. The text of a prepare must
// contain c and cluster.
package mysql

import (
	"errors"
	"net"

	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/mysqlwire"
)

const (
	serverVersion      = "8.0.0-cranegate"
	packetHeaderBytes  = 4
	serverCapabilities = mysqlwire.CapConnectWithDB | mysqlwire.CapProtocol41 | mysqlwire.CapTransactions |
		mysqlwire.CapSecure | mysqlwire.CapPluginAuth | mysqlwire.CapConnectAttrs | mysqlwire.CapLenencAuth |
		mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF | mysqlwire.CapQueryAttributes
)

// Protocol is the MySQL protocol as a frontend.Protocol.
type Protocol struct{}

// MaxMessageBytes is the size of the largest packet that a client may send, including its header.
func (Protocol) MaxMessageBytes() int { return mysqlwire.MaxPacket + packetHeaderBytes }

// Probe returns nil: a MySQL server sends nothing but answers.
func (Protocol) Probe() []byte { return nil }

// Reject writes the error that is sent to a client if there is no slot for it.
func (Protocol) Reject(conn net.Conn) {
	var w mysqlwire.Writer
	w.Err(errTooManyClients, 0)
	conn.Write(w.B)
}

// Serve serves one client until it quits or its connection has to end.
func (Protocol) Serve(session *frontend.Session) error {
	c := &client{Session: session, statements: map[uint32]*prepared{}}
	defer c.dropStatements()
	if err := c.login(); err != nil {
		return c.fatal(err)
	}
	for {
		quit, err := c.serveCommand()
		if err != nil {
			return c.fatal(err)
		}
		if quit {
			return nil
		}
	}
}

// client is one client's connection.
type client struct {
	*frontend.Session
	w               mysqlwire.Writer
	capabilities    uint32 // those that both the client and the gateway support
	statements      map[uint32]*prepared
	lastStatementID uint32
	faultsErr       error // set by writeError after too many unusable commands in a row
}

// readPacket waits for the client's next packet and resets the writer for its answer.
func (c *client) readPacket() (body []byte, err error) {
	var sequence byte
	err = c.Next(func() (err error) {
		sequence, body, err = mysqlwire.ReadPacket(c.Conn)
		return err
	})
	if err == nil {
		c.w.Reset(sequence + 1)
	}
	return body, err
}

// login sends the handshake and accepts any user.
func (c *client) login() error {
	c.w.Handshake(serverVersion, 1, serverCapabilities)
	if err := c.Send(c.w.B); err != nil {
		return err
	}
	body, err := c.readPacket()
	if err != nil {
		return err
	}
	login, err := mysqlwire.ParseLogin(body)
	if err != nil {
		return err
	}
	c.capabilities = login.Caps & serverCapabilities
	c.Started()
	c.w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.capabilities)
	return c.Send(c.w.B)
}

// serveCommand reads and answers one command. It returns true if the client quits.
func (c *client) serveCommand() (quit bool, err error) {
	body, err := c.readPacket()
	if err != nil {
		return false, err
	}
	if len(body) == 0 {
		return false, mysqlwire.ErrMalformed
	}
	if body[0] == mysqlwire.ComQuit {
		return true, nil
	}
	if err := c.command(body[0], body[1:]); err != nil {
		return false, err
	}
	if c.faultsErr != nil {
		return false, c.faultsErr
	}
	if len(c.w.B) == 0 {
		return false, nil
	}
	return false, c.Send(c.w.B)
}

// fatal sends the client the error that corresponds to err, if any, and returns err. The caller then ends the session.
func (c *client) fatal(err error) error {
	switch {
	case errors.Is(err, framebuf.ErrTooLarge):
		c.sendOnly(errTooLarge)
	case errors.Is(err, framebuf.ErrBudgetExhausted): // before the message was complete, so nothing has run
		c.sendOnly(errNoMemory)
	case errors.Is(err, frontend.ErrTooManyFaults):
		c.Send(c.w.B) // the error of the last command
	case errors.Is(err, mysqlwire.ErrMalformed):
		c.sendOnly(errUnknownCommand)
	}
	return err
}

// sendOnly discards the writer's content and sends an error instead.
func (c *client) sendOnly(e mysqlwire.Error) {
	c.w.Reset(c.w.Seq)
	c.w.Err(e, c.capabilities)
	c.Send(c.w.B)
}
