package mysql

import (
	"errors"
	"fmt"
	"net"

	"cranegate/internal/backend"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
)

// The capabilities that the gateway offers, and those that a host must have.
const (
	offeredCaps = mysqlwire.CapProtocol41 | mysqlwire.CapTransactions | mysqlwire.CapSecure | mysqlwire.CapPluginAuth |
		mysqlwire.CapConnectWithDB | mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF |
		mysqlwire.CapQueryAttributes
	requiredCaps = mysqlwire.CapProtocol41
)

// errPasswordInClear is the error of a host that accepts a password only in the clear.
var errPasswordInClear = errors.New("the host wants the password in the clear")

// Start answers the handshake of a fresh connection and makes it ready for a command. It is a backend.Starter.
func (d Account) Start(raw net.Conn) (backend.Conn, error) {
	c := &Conn{Conn: framebuf.New(raw, mysqlwire.MaxPacket+4), account: d,
		statements: map[*mysqlwire.Statement]prepared{}}
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
		plugin = mysqlwire.NativePassword // a server that wants another one asks for the switch
	}
	c.w.Reset(seq + 1)
	c.w.Login(mysqlwire.Login{Caps: c.caps, User: c.account.User, Database: c.account.Database, Plugin: plugin,
		Auth: mysqlwire.Scramble(plugin, c.account.Password, handshake.Nonce)})
	return nil
}

// authenticate writes the buffered response and continues until the host accepts the login.
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

// startError returns the error of a host that ended the handshake with one.
func startError(packet []byte) error {
	serverError, err := mysqlwire.ParseErr(packet)
	if err == nil && (capacityErrors[serverError.Code] || serverError.State == backend.StateTooManyConnections) {
		return backend.ErrRejected
	}
	return errors.Join(serverError, err)
}
