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
	longest  = 107         // bytes of a Unix socket's path, without the zero at its end
	pending  = ".new"      // the end of a socket's name before it takes connections
	leftOver = time.Minute // past that such a name is of a process that died as it started
)

// ErrProcessEnded says that no process stands behind a name any more.
var ErrProcessEnded = errors.New("no process stands behind this socket")

// ErrPath says that the folder's path is too long for a Unix socket.
var ErrPath = errors.New("the path of the folder is too long for a Unix socket and /proc is not there to shorten it; " +
	"set TMPDIR to a path of at most 60 bytes")

// Folder is the folder, held open.
type Folder struct {
	dir  string
	hold *os.File
}

// Open opens the folder. Errors are those of the system.
func Open(dir string) (*Folder, error) {
	d, err := os.OpenFile(dir, os.O_RDONLY|syscall.O_DIRECTORY, 0)
	if err != nil {
		return nil, err
	}
	return &Folder{dir: dir, hold: d}, nil
}

// Close lets go of the folder.
func (f *Folder) Close() error { return f.hold.Close() }

// path is where a file can be reached by the calls for sockets: long paths through the open folder.
func (f *Folder) path(name string) (string, error) {
	if p := filepath.Join(f.dir, name); len(p) <= longest {
		return p, nil
	}
	p := fmt.Sprintf("/proc/self/fd/%d", f.hold.Fd())
	if _, err := os.Stat(p); err != nil {
		return "", ErrPath
	}
	return filepath.Join(p, name), nil
}

// Show makes a socket that takes connections and puts it into the folder. Closing the listener leaves the name; Hide
// takes it away. Errors: ErrPath, and those of the system.
func (f *Folder) Register(n Name) (*net.UnixListener, error) {
	p, err := f.path(n.String() + pending)
	if err != nil {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: p, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	full := filepath.Join(f.dir, n.String())
	if err := errors.Join(os.Chmod(full+pending, 0o600), os.Rename(full+pending, full)); err != nil {
		l.Close()
		os.Remove(full + pending)
		return nil, err
	}
	return l, nil
}

// Hide takes a name away.
func (f *Folder) Unregister(n Name) { os.Remove(filepath.Join(f.dir, n.String())) }

// Names lists the sockets of the folder, its own left out, and clears away what processes left that died early.
func (f *Folder) Names(own Name) ([]Name, error) {
	files, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var names []Name
	for _, file := range files {
		if n, ok := Parse(file.Name()); ok && n != own {
			names = append(names, n)
		}
		if n, ok := strings.CutSuffix(file.Name(), pending); ok {
			info, err := file.Info()
			if _, ours := Parse(n); ours && err == nil && time.Since(info.ModTime()) > leftOver {
				os.Remove(filepath.Join(f.dir, file.Name()))
			}
		}
	}
	return names, nil
}

// Dial connects. ErrProcessEnded proves that the process is dead or has closed; its name is then taken away. Any other error
// proves nothing. A process that hangs is connected to all the same: it reads what it was sent once it goes on.
func (f *Folder) Dial(ctx context.Context, n Name) (net.Conn, error) {
	p, err := f.path(n.String())
	if err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", p)
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.Unregister(n)
		return nil, ErrProcessEnded
	} else if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrProcessEnded
	}
	return c, err
}
