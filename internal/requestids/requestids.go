// Package requestids records the ids of requests that may run once, so that none runs a second time when its id comes again: after
// its client has disconnected, or at another process of the gateway during a hot restart. The processes share the ids in a file that
// each of them maps into its memory.
//
// The set has a fixed size. An id is kept for Retention, or less if many newer ones come: an id that is dropped early is the oldest of
// the slots at its place.
package requestids

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Retention is how long an id is kept.
const Retention = 10 * time.Minute

const (
	slotCount   = 1 << 16
	slotBytes   = 8
	windowSlots = 16 // slots in which an id may be
	secondsBits = 24 // of a slot: when the id was claimed; the other bits are of the id's hash
	secondsMask = 1<<secondsBits - 1

	fileName = "request-ids-1" // ends in the version of the format
	fileMode = 0o600

	retentionSeconds = uint64(Retention / time.Second)
)

// Set is a set of ids. All methods are safe for concurrent use, by several processes too.
type Set struct {
	slots []atomic.Uint64 // 0: free
	now   func() time.Time
}

// New returns a set of this process alone.
func New() *Set { return newSet(make([]atomic.Uint64, slotCount)) }

// Open returns the set that all processes share whose folder this is. The file stays when they end.
func Open(folder string) (*Set, error) {
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("opening the ids of requests: %w", err)
	}
	defer file.Close()
	if err := unix.Fallocate(int(file.Fd()), 0, 0, slotCount*slotBytes); err != nil { // a write to a hole on a full disk would be fatal
		return nil, fmt.Errorf("allocating the ids of requests: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, slotCount*slotBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("mapping the ids of requests: %w", err)
	}
	return newSet(unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapped[0])), slotCount)), nil
}

func newSet(slots []atomic.Uint64) *Set { return &Set{slots: slots, now: time.Now} }

// Claim adds an id and returns true, or returns false if the set has it. Of several concurrent calls for one id, one at most returns
// true.
func (s *Set) Claim(id string) bool {
	window, tag := s.locate(id)
	seconds := uint64(s.now().Unix()) & secondsMask
	entry := tag | seconds
	for {
		found, slot, previous := search(window, tag, seconds)
		if found > 0 {
			return false
		}
		if slot.CompareAndSwap(previous, entry) {
			break
		}
	}
	// A concurrent call may have used another slot, as another slot was free or the oldest when it searched.
	found, _, _ := search(window, tag, seconds)
	return found <= 1
}

// Release removes an id whose request has certainly not run.
func (s *Set) Release(id string) {
	window, tag := s.locate(id)
	for i := range window {
		if entry := window[i].Load(); entry != 0 && entry&^secondsMask == tag {
			window[i].CompareAndSwap(entry, 0)
		}
	}
}

// locate returns the slots in which an id may be, and the part of its hash that they hold.
func (s *Set) locate(id string) (window []atomic.Uint64, tag uint64) {
	hash := sha256.Sum256([]byte(id))
	first := binary.LittleEndian.Uint64(hash[8:]) % uint64(len(s.slots)-windowSlots+1)
	tag = binary.LittleEndian.Uint64(hash[:]) &^ secondsMask
	return s.slots[first : first+windowSlots], tag
}

// search returns in how many slots an id is, and the slot to use next with its content: a free one or else the oldest.
func search(window []atomic.Uint64, tag, seconds uint64) (found int, slot *atomic.Uint64, content uint64) {
	greatestAge := uint64(0)
	for i := range window {
		entry := window[i].Load()
		age := (seconds - entry) & secondsMask
		if entry == 0 {
			age = secondsMask
		} else if entry&^secondsMask == tag && age <= retentionSeconds {
			found++
		}
		if slot == nil || age > greatestAge {
			slot, content, greatestAge = &window[i], entry, age
		}
	}
	return found, slot, content
}
