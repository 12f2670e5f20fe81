package mysql

import (
	"errors"
	"fmt"
	"net"

	"cranegate/internal/backend"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
)

// The capabilities that the gateway offers to a host, and the ones that it requires of a host.
const (
	offeredCaps = mysqlwire.CapProtocol41 | mysqlwire.CapTransactions | mysqlwire.CapSecure | mysqlwire.CapPluginAuth |
		mysqlwire.CapConnectWithDB | mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF |
		mysqlwire.CapQueryAttributes
	requiredCaps = mysqlwire.CapProtocol41
)

// errPasswordInClear is the error of a host that accepts a password only in clear text.
var errPasswordInClear = errors.New("the host requires the password in clear text")

// Start runs the handshake and the login on a new connection, which then can take a command. It is a backend.Starter.
func (a Account) Start(raw net.Conn) (backend.Conn, error) {
	c := &Conn{Conn: framebuf.New(raw, mysqlwire.MaxPacket+4), account: a,
		statements: map[*mysqlwire.StatementKey]uint32{}}
	if err := c.login(); err != nil {
		return nil, err
	}
	if err := c.authenticate(); err != nil {
		return nil, err
	}
	return c, nil
}

// login reads the host's handshake and buffers the response.
func (c *Conn) login() error {
	seq, packet, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil {
		return err
	}
	if len(packet) > 0 && packet[0] == mysqlwire.HeadErr {
		return startError(packet)
	}
	handshake, err := mysqlwire.ParseHandshake(packet)
	if err != nil {
		return err
	}
	if c.caps = handshake.Caps & offeredCaps; c.caps&requiredCaps != requiredCaps {
		return fmt.Errorf("the server's protocol is too old: %w", mysqlwire.ErrMalformed)
	}
	plugin := handshake.AuthPlugin
	if plugin != mysqlwire.CachingSHA2Password {
		plugin = mysqlwire.NativePassword // a server that requires another plugin requests a switch to it
	}
	c.w.Reset(seq + 1)
	c.w.Login(mysqlwire.Login{Caps: c.caps, User: c.account.User, Database: c.account.Database, Plugin: plugin,
		Auth: mysqlwire.Scramble(plugin, c.account.Password, handshake.Nonce)})
	return nil
}

// authenticate writes the buffered response, and answers the host's further requests until the host accepts the login.
func (c *Conn) authenticate() error {
	for {
		if _, err := c.Write(c.w.B); err != nil {
			return err
		}
		seq, packet, err := mysqlwire.ReadPacket(c.Conn)
		if err != nil {
			return err
		}
		c.w.Reset(seq + 1)
		switch {
		case len(packet) == 0:
			return mysqlwire.ErrMalformed
		case packet[0] == mysqlwire.HeadOK:
			return nil
		case packet[0] == mysqlwire.HeadErr:
			return startError(packet)
		case packet[0] == mysqlwire.HeadEOF:
			plugin, nonce, err := mysqlwire.ParseSwitchAuth(packet)
			if err != nil {
				return err
			}
			c.w.Packet(mysqlwire.Scramble(plugin, c.account.Password, nonce))
		case len(packet) == 2 && packet[0] == mysqlwire.MoreAuth && packet[1] == mysqlwire.FastAuth: // the OK follows
		default:
			return errPasswordInClear
		}
	}
}

// startError converts the ERR packet with which a host ended the handshake. It returns backend.ErrRejected if the host has no
// capacity for the connection.
func startError(packet []byte) error {
	serverError, err := mysqlwire.ParseErr(packet)
	if err == nil && (capacityErrors[serverError.Code] || serverError.State == backend.StateTooManyConnections) {
		return backend.ErrRejected
	}
	return errors.Join(serverError, err)
}
