// Package simnet is an in-memory network for tests in a testing/synctest bubble.
//
// Hosts listen and dial as with package net. A connection is a stream of bytes in each direction, which takes the
// network's latency, ends by a half-close, a close or a reset, and stays open while a host is silent. Everything
// waits on channels and timers, so that the bubble's time advances as soon as all goroutines wait: what is measured
// doesn't depend on the machine's load.
//
// A delay follows from the network's seed, the hosts and the moment, so that one connection more or less doesn't change
// those of the others. Goroutines that run at the same simulated moment are ordered by the scheduler; jitter keeps such
// moments rare.
//
// Datagrams take the latency too, and may be lost. Those that a silent host sends or is sent are lost.
//
// Not simulated: bandwidth, loss on connections, a full backlog, keep-alive probes and TCP_USER_TIMEOUT.
package simnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

// Options configures a Network.
type Options struct {
	// Seed determines the jitter.
	Seed uint64
	// Latency is the shortest time that data takes to another host, and Jitter the most that is added to it.
	Latency, Jitter time.Duration
	// Loss is the share of the datagrams that are lost.
	Loss float64
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	o    Options
	done chan struct{} // closed by Close

	mu      sync.Mutex // also guards the hosts, listeners and connections
	closed  bool
	hosts   map[netip.Addr]*Host
	changed chan struct{} // closed and replaced when a host resumes
	conns   map[*Conn]struct{}
	cuts    map[[2]netip.Addr]Cut
}

// New returns a network without hosts.
func New(o Options) *Network {
	return &Network{
		o: o, done: make(chan struct{}), hosts: map[netip.Addr]*Host{}, changed: make(chan struct{}),
		conns: map[*Conn]struct{}{}, cuts: map[[2]netip.Addr]Cut{},
	}
}

// Close closes all listeners and connections and ends all dials, so that no goroutine waits for the network.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.closed = true
	close(n.done)
	for _, h := range n.hosts {
		for _, l := range h.listeners {
			l.close()
		}
		for _, p := range h.packetConns {
			p.close()
		}
	}
	for c := range n.conns {
		c.close(true)
	}
}

// firstHost precedes the address of the first host.
var firstHost = netip.MustParseAddr("10.0.0.0")

// firstPort is the first port that is chosen for a listener or a dial.
const firstPort = 20000

// Host is a machine of a Network.
type Host struct {
	n           *Network
	ip          netip.Addr
	nextPort    uint16
	listeners   map[uint16]*Listener
	packetConns map[uint16]*PacketConn
	silent      bool
}

// NewHost adds a host.
func (n *Network) NewHost() *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	ip := firstHost.Next()
	for n.hosts[ip] != nil {
		ip = ip.Next()
	}
	h := &Host{n: n, ip: ip, nextPort: firstPort, listeners: map[uint16]*Listener{}, packetConns: map[uint16]*PacketConn{}}
	n.hosts[ip] = h
	return h
}

// IP returns the host's address.
func (h *Host) IP() netip.Addr { return h.ip }

// Silence holds back everything that h sends or is sent from now on. Its connections stay open, and dials from and
// to it wait.
func (h *Host) Silence() {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.silent = true
	for c := range h.n.conns {
		c.hold()
	}
}

// Resume ends a silence. What was held back arrives after the latency.
func (h *Host) Resume() {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.silent = false
	for c := range h.n.conns {
		c.release()
	}
	close(h.n.changed)
	h.n.changed = make(chan struct{})
}

// CloseAll closes the host's listeners and connections, as an operating system does when a process ends.
func (h *Host) CloseAll() {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	for _, l := range h.listeners {
		l.close()
	}
	for _, p := range h.packetConns {
		p.close()
	}
	for c := range h.n.conns {
		if c.h == h {
			c.close(c.abortive)
		}
	}
}

// port returns an unused port. The network's mutex is held.
func (h *Host) port() uint16 {
	p := h.nextPort
	h.nextPort++
	return p
}

// Listen accepts connections on a port, or on an unused one if port is zero. It fails with EADDRINUSE if the port is
// in use.
func (h *Host) Listen(port uint16) (*Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if port == 0 {
		port = h.port()
	}
	addr := tcpAddr(h.ip, port)
	if h.listeners[port] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: addr, Err: syscall.EADDRINUSE}
	}
	l := &Listener{h: h, port: port, addr: addr, changed: make(chan struct{})}
	h.listeners[port] = l
	return l, nil
}

// DialContext connects to an address as net.Dialer does. It fails with ECONNREFUSED if nobody listens there. If no
// host has the address, or one of the hosts is silent, it waits until ctx ends.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	c, err := h.dial(ctx, to)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: tcpAddr(to.Addr(), to.Port()), Err: err}
	}
	return c, nil
}

func (h *Host) dial(ctx context.Context, to netip.AddrPort) (*Conn, error) {
	if err := h.n.travel(ctx, h, to.Addr()); err != nil {
		return nil, err
	}
	c := h.connect(to)
	if err := h.n.travel(ctx, h, to.Addr()); err != nil {
		if c != nil {
			c.Reset()
		}
		return nil, err
	}
	if c == nil {
		return nil, syscall.ECONNREFUSED
	}
	return c, nil
}

// connect returns a connection to the listener at an address, or nil if there is none.
func (h *Host) connect(to netip.AddrPort) *Conn {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	peer := h.n.hosts[to.Addr()]
	l := peer.listeners[to.Port()]
	if l == nil || h.n.closed {
		return nil
	}
	local, remote := newConn(h), newConn(peer)
	local.peer, remote.peer = remote, local
	local.addr, remote.addr = tcpAddr(h.ip, h.port()), l.addr
	h.n.conns[local], h.n.conns[remote] = struct{}{}, struct{}{}
	if h.n.cutBetween(h.ip, to.Addr()) >= Reset {
		remote.close(true)
		return local
	}
	l.backlog = append(l.backlog, remote)
	l.signal()
	return local
}

// travel waits for the time that data takes between two hosts.
func (n *Network) travel(ctx context.Context, from *Host, to netip.Addr) error {
	if err := wait(ctx, n.done, time.After(n.delay(from.ip, to))); err != nil {
		return err
	}
	for {
		n.mu.Lock()
		peer, changed := n.hosts[to], n.changed
		open := peer != nil && !peer.silent && !from.silent
		n.mu.Unlock()
		if open {
			return nil
		}
		if err := wait(ctx, n.done, changed); err != nil {
			return err
		}
	}
}

// wait waits for c. It fails if ctx ends or the network is closed before.
func wait[T any](ctx context.Context, done <-chan struct{}, c <-chan T) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
		return net.ErrClosed
	}
}

// delay returns the time that data takes which is sent now.
func (n *Network) delay(from, to netip.Addr) time.Duration {
	if n.o.Jitter <= 0 {
		return n.o.Latency
	}
	return n.o.Latency + time.Duration(n.chance(from, to)%uint64(n.o.Jitter))
}

// chance returns a random number for what is sent now.
func (n *Network) chance(from, to any) uint64 {
	return xxhash.Sum64String(fmt.Sprint(n.o.Seed, from, to, time.Now().UnixNano()))
}

func tcpAddr(ip netip.Addr, port uint16) *net.TCPAddr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, port))
}

// Clock is a monotonic clock that follows the bubble's time, which the machine's boot-time clock doesn't.
type Clock struct{}

// Now implements clock.Clock.
func (Clock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }
