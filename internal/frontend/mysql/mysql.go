// Package mysql serves clients that speak the MySQL protocol, with text queries and prepared statements.
//
// A statement's comment has the platform's fields: id, c, d, cluster, after, r. As most of these change with each execution
// of a prepared statement, query attributes of the same names override the comment; the attribute k names the session's
// key where the text does not quote it. Without d a request has its class's whole deadline, without cluster it is for group
// 0, without after it has to see no write, without id the database host sees none. Only c is required. The text of a
// prepare must hold c and cluster.
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

// MaxMessageBytes is the largest packet that a client may send, with its header.
func (Protocol) MaxMessageBytes() int { return mysqlwire.MaxPacket + packetHeaderBytes }

// Reject writes the error for a client that gets no slot.
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
	capabilities    uint32 // that both sides have
	statements      map[uint32]*prepared
	lastStatementID uint32
	faultsErr       error // set after too many unusable commands in a row
}

// readPacket waits for the client's next packet and prepares the writer for its answer.
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

// serveCommand reads and answers one command. It returns true where the client quits.
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

// fatal sends the error that ends the connection, where the client is to know it, and returns err.
func (c *client) fatal(err error) error {
	switch {
	case errors.Is(err, framebuf.ErrTooLarge):
		c.sendOnly(errTooLarge)
	case errors.Is(err, framebuf.ErrBudgetExhausted): // nothing of the message was used
		c.sendOnly(errNoMemory)
	case errors.Is(err, frontend.ErrTooManyFaults):
		c.Send(c.w.B) // the error of the last command
	case errors.Is(err, mysqlwire.ErrMalformed):
		c.sendOnly(errUnknownCommand)
	}
	return err
}

// sendOnly sends an error in place of what the writer holds.
func (c *client) sendOnly(e mysqlwire.Error) {
	c.w.Reset(c.w.Seq)
	c.w.Err(e, c.capabilities)
	c.Send(c.w.B)
}
