package scenarios

import (
	"net"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/relay"
)

// Guards against a partition that cuts connections of other VMs as well: connections to different
// endpoints may have the same local port.
func TestPartitionCutsOnlyItsVMs(t *testing.T) {
	isolated, other := &soakVM{proc: &process{}}, &soakVM{proc: &process{}}
	isolated.proc.pid.Store(int64(os.Getpid()))
	cutOff, ofIsolated := connect(t, "127.0.0.1:0")
	moved, ofOther := connect(t, cutOff.LocalAddr().String())
	other.proc.pid.Store(moveToProcess(t, moved))
	p := newPartition(t, []*soakVM{isolated, other}, []*soakVM{isolated}, relay.Hang)
	assert.Equal(t, p.cutOf(ofIsolated), relay.Hang)
	assert.Equal(t, p.cutOf(ofOther), relay.NoCut)

	cutOff, ofIsolated = connect(t, "127.0.0.1:0")
	moved, ofOther = connect(t, cutOff.LocalAddr().String())
	moveToProcess(t, moved)
	assert.Equal(t, p.cutOf(ofIsolated), relay.Hang, "opened during the partition")
	assert.Equal(t, p.cutOf(ofOther), relay.NoCut, "opened during the partition")
	assert.NilError(t, cutOff.Close())
	assert.Equal(t, p.cutOf(ofIsolated), relay.Hang, "the same until the partition ends")
}

// Guards against an isolated VM that reaches an endpoint by closing its connection before its owner is found.
func TestPartitionForwardsNothingOfClosedConnections(t *testing.T) {
	isolated := &soakVM{proc: &process{}}
	isolated.proc.pid.Store(int64(os.Getpid()))
	p := newPartition(t, []*soakVM{isolated}, []*soakVM{isolated}, relay.Hang)
	closed, accepted := connect(t, "127.0.0.1:0")
	assert.NilError(t, closed.Close())
	assert.Equal(t, p.cutOf(accepted), relay.Reset)
}

// connect opens a connection from a local address to a listener of its own and returns both ends.
func connect(t *testing.T, from string) (connecting *net.TCPConn, accepted net.Conn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	local, err := net.ResolveTCPAddr("tcp4", from)
	assert.NilError(t, err)
	d := net.Dialer{LocalAddr: local, Control: reuseAddress}
	c, err := d.DialContext(t.Context(), "tcp4", ln.Addr().String())
	assert.NilError(t, err)
	accepted, err = ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return c.(*net.TCPConn), accepted
}

// reuseAddress lets several sockets have the same local address.
func reuseAddress(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
	if err != nil {
		return err
	}
	return setErr
}

// moveToProcess hands a connection over to a new process, which keeps it open, and returns its ID.
func moveToProcess(t *testing.T, c *net.TCPConn) int64 {
	f, err := c.File()
	assert.NilError(t, err)
	cmd := command("cat")
	cmd.Stdin = f
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	assert.NilError(t, f.Close())
	assert.NilError(t, c.Close())
	return int64(cmd.Process.Pid)
}
