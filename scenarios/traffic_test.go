package scenarios

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// traffic is a caller stand-in that runs concurrently with the scenario.
type traffic struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan error
}

// Write implements io.Writer for the caller's output.
func (t *traffic) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.out.Write(b)
}

// trafficCommand starts a caller that checks every answer byte for byte, or waits until it has ended:
//
//	traffic start NAME [caller flags]
//	traffic wait NAME      fails unless every answer was complete and correct
//	! traffic wait NAME    fails if every answer was complete and correct
func trafficCommand(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	switch args[0] {
	case "start":
		ts.Check(f.startTraffic(args[1], args[2:]))
	case "wait":
		t, ok := f.traffic[args[1]]
		if !ok {
			ts.Fatalf("no traffic %q", args[1])
		}
		err := <-t.done
		ts.Logf("%s", t.out.String())
		_, _ = ts.Stdout().Write(t.out.Bytes())
		if (err != nil) != neg {
			ts.Fatalf("traffic %s: %v", args[1], err)
		}
	default:
		ts.Fatalf("usage: traffic start or traffic wait")
	}
}

func (f *fleet) startTraffic(name string, extra []string) error {
	if _, ok := f.traffic[name]; ok {
		return fmt.Errorf("traffic %q was already started", name)
	}
	args := []string{"caller", "--model", "m", "--model-version", "v1", "--service", "trace"}
	for _, v := range f.vms {
		args = append(args, "--entry", v.caller)
	}
	for _, e := range f.engines {
		args = append(args, "--engine", f.standInAddr[e])
	}
	for _, s := range f.services {
		args = append(args, "--endpoint", f.standInAddr[s])
	}
	t := &traffic{done: make(chan error, 1)}
	t.cmd = command(filepath.Join(binaries, "fescue-standin"), append(args, extra...)...)
	t.cmd.Stdout, t.cmd.Stderr = t, t
	if err := t.cmd.Start(); err != nil {
		return err
	}
	f.traffic[name] = t
	go func() { t.done <- t.cmd.Wait() }()
	return nil
}
