// Package statefile keeps the registers in a file that processes of the gateway write in turn.
//
// The file is JSON with a format, a version, a sequence number and a checksum. It is replaced atomically, under a lock on
// a file beside it, after its content was merged. A file that is invalid is renamed to InvalidName.
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
	// Name is the file's name.
	Name = "cranegate-state.json"
	// InvalidName is the name of the last file that was invalid.
	InvalidName = "cranegate-state.json.bad"
	// MaxBytes bounds the file.
	MaxBytes = 1 << 20

	replacementName = "cranegate-state.json.new" // the next file, until it is complete
	lockName        = "cranegate-state.lock"

	format  = "cranegate-state"
	version = 1
)

// InvalidFileError reports that the file was read and is invalid, and what that means to operators.
type InvalidFileError struct {
	Path  string // where the file is now
	Cause error
}

// Error says what is not known, and what to do.
func (e *InvalidFileError) Error() string {
	return fmt.Sprintf("the state file can't be used (%v) and was set aside as %s: hosts taken out by hand and lameduck "+
		"are known from live processes alone; check the list of hosts that are out and call detach again where one is missing",
		e.Cause, e.Path)
}

// Unwrap returns the cause.
func (e *InvalidFileError) Unwrap() error { return e.Cause }

// UnreadableFileError reports that the file could not be read. Its content is unknown, so it stays as it is.
type UnreadableFileError struct {
	Path  string
	Cause error
}

// Error says what is not known, and what to do.
func (e *UnreadableFileError) Error() string {
	return fmt.Sprintf("the state file %s could not be read (%v) and was left as it is: hosts taken out by hand and lameduck are known "+
		"from live processes alone; mend what the system says, and call again where a call got a no", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableFileError) Unwrap() error { return e.Cause }

// Causes of an InvalidFileError.
var (
	ErrCorrupt        = errors.New("torn, or not JSON of this format")
	ErrUnknownVersion = errors.New("of a version that this program does not know")
	ErrTooLarge       = errors.New("larger than 1 MiB")
)

// fileContent is the form of the file, which processes of other versions read and write.
type fileContent struct {
	Format   string          `json:"format"`
	Version  int             `json:"version"`
	Sequence uint64          `json:"sequence"` // incremented by each replacement
	SHA256   string          `json:"sha256"`   // hexadecimal, of the bytes of State
	State    json.RawMessage `json:"state"`
}

// File is the file in one folder.
type File struct {
	dir       string
	semaphore chan struct{} // of capacity 1: serializes the calls of this process
}

// New returns the File of a folder. It does not access it.
func New(dir string) *File { return &File{dir: dir, semaphore: make(chan struct{}, 1)} }

// Read returns what the file holds; a missing one is empty. With an *InvalidFileError the registers are empty, and the file has
// been renamed to InvalidName, unless the lock could not be had within ctx: then it is still in place. Other errors,
// *UnreadableFileError among them, say nothing of its content.
func (f *File) Read(ctx context.Context) (state.Registers, error) {
	registers, _, err := f.load()
	var invalid *InvalidFileError
	if !errors.As(err, &invalid) {
		return registers, err
	}
	unlock, lockErr := f.lock(ctx)
	if lockErr != nil {
		return state.Registers{}, err
	}
	defer unlock()
	registers, _, err = f.load()
	if errors.As(err, &invalid) { // unless another process has replaced it meanwhile
		f.quarantine(invalid)
	}
	return registers, err
}

// Update merges registers into the file and returns what the file then holds. ctx bounds the wait for the lock. With an
// *InvalidFileError the update was made, and the previous file was renamed to InvalidName; with any other error nothing was changed.
func (f *File) Update(ctx context.Context, registers state.Registers) (state.Registers, error) {
	unlock, err := f.lock(ctx)
	if err != nil {
		return state.Registers{}, err
	}
	defer unlock()
	stored, sequence, loadErr := f.load()
	var invalid *InvalidFileError
	if errors.As(loadErr, &invalid) {
		f.quarantine(invalid)
	} else if loadErr != nil {
		return state.Registers{}, loadErr
	}
	merged, err := stored.Merge(registers)
	if err != nil {
		return state.Registers{}, err
	}
	merged = merged.Trim()
	if invalid == nil && merged.Equal(stored) { // also where there is no file yet, and nothing to store
		return merged, nil
	}
	if err := f.replace(merged, sequence+1); err != nil {
		return state.Registers{}, err
	}
	return merged, loadErr
}

// replace writes a new file and puts it in the place of the present one.
func (f *File) replace(registers state.Registers, sequence uint64) error {
	text, err := encode(registers, sequence)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, replacementName)
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

// load reads the file. A missing one gives empty registers and sequence 0.
func (f *File) load() (state.Registers, uint64, error) {
	path := filepath.Join(f.dir, Name)
	text, err := readFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return state.Registers{}, 0, nil
	}
	if err != nil {
		return state.Registers{}, 0, err
	}
	regs, sequence, err := decode(text)
	if err != nil {
		return state.Registers{}, 0, &InvalidFileError{path, err}
	}
	return regs, sequence, nil
}

// readFile reads a file, or MaxBytes+1 bytes of a larger one. Errors: fs.ErrNotExist, also where another process has just renamed it,
// *InvalidFileError, *UnreadableFileError, and others of the system.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() { // a pipe would block, a folder can't be replaced
		return nil, &InvalidFileError{path, fmt.Errorf("%w: not a regular file", ErrCorrupt)}
	}
	r, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err != nil {
		return nil, &UnreadableFileError{path, err}
	}
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, &UnreadableFileError{path, err}
	}
	return text, nil
}

// quarantine renames an invalid file to InvalidName.
func (f *File) quarantine(invalid *InvalidFileError) {
	path := filepath.Join(f.dir, InvalidName)
	if os.Rename(invalid.Path, path) == nil {
		invalid.Path = path
	}
}

// encode returns the content of a file. It fails with ErrTooLarge.
func encode(registers state.Registers, sequence uint64) ([]byte, error) {
	body, err := json.Marshal(registers.Snapshot())
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(fileContent{format, version, sequence, hex.EncodeToString(sum[:]), body})
	if err == nil && len(text) > MaxBytes {
		err = ErrTooLarge
	}
	return text, err
}

// decode returns the registers and sequence number of a file's content. Errors: the causes of InvalidFileError.
func decode(text []byte) (state.Registers, uint64, error) {
	if len(text) > MaxBytes {
		return state.Registers{}, 0, ErrTooLarge
	}
	var content fileContent
	if err := json.Unmarshal(text, &content); err != nil || content.Format != format {
		return state.Registers{}, 0, ErrCorrupt
	}
	if content.Version != version {
		return state.Registers{}, 0, fmt.Errorf("%w: version %d", ErrUnknownVersion, content.Version)
	}
	if sum := sha256.Sum256(content.State); hex.EncodeToString(sum[:]) != content.SHA256 {
		return state.Registers{}, 0, fmt.Errorf("%w: the checksum does not match", ErrCorrupt)
	}
	var snapshot state.Snapshot
	if err := json.Unmarshal(content.State, &snapshot); err != nil {
		return state.Registers{}, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	regs, err := snapshot.Registers()
	if err != nil {
		return state.Registers{}, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return regs, max(content.Sequence, 1), nil
}
