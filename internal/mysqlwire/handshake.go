package mysqlwire

import "fmt"

const (
	protocolVersion  = 10
	charsetUTF8MB4   = 45
	nonceFirstBytes  = 8  // the first part of the challenge
	nonceSecondBytes = 12 // the second part, without the zero byte behind it
	minSecondPart    = nonceSecondBytes + 1
)

// Nonce is the challenge that Handshake writes. It is fixed: the frontend requires no password.
const Nonce = "cranegategatecranega"

// Handshake is the first packet of a server.
type Handshake struct {
	Version    string
	Caps       uint32
	AuthPlugin string
	Nonce      []byte // the challenge
}

// Handshake writes a server's first packet.
func (w *Writer) Handshake(version string, id, caps uint32) {
	w.Begin()
	w.Byte(protocolVersion)
	w.Text(version + "\x00")
	w.U32(id)
	w.Text(Nonce[:nonceFirstBytes] + "\x00")
	w.U16(uint16(caps))
	w.Byte(charsetUTF8MB4)
	w.U16(StatusAutocommit)
	w.U16(uint16(caps >> 16))
	w.Byte(byte(len(Nonce) + 1))
	w.Text("\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00") // reserved
	w.Text(Nonce[nonceFirstBytes:] + "\x00")
	w.Text(NativePassword + "\x00")
	w.End()
}

// ParseHandshake parses a server's first packet.
func ParseHandshake(payload []byte) (Handshake, error) {
	c := Cursor{B: payload}
	var h Handshake
	if version := c.Byte(); version != protocolVersion {
		return h, fmt.Errorf("handshake of version %d: %w", version, ErrMalformed)
	}
	h.Version = string(c.Zero())
	c.Take(4) // the connection's id
	h.Nonce = append(h.Nonce, c.Take(nonceFirstBytes)...)
	c.Take(1)
	h.Caps = uint32(c.U16())
	c.Take(1 + 2) // character set and status
	h.Caps |= uint32(c.U16()) << 16
	nonceBytes := int(c.Byte())
	c.Take(10) // reserved
	if h.Caps&CapSecure != 0 {
		second := c.Take(max(minSecondPart, nonceBytes-nonceFirstBytes))
		if c.Err == nil {
			h.Nonce = append(h.Nonce, second[:nonceSecondBytes]...)
		}
	}
	if h.Caps&CapPluginAuth != 0 && c.Err == nil {
		h.AuthPlugin = string(c.Zero())
	}
	return h, c.Err
}

// Login is a client's response to a handshake.
type Login struct {
	Caps           uint32
	User, Database string
	Auth           []byte // the response to the challenge, 255 bytes at most
	Plugin         string
}

// Login writes a client's response to the handshake.
func (w *Writer) Login(l Login) {
	w.Begin()
	w.U32(l.Caps)
	w.U32(MaxPacket)
	w.Byte(charsetUTF8MB4)
	w.B = append(w.B, make([]byte, 23)...) // reserved
	w.Text(l.User + "\x00")
	w.Byte(byte(len(l.Auth)))
	w.B = append(w.B, l.Auth...)
	if l.Caps&CapConnectWithDB != 0 {
		w.Text(l.Database + "\x00")
	}
	if l.Caps&CapPluginAuth != 0 {
		w.Text(l.Plugin + "\x00")
	}
	w.End()
}

// ParseLogin parses a client's response. One of before version 4.1, as an old health check sends it, has only flags and a user.
func ParseLogin(payload []byte) (Login, error) {
	c := Cursor{B: payload}
	l := Login{Caps: uint32(c.U16())}
	if l.Caps&CapProtocol41 == 0 {
		c.Take(3) // the largest packet
		l.User = string(c.Zero())
		return l, c.Err
	}
	l.Caps |= uint32(c.U16()) << 16
	c.Take(4 + 1 + 23) // the largest packet, the character set, reserved
	if len(c.B) == 0 && l.Caps&CapSSL != 0 {
		return l, fmt.Errorf("encryption was not offered: %w", ErrMalformed)
	}
	l.User = string(c.Zero())
	switch {
	case l.Caps&CapLenencAuth != 0:
		l.Auth = append(l.Auth, c.String()...)
	case l.Caps&CapSecure != 0:
		l.Auth = append(l.Auth, c.Take(int(c.Byte()))...)
	default:
		c.Zero()
	}
	if l.Caps&CapConnectWithDB != 0 && len(c.B) > 0 {
		l.Database = string(c.Zero())
	}
	return l, c.Err
}
