// Package statefile stores the registers in a file that all processes of the gateway read and update. The registers record which hosts
// are detached by hand, and whether the gateway is in lameduck.
//
// The file is JSON with a format, a version, a sequence number and a checksum. An update merges registers into the content and
// replaces the file atomically, while it holds a lock on a separate file. An invalid file, or one of
// another version of the format, is renamed to InvalidName.
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
	// Name is the name of the state file.
	Name = "cranegate-state.json"
	// InvalidName is the name to which an invalid file is renamed, in place of an earlier one.
	InvalidName = "cranegate-state.json.bad"
	// MaxBytes bounds the size of the file.
	MaxBytes = 1 << 20

	replacementName = "cranegate-state.json.new" // the next version of the file, until it is complete
	lockName        = "cranegate-state.lock"

	format  = "cranegate-state"
	version = 1
)

// InvalidFileError reports that the file has invalid content or is not a regular file. Its text is for operators.
type InvalidFileError struct {
	Path  string // where the file is now
	Cause error
}

// Error describes the consequences and the remedy.
func (e *InvalidFileError) Error() string {
	return fmt.Sprintf("the state file is invalid (%v) and is now at %s: detached hosts and lameduck "+
		"are known only from live processes; check the list of detached hosts, and call detach again for each that is missing",
		e.Cause, e.Path)
}

// Unwrap returns the cause.
func (e *InvalidFileError) Unwrap() error { return e.Cause }

// UnreadableFileError reports that the file could not be read. Its content is unknown, so it is not changed.
type UnreadableFileError struct {
	Path  string
	Cause error
}

// Error describes the consequences and the remedy.
func (e *UnreadableFileError) Error() string {
	return fmt.Sprintf("the state file %s could not be read (%v) and was left as it is: hosts taken out by hand and lameduck are known "+
		"from live processes alone; mend what the system says, and call again where a call got a no", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableFileError) Unwrap() error { return e.Cause }

// Causes of an InvalidFileError. Update also returns ErrTooLarge if the registers to write are too large.
var (
	ErrCorrupt        = errors.New("incomplete, or not JSON of this format")
	ErrUnknownVersion = errors.New("of a version that this program does not support")
	ErrTooLarge       = errors.New("larger than 1 MiB")
)

// fileContent is the JSON form of the file. Processes of other versions of the program read and write it too. A file with another
// Version of the format is rejected as invalid.
type fileContent struct {
	Format   string          `json:"format"`
	Version  int             `json:"version"`
	Sequence uint64          `json:"sequence"` // incremented by each replacement
	SHA256   string          `json:"sha256"`   // hexadecimal, of the bytes of State
	State    json.RawMessage `json:"state"`
}

// File is the state file in one folder.
type File struct {
	dir       string
	semaphore chan struct{} // of capacity 1: serializes the calls of this process
}

// New returns the File of a folder. It does not access the folder.
func New(dir string) *File { return &File{dir: dir, semaphore: make(chan struct{}, 1)} }

// Read returns the registers in the file; they are empty if there is no file. With an *InvalidFileError they are empty too, and
// the file has been renamed to InvalidName. It is still in place if the lock could not be acquired before ctx ended, or if the
// rename failed. After any other error, such as an *UnreadableFileError, the content of the file is unknown.
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
	if errors.As(err, &invalid) { // false if another process has replaced the file meanwhile
		f.quarantine(invalid)
	}
	return registers, err
}

// Update merges registers into the file and returns the merged registers. ctx bounds the wait for the lock. With an
// *InvalidFileError the update was written, and the previous file was renamed to InvalidName, or overwritten if that rename failed.
// With any other error the update was not written.
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
	if invalid == nil && merged.Equal(stored) { // also if there is no file yet and nothing to store
		return merged, nil
	}
	if err := f.replace(merged, sequence+1); err != nil {
		return state.Registers{}, err
	}
	return merged, loadErr
}

// replace writes a new file and renames it to Name, which replaces the current file atomically.
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

// load reads the file. If there is no file, it returns empty registers and sequence number 0.
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

// readFile reads a file, but at most MaxBytes+1 bytes. Errors: fs.ErrNotExist, also if another process has just renamed the file;
// *InvalidFileError if it is not a regular file; *UnreadableFileError if it can't be opened or read; other errors of os.Lstat.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() { // opening a pipe would block, and a folder can't be replaced
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

// quarantine renames an invalid file to InvalidName, and updates the error's path. If the rename fails, both stay as they are.
func (f *File) quarantine(invalid *InvalidFileError) {
	path := filepath.Join(f.dir, InvalidName)
	if os.Rename(invalid.Path, path) == nil {
		invalid.Path = path
	}
}

// encode returns the content of the file. It fails with ErrTooLarge if the content exceeds MaxBytes.
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

// decode returns the registers and the sequence number in a file's content. Its errors are causes of an InvalidFileError.
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
