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
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

// MaxFile is the most bytes of a file: the log's and the snapshot's bounds many times over.
const MaxFile = 256 << 20

// FileName is the file in the operator's folder.
const FileName = "council.db"

const (
	format   = "cranegate council 1"
	lockWait = time.Second
)

// The errors say what the operator can do.
var (
	// ErrTorn says that the file is damaged. Move it away: the gateway then comes in as a new voter, and the council replaces
	// the old one. Never put back an older copy, whose votes are forgotten ones.
	ErrTorn = errors.New("council: the file is damaged; move it away and start again, as a new voter; never put back an older copy")
	// ErrFull says that there is no room on the disk, or that the file has come to MaxFile. Make room, or move a file of that size
	// away (the gateway is a new voter then), and start again; nothing that was promised is lost.
	ErrFull = errors.New("council: no room on the disk or in the file; make room and start again")
	// ErrMisdirected says that the file is none of the council's, or another gateway's or another founding's. Name another folder.
	ErrForeign = errors.New("council: the file belongs to something else; name another folder")
	// ErrInUse says that another process has the file open. End it, or name another folder.
	ErrInUse = errors.New("council: another process has the file open; end it or name another folder")
	// ErrDisk says that the disk failed otherwise, or that the folder can't be written. The text tells more.
	ErrDisk = errors.New("council: the folder can't be read or written; look at its rights and at the disk")
)

// Owner is whose file it is. Start is drawn at random when the file is made and kept in it, so that a voter that lost its file
// is another voter (voters.Gateway.ID).
type Owner struct {
	Name    string
	Council uint64 // order.Found, the same for all
	Start   uint64
}

// File is a store in a bbolt file. One goroutine uses it.
type File struct {
	db    *bbolt.DB
	owner Owner
	err   error // the first that came: nothing is written after it
}

var metaBucket, logBucket = []byte("meta"), []byte("log")

// Open opens the file in a folder, or makes it for the owner. The owner's Start counts for a new file alone; Owner tells
// the one that holds.
func Open(folder string, owner Owner) (*File, error) { return open(folder, owner, MaxFile) }

func open(folder string, owner Owner, most int) (f *File, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file that is shorter than its own pages say
	defer guard(&err)
	path := filepath.Join(folder, FileName)
	if err := sniff(path); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType, MaxSize: most})
	if err != nil {
		return nil, typed(err)
	}
	f = &File{db: db, owner: owner}
	if err = f.own(owner); err != nil {
		db.Close()
		return nil, typed(err)
	}
	return f, nil
}

// sniff refuses what is no bbolt file before bbolt maps it: its magic number stands at byte 16 of the first or second page.
func sniff(path string) error {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(b) == 0 {
		return nil
	}
	if err != nil {
		return typed(err)
	}
	magic := []byte{0xed, 0xda, 0x0c, 0xed} // 0xED0CDAED, little-endian
	page := os.Getpagesize()
	for _, at := range []int{16, page + 16} {
		if len(b) >= at+4 && bytes.Equal(b[at:at+4], magic) {
			if len(b) < 4*page {
				return fmt.Errorf("%w: %d bytes", ErrTorn, len(b))
			}
			return nil
		}
	}
	return fmt.Errorf("%w: %s is no bbolt file", ErrForeign, path)
}

func (f *File) own(owner Owner) (err error) {
	defer guard(&err)
	return f.db.Update(func(tx *bbolt.Tx) error {
		if st, err := os.Stat(f.db.Path()); err != nil || st.Size() < tx.Size() {
			return fmt.Errorf("%w: shorter than its pages", ErrTorn)
		}
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil && log == nil {
			if k, _ := tx.Cursor().First(); k != nil {
				return fmt.Errorf("%w: no bucket of the council's", ErrForeign)
			}
			meta, err := tx.CreateBucket(metaBucket)
			if err != nil {
				return err
			}
			if _, err := tx.CreateBucket(logBucket); err != nil {
				return err
			}
			b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, owner.Council), owner.Start)
			return errors.Join(meta.Put([]byte("format"), []byte(format)), put(meta, "owner", append(b, owner.Name...)))
		}
		if meta == nil || log == nil || string(meta.Get([]byte("format"))) != format {
			return fmt.Errorf("%w: another format", ErrForeign)
		}
		b, err := get(meta, "owner")
		if err != nil || len(b) < 16 {
			return fmt.Errorf("%w: owner", ErrTorn)
		}
		if binary.BigEndian.Uint64(b) != owner.Council || string(b[16:]) != owner.Name {
			return fmt.Errorf("%w: of gateway %q, council %x", ErrForeign, b[16:], b[:8])
		}
		f.owner.Start = binary.BigEndian.Uint64(b[8:])
		return nil
	})
}

// Owner is whose file it is, with the start that holds.
func (f *File) Owner() Owner { return f.owner }

// Close closes the file.
func (f *File) Close() error { return typed(f.db.Close()) }

// Save writes a change and waits for the disk. After an error nothing more is written: what the disk holds is unknown then.
func (f *File) Save(s raftlog.Update) (err error) {
	if f.err != nil {
		return f.err
	}
	if !s.MustSync && s.Snapshot == nil && len(s.Entries) == 0 {
		return nil // how far the council has got, which the leader tells again
	}
	defer func() { f.err = err }()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer guard(&err)
	return typed(f.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if s.HardState != nil {
			if err := putProto(meta, "hard", s.HardState); err != nil {
				return err
			}
		}
		if s.Snapshot != nil {
			if err := putProto(meta, "snapshot", s.Snapshot); err != nil {
				return err
			}
		}
		if s.Snapshot != nil && !s.Compacted {
			if err := drop(log, func(uint64) bool { return true }); err != nil {
				return err
			}
		}
		if len(s.Entries) > 0 {
			first := s.Entries[0].GetIndex()
			if err := drop(log, func(i uint64) bool { return i >= first }); err != nil {
				return err
			}
			for _, e := range s.Entries {
				if err := putProto(log, string(binary.BigEndian.AppendUint64(nil, e.GetIndex())), e); err != nil {
					return err
				}
			}
		}
		if s.Compacted {
			return drop(log, func(i uint64) bool { return i <= s.Snapshot.GetMetadata().GetIndex() })
		}
		return nil
	}))
}

// Load reads all, and checks that every text is whole and that no entry is missing.
func (f *File) Load() (img raftlog.PersistedState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer guard(&err)
	err = f.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		next := uint64(1)
		if meta.Get([]byte("hard")) != nil {
			img.HardState = &pb.HardState{}
			if err := getProto(meta, "hard", img.HardState); err != nil {
				return err
			}
		}
		if meta.Get([]byte("snapshot")) != nil {
			img.Snapshot = &pb.Snapshot{}
			if err := getProto(meta, "snapshot", img.Snapshot); err != nil {
				return err
			}
			next = img.Snapshot.GetMetadata().GetIndex() + 1
		}
		err := tx.Bucket(logBucket).ForEach(func(k, _ []byte) error {
			e := &pb.Entry{}
			if err := getProto(tx.Bucket(logBucket), string(k), e); err != nil {
				return err
			}
			if e.GetIndex() != next || binary.BigEndian.Uint64(k) != next {
				return fmt.Errorf("%w: entry %d where %d should be", ErrTorn, e.GetIndex(), next)
			}
			next++
			img.Entries = append(img.Entries, e)
			return nil
		})
		if err == nil && img.HardState.GetCommit() >= next {
			return fmt.Errorf("%w: committed up to %d, kept up to %d", ErrTorn, img.HardState.GetCommit(), next-1)
		}
		return err
	})
	if err != nil {
		return raftlog.PersistedState{}, typed(err)
	}
	return img, nil
}
