package fdpass

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxSenders         = 1024            // processes that send concurrently; two at a time are rare
	unreservedSenders  = 1               // senders that need no descriptor from Receiver.Reserve
	reserveTimeout     = sendTimeout / 2 // of a call of Receiver.Reserve
	acceptRetryDelay   = sendTimeout / 10
	descriptorBytes    = 4 // size of a descriptor in a control message
	messageHeaderBytes = 2 // the version and the flags
)

// Receiver receives client connections from other processes.
type Receiver struct {
	// Reserve reserves a descriptor for the connection of a sender while another sender is connected. Its error tells an operator
	// what to do. release is called when the sender's connection has ended. nil: only the system's limit applies.
	Reserve func(context.Context) (release func(), err error)

	listener   *net.UnixListener
	socketInfo os.FileInfo // of this receiver's socket file, to recognize it
}

// Listen makes this process the receiver of connections in a folder. It replaces any earlier receiver.
func Listen(folder string) (*Receiver, error) {
	dir, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	pendingPath := socketPath(dir, pendingSocketName())
	os.Remove(pendingPath)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: pendingPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the path may belong to another process's socket
	info, err := os.Lstat(pendingPath)
	if err == nil {
		err = os.Rename(pendingPath, socketPath(dir, socketName))
	}
	if err != nil {
		listener.Close()
		return nil, err
	}
	return &Receiver{listener: listener, socketInfo: info}, nil
}

// ownsSocketAt reports whether the socket at a path is this receiver's. A nil receiver owns none.
func (r *Receiver) ownsSocketAt(path string) bool {
	if r == nil {
		return false
	}
	info, err := os.Lstat(path)
	return err == nil && os.SameFile(info, r.socketInfo)
}

// Run calls accept for each connection that is received, until the context ends. It closes a connection for which accept returns
// false. The client is then disconnected, because the sender closes its own copy. accept is called concurrently.
func (r *Receiver) Run(ctx context.Context, accept func(Conn) bool) error {
	defer context.AfterFunc(ctx, func() { r.listener.Close() })()
	var senders atomic.Int32
	var group sync.WaitGroup
	defer group.Wait()
	for {
		sender, err := r.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		release, err := r.reserve(ctx, int(senders.Add(1)))
		if err != nil {
			slog.Warn("fdpass_rejected", "error", err)
			sender.CloseRead() // connections that were sent before are still received; later sends fail
		}
		group.Go(func() {
			defer senders.Add(-1)
			defer release()
			defer context.AfterFunc(ctx, func() { sender.Close() })()
			defer sender.Close()
			receiveFrom(sender, accept)
		})
	}
}

// reserve reserves a descriptor for the n-th concurrent sender. release is never nil. Errors: ProcessLimitError, and errors of Reserve.
func (r *Receiver) reserve(ctx context.Context, n int) (release func(), err error) {
	noRelease := func() {}
	switch {
	case n > maxSenders:
		return noRelease, ProcessLimitError{maxSenders}
	case n <= unreservedSenders || r.Reserve == nil:
		return noRelease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if release, err = r.Reserve(ctx); err != nil {
		return noRelease, err
	}
	return release, nil
}

// receiveFrom receives connections from one sender until the sender disconnects or sends an invalid message.
func receiveFrom(sender *net.UnixConn, accept func(Conn) bool) {
	message := make([]byte, messageHeaderBytes+maxProtocolBytes)
	rights := make([]byte, unix.CmsgSpace(descriptorBytes))
	for {
		n, rightsBytes, _, _, err := sender.ReadMsgUnix(message, rights)
		if err != nil || n == 0 {
			return
		}
		conn, err := connFromRights(rights[:rightsBytes])
		if err != nil || n < messageHeaderBytes || message[0] != version {
			if conn != nil {
				conn.Close()
			}
			return
		}
		received := Conn{
			Conn:     conn,
			Protocol: string(message[messageHeaderBytes:n]),
			Started:  message[1]&flagStarted != 0,
			Answered: message[1]&flagAnswered != 0,
		}
		if !accept(received) {
			conn.Close()
		}
		if _, err := sender.Write([]byte{version}); err != nil {
			return
		}
	}
}

// connFromRights returns a connection for the first descriptor in the control messages, and closes all further descriptors.
func connFromRights(rights []byte) (net.Conn, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	var conn net.Conn
	for _, m := range messages {
		descriptors, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return conn, err
		}
		for _, descriptor := range descriptors {
			file := os.NewFile(uintptr(descriptor), "passed")
			if conn == nil {
				conn, err = net.FileConn(file) // duplicates the descriptor
			}
			file.Close()
			if err != nil {
				return nil, err
			}
		}
	}
	if conn == nil {
		return nil, errors.New("the message has no descriptor")
	}
	return conn, nil
}
