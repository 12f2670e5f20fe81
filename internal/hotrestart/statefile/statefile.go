// Package statefile keeps the registers in a file that processes of the gateway write in turn.
//
// The file is JSON with a format, a version, a sequence number and a checksum. It is replaced whole, under a lock on
// a file beside it, after what stood in it was merged. A file that can't be used is set aside under the name Aside.
package statefile

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"cranegate/internal/hotrestart/state"
)

const (
	Name        = "cranegate-state.json"     // the file,
	InvalidName = "cranegate-state.json.bad" // one that could not be used; the last such one is kept
	next        = "cranegate-state.json.new" // and what is to replace it
	lock        = "cranegate-state.lock"

	MaxBytes = 1 << 20 // bytes of the file
	format   = "cranegate-state"
	version  = 1
)

// InvalidFileError says that the file was read, could not be used and what that means.
type InvalidFileError struct {
	Path  string // where it lies now
	Cause error
}

func (e *InvalidFileError) Error() string {
	return fmt.Sprintf("the state file can't be used (%v) and was set aside as %s: hosts taken out by hand and lameduck "+
		"are known from live processes alone; check the list of hosts that are out and call detach again where one is missing",
		e.Cause, e.Path)
}

func (e *InvalidFileError) Unwrap() error { return e.Cause }

// UnreadableFileError says that the file could not be read, which tells nothing of what it holds: it stays as it is.
type UnreadableFileError struct {
	Path  string
	Cause error
}

func (e *UnreadableFileError) Error() string {
	return fmt.Sprintf("the state file %s could not be read (%v) and was left as it is: hosts taken out by hand and lameduck are known "+
		"from live processes alone; mend what the system says, and call again where a call got a no", e.Path, e.Cause)
}

func (e *UnreadableFileError) Unwrap() error { return e.Cause }

// What is wrong with a file that was read; InvalidFileError wraps them.
var (
	ErrPartial = errors.New("torn, or not JSON of this format")
	ErrForeign = errors.New("of a version that this program does not know")
	ErrLarge   = errors.New("larger than 1 MiB")
)

type file struct {
	Format   string          `json:"format"`
	Version  int             `json:"version"`
	Sequence uint64          `json:"sequence"` // one more with each replacement
	SHA256   string          `json:"sha256"`   // of the text of State
	State    json.RawMessage `json:"state"`
}

// File is the file in one folder.
type File struct {
	dir  string
	turn chan struct{} // this process's own calls, one at a time
}

// In names the file in a folder. It touches nothing.
func In(dir string) *File { return &File{dir: dir, turn: make(chan struct{}, 1)} }

// Read returns what the file holds; a missing one is empty. With a *InvalidFileError the registers are empty, and the file has
// been set aside, unless the lock could not be had within ctx: then it still stands. Other errors, *UnreadableFileError among them, say
// nothing of what it holds.
func (f *File) Read(ctx context.Context) (state.Registers, error) {
	regs, _, err := f.load()
	var bad *InvalidFileError
	if !errors.As(err, &bad) {
		return regs, err
	}
	free, lockErr := f.lock(ctx)
	if lockErr != nil {
		return state.Registers{}, err
	}
	defer free()
	if regs, _, err = f.load(); errors.As(err, &bad) { // unless another process has replaced it meanwhile
		f.setAside(bad)
	}
	return regs, err
}

// Update merges regs into the file and returns what the file then holds. ctx bounds the wait for the lock. With a
// *InvalidFileError the update was made and what stood there before is set aside; with any other error nothing was changed.
func (f *File) Update(ctx context.Context, regs state.Registers) (state.Registers, error) {
	free, err := f.lock(ctx)
	if err != nil {
		return state.Registers{}, err
	}
	defer free()
	was, sequence, err := f.load()
	var bad *InvalidFileError
	if errors.As(err, &bad) {
		f.setAside(bad)
	} else if err != nil {
		return state.Registers{}, err
	}
	merged, mergeErr := was.Merge(regs)
	if mergeErr != nil {
		return state.Registers{}, mergeErr
	}
	merged = merged.Trim()
	if bad == nil && merged.Equal(was) { // also where there is no file yet, and nothing to say
		return merged, nil
	}
	if err := f.replace(merged, sequence+1); err != nil {
		return state.Registers{}, err
	}
	return merged, err
}

func (f *File) replace(regs state.Registers, sequence uint64) error {
	text, err := encode(regs, sequence)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, next)
	w, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	if err = errors.Join(err, w.Sync(), w.Close()); err != nil {
		return err
	}
	return os.Rename(path, filepath.Join(f.dir, Name))
}

// load gives empty registers and sequence 0 where there is no file.
func (f *File) load() (state.Registers, uint64, error) {
	path := filepath.Join(f.dir, Name)
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return state.Registers{}, 0, nil
	} else if err != nil {
		return state.Registers{}, 0, err
	}
	if !info.Mode().IsRegular() { // a pipe would block, a folder can't be replaced
		return state.Registers{}, 0, &InvalidFileError{path, fmt.Errorf("%w: not a regular file", ErrPartial)}
	}
	r, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) { // another process has just set it aside
		return state.Registers{}, 0, nil
	} else if err != nil {
		return state.Registers{}, 0, &UnreadableFileError{path, err}
	}
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return state.Registers{}, 0, &UnreadableFileError{path, err}
	}
	regs, sequence, err := decode(text)
	if err != nil {
		return state.Registers{}, 0, &InvalidFileError{path, err}
	}
	return regs, sequence, nil
}

func (f *File) setAside(bad *InvalidFileError) {
	to := filepath.Join(f.dir, InvalidName)
	if os.Rename(bad.Path, to) == nil {
		bad.Path = to
	}
}

func encode(regs state.Registers, sequence uint64) ([]byte, error) {
	body, err := json.Marshal(regs.Snapshot())
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(file{format, version, sequence, hex.EncodeToString(sum[:]), body})
	if err == nil && len(text) > MaxBytes {
		err = ErrLarge
	}
	return text, err
}

func decode(text []byte) (state.Registers, uint64, error) {
	if len(text) > MaxBytes {
		return state.Registers{}, 0, ErrLarge
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil || f.Format != format {
		return state.Registers{}, 0, ErrPartial
	}
	if f.Version != version {
		return state.Registers{}, 0, fmt.Errorf("%w: version %d", ErrForeign, f.Version)
	}
	if sum := sha256.Sum256(f.State); hex.EncodeToString(sum[:]) != f.SHA256 {
		return state.Registers{}, 0, fmt.Errorf("%w: the checksum does not match", ErrPartial)
	}
	var s state.Snapshot
	if err := json.Unmarshal(f.State, &s); err != nil {
		return state.Registers{}, 0, fmt.Errorf("%w: %w", ErrPartial, err)
	}
	regs, err := s.Registers()
	if err != nil {
		return state.Registers{}, 0, fmt.Errorf("%w: %w", ErrPartial, err)
	}
	return regs, max(f.Sequence, 1), nil
}
