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
	// maxSocketPathBytes bounds the path of a Unix socket, without the terminating zero byte.
	maxSocketPathBytes = 107
	// pendingSuffix is appended to a socket's name until the socket accepts connections.
	pendingSuffix = ".new"
	// stalePendingAge is the age beyond which a pending socket counts as left over from a process that exited during its start.
	stalePendingAge = time.Minute
)

// ErrProcessEnded reports that the process of a name has exited or has closed its socket.
var ErrProcessEnded = errors.New("no process listens on this socket")

// ErrPathTooLong reports that the folder's path is too long for a Unix socket.
var ErrPathTooLong = errors.New("the path of the folder is too long for a Unix socket and /proc is not available to shorten it; " +
	"set TMPDIR to a path of at most 60 bytes")

// Folder is an open folder in which processes register their sockets.
type Folder struct {
	dir    string
	handle *os.File
}

// Open opens the folder. It returns errors of the operating system.
func Open(dir string) (*Folder, error) {
	handle, err := os.OpenFile(dir, os.O_RDONLY|syscall.O_DIRECTORY, 0)
	if err != nil {
		return nil, err
	}
	return &Folder{dir: dir, handle: handle}, nil
}

// Close closes the folder. It removes nothing.
func (f *Folder) Close() error { return f.handle.Close() }

// path returns the path of a file in the folder, for use with a Unix socket. If the path is too long for that, it returns a shorter
// one through the open folder's descriptor in /proc.
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

// Register creates a listening socket, and gives it its name in the folder once it accepts connections. Closing the listener does
// not remove the name; Unregister does. Errors: ErrPathTooLong, and errors of the operating system.
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

// Unregister removes a name from the folder.
func (f *Folder) Unregister(n Name) { os.Remove(filepath.Join(f.dir, n.String())) }

// Names lists the sockets of the folder except own, and removes sockets of processes that exited before they accepted connections.
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

// isStalePending reports whether a file is the pending socket of a process that exited during its start.
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

// Dial connects to a process. ErrProcessEnded proves that the process has exited or closed its socket; its name is then removed.
// After any other error the process may still be alive. Connecting to a process that hangs succeeds: the process reads the data
// that was sent to it after it continues.
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
