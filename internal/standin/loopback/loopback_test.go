package loopback

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a port that two test processes choose because their temporary folders differ.
func TestPortsAreReservedAcrossTemporaryFolders(t *testing.T) {
	const port = lastPort + 1 // FreeAddress never returns it
	assert.Assert(t, reserve(port))
	t.Setenv("TMPDIR", t.TempDir())
	assert.Assert(t, !reserve(port))
}

// Guards against a VM that can't open its port as another test process looks whether that is free.
func TestReservedPortsCanBeOpenedAtAnyTime(t *testing.T) {
	const port = lastPort + 2 // FreeAddress never returns it
	assert.Assert(t, reserve(port))
	addr, stop, stopped := fmt.Sprintf("127.0.0.1:%d", port), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				assert.Check(t, !take(port, addr))
			}
		}
	}()
	for range 2000 {
		ln, err := net.Listen("tcp4", addr)
		if !assert.Check(t, err) {
			break
		}
		assert.NilError(t, ln.Close())
	}
	close(stop)
	<-stopped
}
