package rendezvous

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// maxSocketPathBytes bounds a Unix socket's path, without the zero at its end.
	maxSocketPathBytes = 107
	// pendingSuffix ends a socket's name before it accepts connections.
	pendingSuffix = ".new"
	// stalePendingAge is the age past which a pending name is of a process that died as it started.
	stalePendingAge = time.Minute
)

// ErrProcessEnded reports that the process of a name is dead or has closed its socket.
var ErrProcessEnded = errors.New("no process stands behind this socket")

// ErrPathTooLong reports that the folder's path is too long for a Unix socket.
var ErrPathTooLong = errors.New("the path of the folder is too long for a Unix socket and /proc is not there to shorten it; " +
	"set TMPDIR to a path of at most 60 bytes")

// Folder is an open folder.
type Folder struct {
	dir    string
	handle *os.File
}

// Open opens the folder. Errors are those of the system.
func Open(dir string) (*Folder, error) {
	handle, err := os.OpenFile(dir, os.O_RDONLY|syscall.O_DIRECTORY, 0)
	if err != nil {
		return nil, err
	}
	return &Folder{dir: dir, handle: handle}, nil
}

// Close closes the folder. It removes nothing.
func (f *Folder) Close() error { return f.handle.Close() }

// path returns a path of a file that the system's calls for sockets accept: a long one goes through the open folder.
func (f *Folder) path(name string) (string, error) {
	if path := filepath.Join(f.dir, name); len(path) <= maxSocketPathBytes {
		return path, nil
	}
	folder := fmt.Sprintf("/proc/self/fd/%d", f.handle.Fd())
	if _, err := os.Stat(folder); err != nil {
		return "", ErrPathTooLong
	}
	return filepath.Join(folder, name), nil
}

// Register makes a socket that accepts connections and puts it into the folder. Closing the listener leaves the name; Unregister
// removes it. Errors: ErrPathTooLong, and those of the system.
func (f *Folder) Register(n Name) (*net.UnixListener, error) {
	socketPath, err := f.path(n.String() + pendingSuffix)
	if err != nil {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	path := filepath.Join(f.dir, n.String())
	pendingPath := path + pendingSuffix
	if err := errors.Join(os.Chmod(pendingPath, 0o600), os.Rename(pendingPath, path)); err != nil {
		l.Close()
		os.Remove(pendingPath)
		return nil, err
	}
	return l, nil
}

// Unregister removes a name.
func (f *Folder) Unregister(n Name) { os.Remove(filepath.Join(f.dir, n.String())) }

// Names lists the sockets of the folder except own, and removes sockets of processes that died before they accepted connections.
func (f *Folder) Names(own Name) ([]Name, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var names []Name
	for _, entry := range entries {
		if n, ok := Parse(entry.Name()); ok && n != own {
			names = append(names, n)
		} else if isStalePending(entry) {
			os.Remove(filepath.Join(f.dir, entry.Name()))
		}
	}
	return names, nil
}

// isStalePending reports whether a file is a pending socket of a process that died as it started.
func isStalePending(entry fs.DirEntry) bool {
	fileName, ok := strings.CutSuffix(entry.Name(), pendingSuffix)
	if !ok {
		return false
	}
	if _, ok := Parse(fileName); !ok {
		return false
	}
	info, err := entry.Info()
	return err == nil && time.Since(info.ModTime()) > stalePendingAge
}

// Dial connects to a process. ErrProcessEnded proves that it is dead or has closed; its name is then removed. Any other error
// proves nothing. A connection to a process that hangs succeeds: it reads what it was sent once it continues.
func (f *Folder) Dial(ctx context.Context, n Name) (net.Conn, error) {
	path, err := f.path(n.String())
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		f.Unregister(n)
		return nil, ErrProcessEnded
	case errors.Is(err, fs.ErrNotExist):
		return nil, ErrProcessEnded
	}
	return conn, err
}
