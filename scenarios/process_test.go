package scenarios

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// command is exec.Command for a process that ends with this one, however this one ends.
func command(name string, args ...string) *exec.Cmd {
	c := exec.Command(name, args...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// process is one child process of a scenario.
type process struct {
	binary string // path of another build, empty for the build under test
	name   string
	args   []string
	env    []string // added to that of this process
	log    string
	child  atomic.Pointer[child] // the process started last, nil for none; others may signal it while it is started again
	pid    atomic.Int64          // of that process
}

// child is a process that has been started.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program. Its output is appended to NAME.log, so that the output after a restart
// follows that before it.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := &child{command(cmp.Or(p.binary, filepath.Join(binaries, p.args[0])), p.args[1:]...), make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.Env = append(os.Environ(), p.env...)
	if err := c.cmd.Start(); err != nil {
		return err
	}
	p.pid.Store(int64(c.cmd.Process.Pid))
	p.child.Store(c)
	go func() {
		_ = c.cmd.Wait()
		close(c.exited)
	}()
	return nil
}

func (p *process) running() bool {
	c := p.child.Load()
	return c != nil && c.running()
}

func (c *child) running() bool {
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	c := p.child.Load()
	if c == nil || !c.running() {
		return fmt.Errorf("%s is not running", p.name)
	}
	return c.cmd.Process.Signal(s)
}

// exitTimeout bounds the wait for the exit of a process. It only ends a scenario that hangs; no check
// depends on how long a shutdown takes.
const exitTimeout = 2 * time.Minute

func (p *process) await() (status int, err error) {
	c := p.child.Load()
	select {
	case <-c.exited:
		return c.cmd.ProcessState.ExitCode(), nil
	case <-time.After(exitTimeout):
		return 0, fmt.Errorf("%s did not exit within %s", p.name, exitTimeout)
	}
}

func (p *process) kill() {
	if c := p.child.Load(); c != nil && c.running() {
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
}
