package scenarios

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one child process of a scenario.
type process struct {
	name   string
	args   []string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start runs the program; its output is appended to NAME.log, so that a
// restart's output follows that of the earlier one.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s is not running", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// exitWait bounds the wait for a process that was told to stop. It only ends
// a hung scenario; no verdict depends on how long a stop takes.
const exitWait = 2 * time.Minute

func (p *process) await() (status int, err error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(exitWait):
		return 0, fmt.Errorf("%s did not exit within %s", p.name, exitWait)
	}
}

func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// Ports for the scenarios' processes lie below the range that the kernel
// gives to outgoing connections, so that those can't take one in between.
const (
	firstPort = 20000
	lastPort  = 31999
)

var nextPort atomic.Int32

func init() { nextPort.Store(int32(firstPort + os.Getpid()%(lastPort-firstPort))) }

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	for {
		port := firstPort + (int(nextPort.Add(1))-firstPort)%(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
}
