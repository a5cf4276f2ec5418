// Package network opens the sockets of a VM's process.
//
// The process opens no socket elsewhere, so that tests can run whole VMs on a simulated network (package simnet).
package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fescuestand/internal/stall"
)

// Network listens and dials, as package net does.
type Network interface {
	// Listen accepts connections on an address.
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	// ListenPacket sends and receives datagrams on an address.
	ListenPacket(ctx context.Context, network, address string) (net.PacketConn, error)
	// Dialer returns a dialer.
	Dialer(o DialOptions) stall.Dialer
}

// DialOptions are options of connections. The zero value is for those of package net.
type DialOptions struct {
	// KeepAlivePeriod is the idle time before, and the interval between, TCP keep-alive probes. A connection on which
	// two are unanswered fails. Zero is for the defaults of package net.
	KeepAlivePeriod time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: a connection whose sent data stays unacknowledged for that long fails. Zero is
	// for the kernel's default.
	UserTimeout time.Duration
}

// unansweredProbes is the number of keep-alive probes without an answer after which a connection fails.
const unansweredProbes = 2

// Machine is the network of this machine.
type Machine struct{}

var _ Network = Machine{}

// Listen implements Network.
func (Machine) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, network, address)
}

// ListenPacket implements Network.
func (Machine) ListenPacket(ctx context.Context, network, address string) (net.PacketConn, error) {
	var c net.ListenConfig
	return c.ListenPacket(ctx, network, address)
}

// Dialer implements Network.
func (Machine) Dialer(o DialOptions) stall.Dialer {
	d := &net.Dialer{}
	if p := o.KeepAlivePeriod; p > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p, Interval: p, Count: unansweredProbes}
	}
	if o.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, o.UserTimeout) }
	}
	return d
}

// setUserTimeout sets TCP_USER_TIMEOUT. A kernel without it only detects dead peers later.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
