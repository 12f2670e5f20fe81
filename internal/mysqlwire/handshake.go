package mysqlwire

import "fmt"

const (
	protocolVersion  = 10
	charsetUTF8MB4   = 45
	nonceFirstBytes  = 8  // the first part of the challenge
	nonceSecondBytes = 12 // the second part, without the zero byte after it
	minSecondPart    = nonceSecondBytes + 1
)

// Nonce is the challenge that Handshake writes. It can be fixed because the frontend requires no password.
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
	cursor := Cursor{B: payload}
	var handshake Handshake
	if version := cursor.Byte(); version != protocolVersion {
		return handshake, fmt.Errorf("handshake of version %d: %w", version, ErrMalformed)
	}
	handshake.Version = string(cursor.ZeroTerminated())
	cursor.Take(4) // the connection's id
	handshake.Nonce = append(handshake.Nonce, cursor.Take(nonceFirstBytes)...)
	cursor.Take(1)
	handshake.Caps = uint32(cursor.U16())
	cursor.Take(1 + 2) // character set and status
	handshake.Caps |= uint32(cursor.U16()) << 16
	nonceBytes := int(cursor.Byte())
	cursor.Take(10) // reserved
	if handshake.Caps&CapSecure != 0 {
		second := cursor.Take(max(minSecondPart, nonceBytes-nonceFirstBytes))
		if cursor.Err == nil {
			handshake.Nonce = append(handshake.Nonce, second[:nonceSecondBytes]...)
		}
	}
	if handshake.Caps&CapPluginAuth != 0 && cursor.Err == nil {
		handshake.AuthPlugin = string(cursor.ZeroTerminated())
	}
	return handshake, cursor.Err
}

// Login is a client's response to a handshake.
type Login struct {
	Caps           uint32
	User, Database string
	Auth           []byte // the response to the challenge, 255 bytes at most
	Plugin         string
}

// Login writes a client's response to the handshake.
func (w *Writer) Login(login Login) {
	w.Begin()
	w.U32(login.Caps)
	w.U32(MaxPacket)
	w.Byte(charsetUTF8MB4)
	w.B = append(w.B, make([]byte, 23)...) // reserved
	w.Text(login.User + "\x00")
	w.Byte(byte(len(login.Auth)))
	w.B = append(w.B, login.Auth...)
	if login.Caps&CapConnectWithDB != 0 {
		w.Text(login.Database + "\x00")
	}
	if login.Caps&CapPluginAuth != 0 {
		w.Text(login.Plugin + "\x00")
	}
	w.End()
}

// ParseLogin parses a client's response. A response in the format before version 4.1, as an old health check sends it, has only
// flags and a user.
func ParseLogin(payload []byte) (Login, error) {
	cursor := Cursor{B: payload}
	login := Login{Caps: uint32(cursor.U16())}
	if login.Caps&CapProtocol41 == 0 {
		cursor.Take(3) // the largest packet
		login.User = string(cursor.ZeroTerminated())
		return login, cursor.Err
	}
	login.Caps |= uint32(cursor.U16()) << 16
	cursor.Take(4 + 1 + 23) // the largest packet, the character set, reserved
	if len(cursor.B) == 0 && login.Caps&CapSSL != 0 {
		return login, fmt.Errorf("encryption was not offered: %w", ErrMalformed)
	}
	login.User = string(cursor.ZeroTerminated())
	switch {
	case login.Caps&CapLenencAuth != 0:
		login.Auth = append(login.Auth, cursor.String()...)
	case login.Caps&CapSecure != 0:
		login.Auth = append(login.Auth, cursor.Take(int(cursor.Byte()))...)
	default:
		cursor.ZeroTerminated()
	}
	if login.Caps&CapConnectWithDB != 0 && len(cursor.B) > 0 {
		login.Database = string(cursor.ZeroTerminated())
	}
	return login, cursor.Err
}
