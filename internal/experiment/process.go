package experiment

import (
	"fmt"
	"net"
	"net/netip"
	"os/exec"
	"syscall"
	"time"
)

// process is the process of one member.
type process struct {
	index                    int
	configFile, adminAddress string
	operatorTables           string // contents of configFile
	cmd                      *exec.Cmd
	ended                    chan struct{}
	start                    string // incarnation of the running process, as it reports it
	up, paused               bool
	listen, relayAddress     netip.AddrPort
}

// killWithParent kills a child process when this process ends, even by SIGKILL. The kernel acts at the end of the thread
// that started the child; the Go runtime does not end its threads before the process.
var killWithParent = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

// freePort returns a port that is free for both UDP and TCP.
func freePort(at netip.Addr) (netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil && p.ended != nil {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// terminate sends SIGTERM, and kills the process if it does not end within processTimeout.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(processTimeout):
		p.kill()
		return fmt.Errorf("process did not end within %v after SIGTERM", processTimeout)
	}
}
