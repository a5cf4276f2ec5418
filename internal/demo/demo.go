package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	stopTimeout   = 20 * time.Second
)

// Demo is one run of an example deployment.
type Demo struct {
	BinDir      string // directory of the binaries
	Deployment  *Deployment
	Duration    time.Duration // how long the caller sends new requests
	Rate        float64
	NoControl   bool          // don't start fescue-control
	KillEntry   time.Duration // time from the start of the caller to killing the last entry; 0: never
	CallerFlags []string      // additional flags of the caller
	Output      io.Writer

	logDir   string
	standins []*process
	controls []*process
	entries  []*process
}

// Run runs the demo. It fails if a process did not start, if an answer was incomplete, or if a
// process did not stop gracefully.
func (d *Demo) Run(ctx context.Context) (err error) {
	d.logDir = filepath.Join(".demo", d.Deployment.Sheet.Deployment)
	if err := os.MkdirAll(d.logDir, 0o755); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.Output, "deployment %s: logs of every process in %s\n", d.Deployment.Sheet.Deployment, d.logDir)
	defer func() { err = errors.Join(err, d.stopAll()) }()
	if err := d.requireAddressesFree(); err != nil {
		return err
	}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"start stand-ins", d.startStandins},
		{"start fescue-control and fescue-entry", d.startSystem},
		{"publish the sheet", d.publish},
		{"wait until every entry serves", d.awaitServing},
		{"run the caller", d.runCaller},
	}
	for _, s := range steps {
		startedAt := time.Now()
		if err := s.run(ctx); err != nil {
			return eris.Wrap(err, s.name)
		}
		_, _ = fmt.Fprintf(d.Output, "%6.1f s  %s\n", time.Since(startedAt).Seconds(), s.name)
	}
	return nil
}

// requireAddressesFree fails if an address of the example is in use. Two demos that run at the same
// time would share stand-ins, and the publish of one would reach the fleet of the other.
func (d *Demo) requireAddressesFree() error {
	for _, a := range d.Deployment.addresses() {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return eris.Wrap(err, "an address of the example is in use; is another demo running?")
		}
		_ = l.Close()
	}
	return nil
}

func (d *Demo) startSystem(ctx context.Context) error {
	var addresses []string
	for i, vm := range d.Deployment.VMs {
		if !d.NoControl {
			c, err := d.start(fmt.Sprintf("control-%d", i+1), "fescue-control", "--config", vm.ControlFile)
			if err != nil {
				return err
			}
			d.controls = append(d.controls, c)
			addresses = append(addresses, vm.Control.Addresses.Status)
		}
		e, err := d.start(fmt.Sprintf("entry-%d", i+1), "fescue-entry", "--config", vm.EntryFile)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		addresses = append(addresses, vm.Entry.Addresses.Status, vm.Entry.Addresses.Caller)
	}
	return d.awaitListening(ctx, addresses)
}

func (d *Demo) publish(ctx context.Context) error {
	return d.command(ctx, "fescuectl", "publish", "--config", d.Deployment.CtlFile, d.Deployment.SheetFile)
}

// command runs a binary and waits for it to end.
func (d *Demo) command(ctx context.Context, binary string, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(d.BinDir, binary), args...)
	cmd.Stdout, cmd.Stderr = d.Output, d.Output
	return cmd.Run()
}

// awaitListening waits until every address accepts connections.
func (d *Demo) awaitListening(ctx context.Context, addresses []string) error {
	for _, a := range addresses {
		err := d.await(ctx, a, func() error {
			c, err := net.DialTimeout("tcp", a, time.Second)
			if err != nil {
				return err
			}
			return c.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitServing waits until every entry advertises addresses to callers.
func (d *Demo) awaitServing(ctx context.Context) error {
	for _, vm := range d.Deployment.VMs {
		a := vm.Entry.Addresses.Caller
		err := d.await(ctx, a, func() error {
			resp, err := http.Get("http://" + a + "/v1/addresses")
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return eris.Errorf("%s answers %s", a, resp.Status)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// await repeats the probe until it succeeds, readyTimeout has passed, or a process that must be
// running has ended.
func (d *Demo) await(ctx context.Context, what string, probe func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := probe()
		if err == nil {
			return nil
		}
		if p := d.firstEnded(); p != nil {
			return eris.Errorf("%s ended early (%v); see %s.log", p.name, p.err, filepath.Join(d.logDir, p.name))
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "%s is not ready", what)
		case <-time.After(readyInterval):
		}
	}
}

func (d *Demo) all() []*process {
	var all []*process
	all = append(all, d.entries...)
	all = append(all, d.controls...)
	return append(all, d.standins...)
}

func (d *Demo) firstEnded() *process {
	for _, p := range d.all() {
		if p.ended() && !p.killed.Load() {
			return p
		}
	}
	return nil
}

// stopAll stops the processes of the system first and the stand-ins after them.
func (d *Demo) stopAll() error {
	var errs []error
	for _, group := range [][]*process{d.entries, d.controls, d.standins} {
		var g errgroup.Group
		for _, p := range group {
			g.Go(func() error { return p.stop(stopTimeout) })
		}
		errs = append(errs, g.Wait())
	}
	return errors.Join(errs...)
}
