package scenarios

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// parentEnv is set for a process of this test binary that only starts a process and waits.
const parentEnv = "FESCUE_TEST_PARENT"

// holdProcess starts a process as scenarios do, prints its id and waits to be ended.
func holdProcess() {
	p := &process{name: "child", binary: "/bin/sleep", args: []string{"sleep", "600"}, log: os.DevNull}
	if err := p.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(p.pid.Load())
	<-p.child.Load().exited
	os.Exit(1)
}

// Guards against VMs that outlive a run which is killed, and go on calling ports that other runs use by then.
func TestProcessesEndWithAKilledRun(t *testing.T) {
	for name, paused := range map[string]bool{"running": false, "paused": true} {
		t.Run(name, func(t *testing.T) {
			self, err := os.Executable()
			assert.NilError(t, err)
			parent := command(self)
			parent.Env = append(os.Environ(), parentEnv+"=1")
			out, err := parent.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, parent.Start())
			line, err := bufio.NewReader(out).ReadString('\n')
			assert.NilError(t, err)
			child, err := strconv.Atoi(strings.TrimSpace(line))
			assert.NilError(t, err)
			if paused {
				assert.NilError(t, syscall.Kill(child, syscall.SIGSTOP))
			}
			assert.NilError(t, parent.Process.Kill())
			_ = parent.Wait()
			awaitEnd(t, child)
		})
	}
}

// awaitEnd waits until a process has ended. It ends one that doesn't, and fails.
func awaitEnd(t *testing.T, pid int) {
	t.Helper()
	const endTimeout = 30 * time.Second
	for deadline := time.Now().Add(endTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) || strings.Contains(string(stat), ") Z ") {
			return
		}
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	t.Fatalf("process %d outlived its parent by %s", pid, endTimeout)
}
