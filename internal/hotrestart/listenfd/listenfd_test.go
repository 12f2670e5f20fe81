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

func TestMain(m *testing.M) {
	if address := os.Getenv("INHERIT_TEST"); address != "" { // a child with the socket as descriptor 3
		l, err := Listener(os.Getenv, address)
		if err == nil {
			var c net.Conn
			if c, err = l.Accept(); err == nil {
				c.Write([]byte("child"))
				c.Close()
				err = l.Close()
			}
		}
		if err != nil {
			os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestPassedOn: a child serves from the inherited socket, and its end leaves the parent's copy as it was.
func TestPassedOn(t *testing.T) {
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
		cmd.Env = append(os.Environ(), "INHERIT_TEST="+l.Addr().String(), Variable+"=3")
		cmd.ExtraFiles, cmd.Stderr = []*os.File{f}, os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer cmd.Process.Kill() // in vain where it has ended
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 5)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		c.Read(text)
		c.Close()
		if err := cmd.Wait(); err != nil || string(text) != "child" {
			t.Fatal(err, string(text))
		}
	}
}

func TestRefused(t *testing.T) {
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
	for value, want := range map[string]error{"x": ErrNumber, "-1": ErrNumber, "5 ": ErrNumber, "99999999999999999999": ErrNumber,
		"0": ErrNoSocket, "9999": ErrNotOpen, strconv.Itoa(int(file.Fd())): ErrNoSocket,
		strconv.Itoa(socket(unix.AF_INET, unix.SOCK_DGRAM)):  ErrNoSocket,
		strconv.Itoa(socket(unix.AF_UNIX, unix.SOCK_STREAM)): ErrNoSocket,
		strconv.Itoa(socket(unix.AF_INET, unix.SOCK_STREAM)): ErrIdle,
		strconv.Itoa(listening):                              ErrAddress} {
		_, err := Listener(func(string) string { return value }, address)
		var typed *Error
		if !errors.As(err, &typed) || !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", value, err, want)
		}
	}
}

// TestAddresses: which addresses are the same, and that the descriptor given back is closed on exec.
func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		at, address string
		ok          bool
	}{{"127.0.0.1:0", "localhost:%", true}, {":0", "0.0.0.0:%", true}, {"0.0.0.0:0", "[::]:%", true}, {":0", ":%", true},
		{"127.0.0.1:0", "127.0.0.2:%", false}, {"127.0.0.1:0", ":%", false}} {
		l, err := net.Listen("tcp", c.at)
		if err != nil {
			t.Fatal(err)
		}
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, _ := unix.Dup(int(f.Fd()))
		f.Close()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		got, err := Listener(func(string) string { return strconv.Itoa(fd) }, c.address[:len(c.address)-1]+port)
		if (err == nil) != c.ok {
			t.Errorf("%+v: %v", c, err)
		}
		if got != nil {
			raw, _ := got.(*net.TCPListener).SyscallConn()
			raw.Control(func(fd uintptr) {
				if flags, _ := unix.FcntlInt(fd, unix.F_GETFD, 0); flags&unix.FD_CLOEXEC == 0 {
					t.Error("not closed on exec")
				}
			})
			got.Close()
		} else {
			unix.Close(fd)
		}
		l.Close()
	}
	if l, err := Listener(func(string) string { return "" }, "127.0.0.1:0"); err != nil {
		t.Error(err)
	} else {
		l.Close()
	}
}
