package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"cranegate/internal/consensus/raftlog"
)

// MaxFileBytes limits the size of a file. It is many times the limits of the log and the snapshot together.
const MaxFileBytes = 256 << 20

// FileName is the name of the file in the folder that the operator configures.
const FileName = "council.db"

const (
	formatVersion = "cranegate council 1" // stored in the file
	lockTimeout   = time.Second           // how long Open waits for the file lock of another process
)

// Names of the buckets and keys in the file.
const (
	metaBucket    = "meta"
	entriesBucket = "log"

	formatKey    = "format"
	ownerKey     = "owner"
	hardStateKey = "hard"
	snapshotKey  = "snapshot"
)

// Every bbolt file carries the magic number 0xED0CDAED, little-endian, in its first and its second page.
var bboltMagic = []byte{0xed, 0xda, 0x0c, 0xed}

const (
	magicOffset = 16 // in a page
	minPages    = 4  // of a bbolt file
)

// Owner identifies the voter that a file belongs to. StartID is drawn at random when the file is created, and stored in it,
// so that a voter that has lost its file is a new voter (see quorum.Gateway.ID).
type Owner struct {
	Name      string
	ClusterID uint64 // as returned by raftlog.Bootstrap, the same for all voters
	StartID   uint64
}

// File is a Store in a bbolt file. It is not safe for concurrent use.
type File struct {
	db    *bbolt.DB
	owner Owner
	err   error // the first write error; nothing is written after it
}

var _ Store = (*File)(nil)

// Open opens the file in a folder, or creates it for the owner. The owner's StartID is used only for a new file; File.Owner
// returns the stored one. The error is ErrDamaged, ErrFull, ErrWrongOwner, ErrInUse or ErrUnusable.
func Open(folder string, owner Owner) (*File, error) { return openLimited(folder, owner, MaxFileBytes) }

// openLimited is Open with a size limit of the file.
func openLimited(folder string, owner Owner, maxBytes int) (f *File, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading beyond the end of a truncated file causes a memory fault
	defer recoverDamage(&err)
	path := filepath.Join(folder, FileName)
	if err := checkMagic(path); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, MaxSize: maxBytes}
	db, err := bbolt.Open(path, 0o600, options)
	if err != nil {
		return nil, classify(err)
	}
	f = &File{db: db, owner: owner}
	if err = f.ensureOwner(owner); err != nil {
		db.Close()
		return nil, classify(err)
	}
	return f, nil
}

// checkMagic returns ErrWrongOwner for a file that is not a bbolt file, and ErrDamaged for one that is too short, before
// bbolt maps it into memory. It accepts a missing or empty file.
func checkMagic(path string) error {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(content) == 0 {
		return nil
	}
	if err != nil {
		return classify(err)
	}
	pageBytes := os.Getpagesize()
	isBbolt := hasMagicAt(content, magicOffset) || hasMagicAt(content, pageBytes+magicOffset)
	if !isBbolt {
		return fmt.Errorf("%w: %s is not a bbolt file", ErrWrongOwner, path)
	}
	if len(content) < minPages*pageBytes {
		return fmt.Errorf("%w: only %d bytes", ErrDamaged, len(content))
	}
	return nil
}

func hasMagicAt(content []byte, offset int) bool {
	return len(content) >= offset && bytes.HasPrefix(content[offset:], bboltMagic)
}

// ensureOwner writes the owner into a new file, or checks the format and the owner of an existing one.
func (f *File) ensureOwner(owner Owner) (err error) {
	defer recoverDamage(&err)
	return f.db.Update(func(tx *bbolt.Tx) error {
		if stat, err := os.Stat(f.db.Path()); err != nil || stat.Size() < tx.Size() {
			return fmt.Errorf("%w: the file is shorter than its pages require", ErrDamaged)
		}
		meta, entries := tx.Bucket([]byte(metaBucket)), tx.Bucket([]byte(entriesBucket))
		if meta == nil && entries == nil {
			return initialize(tx, owner)
		}
		if meta == nil || entries == nil || string(meta.Get([]byte(formatKey))) != formatVersion {
			return fmt.Errorf("%w: unknown format", ErrWrongOwner)
		}
		start, err := checkOwner(meta, owner)
		if err != nil {
			return err
		}
		f.owner.StartID = start
		return nil
	})
}

// initialize creates the buckets of a new file and writes its format and owner.
func initialize(tx *bbolt.Tx, owner Owner) error {
	if key, _ := tx.Cursor().First(); key != nil {
		return fmt.Errorf("%w: a bbolt file without the buckets of the consensus store", ErrWrongOwner)
	}
	meta, err := tx.CreateBucket([]byte(metaBucket))
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket([]byte(entriesBucket)); err != nil {
		return err
	}
	return errors.Join(meta.Put([]byte(formatKey), []byte(formatVersion)), putChecked(meta, ownerKey, encodeOwner(owner)))
}

// encodeOwner encodes an owner as ClusterID and StartID, 8 bytes each, big-endian, followed by the name.
func encodeOwner(owner Owner) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, owner.ClusterID)
	encoded = binary.BigEndian.AppendUint64(encoded, owner.StartID)
	return append(encoded, owner.Name...)
}

// checkOwner compares the stored owner with the expected one, and returns the stored StartID.
func checkOwner(meta *bbolt.Bucket, owner Owner) (start uint64, err error) {
	stored, err := getChecked(meta, ownerKey)
	if err != nil || len(stored) < 16 {
		return 0, fmt.Errorf("%w: the stored owner", ErrDamaged)
	}
	clusterID, start, name := stored[:8], binary.BigEndian.Uint64(stored[8:]), string(stored[16:])
	if binary.BigEndian.Uint64(clusterID) != owner.ClusterID || name != owner.Name {
		return 0, fmt.Errorf("%w: it belongs to gateway %q in cluster %x", ErrWrongOwner, name, clusterID)
	}
	return start, nil
}

// Owner returns the owner, with the StartID that is stored in the file.
func (f *File) Owner() Owner { return f.owner }

// Close closes the file.
func (f *File) Close() error { return classify(f.db.Close()) }

// Save writes an update and syncs the file. After an error the content of the disk is unknown; Save then writes nothing
// more and returns the same error each time.
func (f *File) Save(update raftlog.Update) (err error) {
	if f.err != nil {
		return f.err
	}
	if !update.MustSync && update.Snapshot == nil && len(update.Entries) == 0 {
		return nil // only the commit index changed; the leader sends it again
	}
	defer func() { f.err = err }()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	return classify(f.db.Update(func(tx *bbolt.Tx) error { return write(tx, update) }))
}
