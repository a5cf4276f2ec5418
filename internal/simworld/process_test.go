package simworld

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/network"
	"fescuestand/internal/stall"
)

// process is one process of a VM. What it has left to do after it was killed reaches nobody.
type process struct {
	killed atomic.Bool
	cancel context.CancelFunc
}

func (p *process) isKilled() bool { return p.killed.Load() }

// kill ends the VM's process without a signal, as SIGKILL or a loss of power does.
func (v *machine) kill() {
	begun := time.Now()
	v.process.killed.Store(true)
	v.host.CloseAll()
	v.process.cancel()
	err := <-v.ended
	v.w.t.Logf("%s was killed: %v", v.name, err)
	took := time.Since(begun)
	assert.Check(v.w.t, took < restartDelay, "seed %d: %s's units ended %s after the kill", v.w.seed, v.name, took)
}

// processNetwork is the network of a process, which opens no socket once it was killed.
type processNetwork struct {
	network.Network
	process *process
}

// Listen implements network.Network.
func (n processNetwork) Listen(ctx context.Context, kind, address string) (net.Listener, error) {
	if n.process.isKilled() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.Listen(ctx, kind, address)
}

// ListenPacket implements network.Network.
func (n processNetwork) ListenPacket(ctx context.Context, kind, address string) (net.PacketConn, error) {
	if n.process.isKilled() {
		return nil, syscall.ENETDOWN
	}
	return n.Network.ListenPacket(ctx, kind, address)
}

// Dialer implements network.Network.
func (n processNetwork) Dialer(o network.DialOptions) stall.Dialer {
	return processDialer{n.Network.Dialer(o), n.process}
}

type processDialer struct {
	stall.Dialer
	process *process
}

// DialContext implements stall.Dialer.
func (d processDialer) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	if d.process.isKilled() {
		return nil, syscall.ENETDOWN
	}
	c, err := d.Dialer.DialContext(ctx, kind, address)
	if err == nil && d.process.isKilled() {
		_ = c.Close() // nobody uses it
		return nil, syscall.ENETDOWN
	}
	return c, err
}
