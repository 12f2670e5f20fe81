package listenfd

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// childAddressVariable is the environment variable that makes the test binary run as a child. The child serves one client on the
// inherited socket, whose address is the variable's value.
const childAddressVariable = "LISTENFD_TEST"

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if address := os.Getenv(childAddressVariable); address != "" {
		if err := serveOne(address); err != nil {
			os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveOne accepts one client on the inherited socket and writes to it.
func serveOne(address string) error {
	l, err := Listener(os.Getenv, address)
	if err != nil {
		return err
	}
	c, err := l.Accept()
	if err != nil {
		return err
	}
	c.Write([]byte("child"))
	c.Close()
	return l.Close()
}

// TestInheritedByChild checks that a child serves on the inherited socket, and that the parent's copy still listens after the child
// has exited.
func TestInheritedByChild(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for range 2 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childAddressVariable+"="+l.Addr().String(), Variable+"=3")
		cmd.ExtraFiles, cmd.Stderr = []*os.File{f}, os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer cmd.Process.Kill() // no effect if it has already exited
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 5)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		c.Read(text)
		c.Close()
		if err := cmd.Wait(); err != nil || string(text) != "child" {
			t.Fatal(err, string(text))
		}
	}
}

// TestInvalidDescriptor checks that a descriptor that is not a listening TCP socket of the address is rejected, with the right cause.
func TestInvalidDescriptor(t *testing.T) {
	const address = "127.0.0.1:1"
	socket := func(domain, kind int) int {
		fd, err := unix.Socket(domain, kind|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fd) })
		return fd
	}
	listening := socket(unix.AF_INET, unix.SOCK_STREAM)
	if err := unix.Listen(listening, 1); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for value, want := range map[string]error{
		"x":                          ErrNotANumber,
		"-1":                         ErrNotANumber,
		"5 ":                         ErrNotANumber,
		"99999999999999999999":       ErrNotANumber,
		"0":                          ErrNotTCP,
		"9999":                       ErrNotOpen,
		strconv.Itoa(int(file.Fd())): ErrNotTCP,
		strconv.Itoa(socket(unix.AF_INET, unix.SOCK_DGRAM)):  ErrNotTCP,
		strconv.Itoa(socket(unix.AF_UNIX, unix.SOCK_STREAM)): ErrNotTCP,
		strconv.Itoa(socket(unix.AF_INET, unix.SOCK_STREAM)): ErrNotListening,
		strconv.Itoa(listening):                              ErrWrongAddress,
	} {
		_, err := Listener(func(string) string { return value }, address)
		var socketErr *InheritedSocketError
		if !errors.As(err, &socketErr) || !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", value, err, want)
		}
	}
}

// TestAddresses checks which addresses count as the same, and that the returned listener has close-on-exec.
func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		bound, host string
		same        bool
	}{
		{"127.0.0.1:0", "localhost", true},
		{":0", "0.0.0.0", true},
		{"0.0.0.0:0", "[::]", true},
		{":0", "", true},
		{"127.0.0.1:0", "127.0.0.2", false},
		{"127.0.0.1:0", "", false},
	} {
		fd, port := listeningDescriptor(t, c.bound)
		l, err := Listener(func(string) string { return strconv.Itoa(fd) }, c.host+":"+port)
		if (err == nil) != c.same {
			t.Errorf("%+v: %v", c, err)
		}
		if l == nil {
			unix.Close(fd)
			continue
		}
		expectCloseOnExec(t, l.(*net.TCPListener))
		l.Close()
	}
}

// TestNotInherited checks that Listener opens a new socket if Variable is empty.
func TestNotInherited(t *testing.T) {
	l, err := Listener(func(string) string { return "" }, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}

// listeningDescriptor returns a descriptor of a socket that listens at an address until the test ends, and its port.
func listeningDescriptor(t *testing.T, address string) (fd int, port string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, _ = unix.Dup(int(f.Fd()))
	_, port, _ = net.SplitHostPort(l.Addr().String())
	return fd, port
}

func expectCloseOnExec(t *testing.T, l *net.TCPListener) {
	t.Helper()
	raw, _ := l.SyscallConn()
	raw.Control(func(fd uintptr) {
		if flags, _ := unix.FcntlInt(fd, unix.F_GETFD, 0); flags&unix.FD_CLOEXEC == 0 {
			t.Error("the listener's descriptor lacks close-on-exec")
		}
	})
}
