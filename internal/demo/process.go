package demo

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is a child process whose output goes to its own log file.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error
	// killed reports whether the demo killed the process on purpose.
	killed atomic.Bool
}

// start runs a binary in the background.
func (d *Demo) start(name, binary string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(d.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(d.BinDir, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // else it keeps its port when the demo is killed
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "can't start %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	return p, nil
}

// stop sends SIGTERM and waits for the process to end. After the timeout it kills the process. It
// fails if the process had to be killed or ended with an exit code other than 0.
func (p *process) stop(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return eris.Errorf("%s did not stop within %s", p.name, timeout)
	}
	if p.err != nil && !p.killed.Load() {
		return eris.Wrapf(p.err, "%s", p.name)
	}
	return nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.killed.Store(true)
	_ = p.cmd.Process.Kill()
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
