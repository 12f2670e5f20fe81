package gossip

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"cranegate/internal/membership"
)

// Keys are the keys that the members of a fleet share. The first seals messages; messages sealed with any of them are
// accepted. Without keys nothing is sealed, and sealed messages are rejected.
type Keys [][]byte

const (
	keyBytes      = 32
	maxKeys       = 2 // the key in use, and a second one during a rotation
	sealedVersion = 2 // first byte of a sealed message; unsealed ones begin with the version of membership's encoding
	saltBytes     = 16
	headerBytes   = 1 + saltBytes + 8 // version, salt and message count
)

// Fails to compile unless the header and the authentication tag (16 bytes) fit into SealOverhead.
const _ = uint(membership.SealOverhead - headerBytes - 16)

var errNotSealed = errors.New("gossip: not sealed with a key of this fleet")

// ReadKeys reads a key file: one or two lines of 64 hexadecimal digits. The first key seals. Text after # is ignored.
// Errors never contain a key.
func ReadKeys(path string) (Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the keys of the fleet: %w", err)
	}
	var keys Keys
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != keyBytes { // err would reveal a part of the key
			return nil, fmt.Errorf("reading the keys of the fleet: line %d is not %d hexadecimal digits", i+1, 2*keyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("reading the keys of the fleet: the file has %d keys, but 1 to %d are allowed", len(keys), maxKeys)
	}
	return keys, nil
}

// sealer encrypts and authenticates messages with AES-256-GCM. At each start, a process derives its own key from the
// shared key, a random salt that every message carries, and the fleet's name. Because each start has another key, the
// message count can serve as the nonce: it never repeats under one key. Because the key depends on the fleet's name,
// messages of another fleet can't be decrypted. A sealer is safe for concurrent use.
type sealer struct {
	fleet string
	salt  [saltBytes]byte
	count atomic.Uint64
	keys  atomic.Pointer[keySet]
}

// keySet holds the shared keys and the keys derived from them.
type keySet struct {
	shared Keys
	own    cipher.AEAD // nil if nothing is sealed

	mu       sync.Mutex
	peerKeys map[[saltBytes]byte]cipher.AEAD // by salt; only of senders of whom a message was decrypted
}

// maxPeerKeys bounds the number of cached keys of other members: one for each member of the largest fleet. A full cache is
// cleared before the next key is added.
const maxPeerKeys = 1024

// peerKey returns the cached key of another sender, or nil.
func (k *keySet) peerKey(salt [saltBytes]byte) cipher.AEAD {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peerKeys[salt]
}

// addPeerKey caches the key of another sender.
func (k *keySet) addPeerKey(salt [saltBytes]byte, aead cipher.AEAD) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.peerKeys) >= maxPeerKeys {
		clear(k.peerKeys)
	}
	k.peerKeys[salt] = aead
}

// newSealer returns a sealer with a new salt.
func newSealer(fleet string, keys Keys) (*sealer, error) {
	s := &sealer{fleet: fleet}
	rand.Read(s.salt[:]) // never fails
	return s, s.replace(keys)
}

// replace replaces the shared keys.
func (s *sealer) replace(keys Keys) error {
	set := &keySet{shared: keys, peerKeys: map[[saltBytes]byte]cipher.AEAD{}}
	if len(keys) > 0 {
		var err error
		if set.own, err = s.derive(keys[0], s.salt[:]); err != nil {
			return err
		}
	}
	s.keys.Store(set)
	return nil
}

// derive returns the cipher of the sender with this salt.
func (s *sealer) derive(shared, salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, shared, salt, "cranegate members, fleet "+s.fleet, keyBytes)
	if err != nil {
		return nil, fmt.Errorf("gossip: deriving a key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("gossip: deriving a key: %w", err)
	}
	return cipher.NewGCM(block)
}

// seal encrypts a message; without keys it returns it unchanged.
func (s *sealer) seal(message []byte) []byte {
	set := s.keys.Load()
	if set.own == nil {
		return message
	}
	out := make([]byte, headerBytes, headerBytes+len(message)+set.own.Overhead())
	out[0] = sealedVersion
	copy(out[1:], s.salt[:])
	binary.BigEndian.PutUint64(out[1+saltBytes:], s.count.Add(1))
	return set.own.Seal(out, nonce(out), message, out[:headerBytes])
}

// open decrypts a message. It returns errNotSealed if the message is not sealed with a key of this fleet, or if this sealer
// sealed it itself.
func (s *sealer) open(message []byte) ([]byte, error) {
	set := s.keys.Load()
	if set.own == nil {
		if len(message) > 0 && message[0] == sealedVersion {
			return nil, errNotSealed
		}
		return message, nil
	}
	if len(message) < headerBytes || message[0] != sealedVersion {
		return nil, errNotSealed
	}
	salt := [saltBytes]byte(message[1:])
	if salt == s.salt {
		return nil, errNotSealed // this sealer's own message, sent back to it
	}
	if aead := set.peerKey(salt); aead != nil {
		if text, err := aead.Open(nil, nonce(message), message[headerBytes:], message[:headerBytes]); err == nil {
			return text, nil
		}
	}
	for _, shared := range set.shared { // the sender may have switched to the other key
		aead, err := s.derive(shared, salt[:])
		if err != nil {
			return nil, err
		}
		if text, err := aead.Open(nil, nonce(message), message[headerBytes:], message[:headerBytes]); err == nil {
			set.addPeerKey(salt, aead)
			return text, nil
		}
	}
	return nil, errNotSealed
}

// nonce returns the message count, padded to the nonce's 12 bytes.
func nonce(sealed []byte) []byte {
	var n [12]byte
	copy(n[4:], sealed[1+saltBytes:headerBytes])
	return n[:]
}
