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

// Keys are those that members share. The first seals; what any of them sealed is opened. Without one nothing is sealed,
// and nothing sealed is taken.
type Keys [][]byte

const (
	keyBytes  = 32
	mostKeys  = 2 // the one in use, and another while it is replaced
	sealed    = 2 // the first byte of what is sealed; what is not begins with that of members' own encoding
	saltBytes = 16
	headBytes = 1 + saltBytes + 8 // with the salt and the count
)

// Both are within what members leave free.
const _ = uint(membership.Overhead - headBytes - 16)

var errSeal = errors.New("peers: not sealed with a key of this fleet")

// ReadKeys reads a file of keys: one or two lines of 64 hexadecimal digits, the first of which seals. What follows # is
// passed over.
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
		if err != nil || len(key) != keyBytes { // the error would show the key
			return nil, fmt.Errorf("reading the keys of the fleet: line %d is not %d hexadecimal digits", i+1, 2*keyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, fmt.Errorf("reading the keys of the fleet: there are %d, and 1 or %d may be", len(keys), mostKeys)
	}
	return keys, nil
}

// sealer seals and opens with AES-256-GCM. Each start seals with keys of its own, which follow from the shared key, a
// random salt that every message names, and the fleet's name: so a plain count serves as the nonce and never repeats, and
// what another fleet sealed does not open. All calls are safe from any goroutine.
type sealer struct {
	fleet string
	salt  [saltBytes]byte
	count atomic.Uint64
	keys  atomic.Pointer[keySet]
}

type keySet struct {
	shared Keys
	own    cipher.AEAD // nil: nothing is sealed

	mu     sync.Mutex
	others map[[saltBytes]byte]cipher.AEAD // of starts whose words have opened: strangers take no room
}

// mostOthers bounds the keys of others that are kept: those of the largest fleet. Past it all are derived anew.
const mostOthers = 1024

// known is the key of another start, if it is kept.
func (k *keySet) known(salt [saltBytes]byte) cipher.AEAD {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.others[salt]
}

func (k *keySet) keep(salt [saltBytes]byte, aead cipher.AEAD) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.others) >= mostOthers {
		clear(k.others)
	}
	k.others[salt] = aead
}

func newSealer(fleet string, keys Keys) (*sealer, error) {
	s := &sealer{fleet: fleet}
	rand.Read(s.salt[:]) // never fails
	return s, s.replace(keys)
}

// replace takes other keys.
func (s *sealer) replace(keys Keys) error {
	set := &keySet{shared: keys, others: map[[saltBytes]byte]cipher.AEAD{}}
	if len(keys) > 0 {
		var err error
		if set.own, err = s.derive(keys[0], s.salt[:]); err != nil {
			return err
		}
	}
	s.keys.Store(set)
	return nil
}

// derive makes the key of one start.
func (s *sealer) derive(shared, salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, shared, salt, "cranegate members, fleet "+s.fleet, keyBytes)
	if err != nil {
		return nil, fmt.Errorf("peers: deriving a key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("peers: deriving a key: %w", err)
	}
	return cipher.NewGCM(block)
}

// seal puts a seal around a message.
func (s *sealer) seal(b []byte) []byte {
	set := s.keys.Load()
	if set.own == nil {
		return b
	}
	out := make([]byte, headBytes, headBytes+len(b)+set.own.Overhead())
	out[0] = sealed
	copy(out[1:], s.salt[:])
	binary.BigEndian.PutUint64(out[1+saltBytes:], s.count.Add(1))
	return set.own.Seal(out, nonce(out), b, out[:headBytes])
}

// open takes a seal off.
func (s *sealer) open(b []byte) ([]byte, error) {
	set := s.keys.Load()
	if set.own == nil {
		if len(b) > 0 && b[0] == sealed {
			return nil, errSeal
		}
		return b, nil
	}
	if len(b) < headBytes || b[0] != sealed {
		return nil, errSeal
	}
	salt := [saltBytes]byte(b[1:])
	if salt == s.salt {
		return nil, errSeal // our own words come back
	}
	if aead := set.known(salt); aead != nil {
		if text, err := aead.Open(nil, nonce(b), b[headBytes:], b[:headBytes]); err == nil {
			return text, nil
		}
	}
	for _, shared := range set.shared { // it may have gone over to the other key
		aead, err := s.derive(shared, salt[:])
		if err != nil {
			return nil, err
		}
		if text, err := aead.Open(nil, nonce(b), b[headBytes:], b[:headBytes]); err == nil {
			set.keep(salt, aead)
			return text, nil
		}
	}
	return nil, errSeal
}

// nonce is the count, filled up to the nonce's 12 bytes.
func nonce(b []byte) []byte {
	var n [12]byte
	copy(n[4:], b[1+saltBytes:headBytes])
	return n[:]
}
