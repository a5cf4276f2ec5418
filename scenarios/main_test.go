// Package scenarios tests the guarantees of the system end to end, with real processes on loopback.
// TestScenarios runs the scripts *.txtar; README.md describes their commands. TestSoak injects random
// faults under load and checks what callers and endpoints observed.
//
// Stand-ins (package internal/standin and platform/standin) replace the systems outside: engines,
// services, the log, the VM list and the weight store.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the folder with the programs under test. They are built with the race detector, which
// writes its reports to the logs of the processes.
var binaries string

func TestMain(m *testing.M) {
	if spec := os.Getenv(endpointEnv); spec != "" {
		fmt.Fprintln(os.Stderr, serveEndpoint(spec))
		os.Exit(1)
	}
	if os.Getenv(parentEnv) != "" {
		holdProcess()
	}
	dir, err := os.MkdirTemp("", "fescue-scenarios-")
	if err == nil {
		err = buildInto(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

func buildInto(dir string) error {
	cmd := exec.Command("go", "build", "-race", "-o", dir+string(filepath.Separator), "../cmd/...")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		Setup:               setup,
		Cmds:                commands(),
		RequireExplicitExec: true,
	})
}

func setup(env *testscript.Env) error {
	f := newFleet(env.WorkDir)
	env.Values[fleetKey{}] = f
	env.Defer(func() {
		f.stopAll()
		f.failOnRace(env.T())
	})
	env.Setenv("PATH", binaries+string(filepath.ListSeparator)+env.Getenv("PATH"))
	return nil
}

type fleetKey struct{}
