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

// process is one child process. Its output goes to a file of its own.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	err  error
	// killed says that the demo killed it on purpose.
	killed atomic.Bool
}

// start runs a binary in the background.
func (d *Demo) start(name, binary string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(d.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(d.Bin, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
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

// stop asks the process to end and waits. It fails if the process does not end
// in time or not with exit code 0.
func (p *process) stop(longest time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(longest):
		_ = p.cmd.Process.Kill()
		<-p.done
		return eris.Errorf("%s did not stop within %s", p.name, longest)
	}
	if p.err != nil && !p.killed.Load() {
		return eris.Wrapf(p.err, "%s", p.name)
	}
	return nil
}

// kill ends the process without notice.
func (p *process) kill() {
	p.killed.Store(true)
	_ = p.cmd.Process.Kill()
}

// ended tells whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
