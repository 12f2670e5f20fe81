package mysqlwire

import (
	"crypto/sha1"
	"crypto/sha256"
	"hash"
)

// The ways to log in that the gateway knows.
const (
	NativePassword      = "mysql_native_password"
	CachingSHA2Password = "caching_sha2_password"
)

// The second byte of a packet with more about a login (MoreAuth).
const (
	MoreAuth = 0x01
	FastAuth = 0x03 // the password was right
	FullAuth = 0x04 // it is wanted in the clear, which needs an encrypted connection
)

// Scramble answers a server's challenge with a password, without telling it. It returns nil for an empty password
// and for a way to log in that it does not know.
func Scramble(plugin, password string, nonce []byte) []byte {
	if password == "" {
		return nil
	}
	switch plugin {
	case NativePassword: // SHA1(password) XOR SHA1(nonce + SHA1(SHA1(password)))
		once := digest(sha1.New(), []byte(password))
		return xor(once, digest(sha1.New(), nonce, digest(sha1.New(), once)))
	case CachingSHA2Password: // SHA256(password) XOR SHA256(SHA256(SHA256(password)) + nonce)
		once := digest(sha256.New(), []byte(password))
		return xor(once, digest(sha256.New(), digest(sha256.New(), once), nonce))
	}
	return nil
}

func digest(h hash.Hash, parts ...[]byte) []byte {
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func xor(a, b []byte) []byte {
	for i := range a {
		a[i] ^= b[i]
	}
	return a
}

// SwitchAuth writes a server's wish to log in another way.
func (w *Writer) SwitchAuth(plugin string, nonce []byte) {
	w.Begin()
	w.Byte(HeadEOF)
	w.Text(plugin + "\x00")
	w.Text(string(nonce) + "\x00")
	w.End()
}

// ParseSwitchAuth reads it.
func ParseSwitchAuth(payload []byte) (plugin string, nonce []byte, err error) {
	c := Cursor{B: payload}
	c.Byte()
	plugin = string(c.Zero())
	if nonce = c.B; len(nonce) > 0 && nonce[len(nonce)-1] == 0 {
		nonce = nonce[:len(nonce)-1]
	}
	return plugin, append([]byte(nil), nonce...), c.Err
}
