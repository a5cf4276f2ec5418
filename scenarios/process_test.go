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
	cmd    *exec.Cmd
	exited chan struct{}
	pid    atomic.Int64 // of the process started last, for goroutines other than the one that starts it
}

// start starts the program. Its output is appended to NAME.log, so that the output after a restart
// follows that before it.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = command(cmp.Or(p.binary, filepath.Join(binaries, p.args[0])), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), p.env...)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
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

// exitTimeout bounds the wait for the exit of a process. It only ends a scenario that hangs; no check
// depends on how long a shutdown takes.
const exitTimeout = 2 * time.Minute

func (p *process) await() (status int, err error) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(exitTimeout):
		return 0, fmt.Errorf("%s did not exit within %s", p.name, exitTimeout)
	}
}

func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}
