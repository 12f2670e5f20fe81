package mysqlwire

import (
	"bytes"
	"crypto/sha1"
	"crypto/sha256"
	"hash"
)

// The authentication plugins that the gateway supports.
const (
	NativePassword      = "mysql_native_password"
	CachingSHA2Password = "caching_sha2_password"
)

// MoreAuth is the first byte of a server's packet that continues a login. FastAuth and FullAuth are values of its second byte.
const (
	MoreAuth = 0x01
	FastAuth = 0x03 // the password was right
	FullAuth = 0x04 // the password is required in plain text, which needs an encrypted connection
)

// Scramble returns the response to a server's challenge, which proves knowledge of the password. It returns nil for an empty
// password and for a plugin that is not supported.
func Scramble(plugin, password string, nonce []byte) []byte {
	if password == "" {
		return nil
	}
	switch plugin {
	case NativePassword: // SHA1(password) XOR SHA1(nonce + SHA1(SHA1(password)))
		hashed := digest(sha1.New(), []byte(password))
		return xor(hashed, digest(sha1.New(), nonce, digest(sha1.New(), hashed)))
	case CachingSHA2Password: // SHA256(password) XOR SHA256(SHA256(SHA256(password)) + nonce)
		hashed := digest(sha256.New(), []byte(password))
		return xor(hashed, digest(sha256.New(), digest(sha256.New(), hashed), nonce))
	}
	return nil
}

// digest returns the hash of all parts together.
func digest(h hash.Hash, parts ...[]byte) []byte {
	for _, part := range parts {
		h.Write(part)
	}
	return h.Sum(nil)
}

// xor sets a to a XOR b and returns it.
func xor(a, b []byte) []byte {
	for i := range a {
		a[i] ^= b[i]
	}
	return a
}

// SwitchAuth writes a server's request for another authentication plugin.
func (w *Writer) SwitchAuth(plugin string, nonce []byte) {
	w.Begin()
	w.Byte(HeadEOF)
	w.Text(plugin + "\x00")
	w.Text(string(nonce) + "\x00")
	w.End()
}

// ParseSwitchAuth parses a server's request for another authentication plugin.
func ParseSwitchAuth(payload []byte) (plugin string, nonce []byte, err error) {
	c := Cursor{B: payload}
	c.Byte()
	plugin = string(c.ZeroTerminated())
	return plugin, bytes.Clone(bytes.TrimSuffix(c.B, []byte{0})), c.Err
}
