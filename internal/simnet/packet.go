package simnet

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// packetBacklog is the number of datagrams that a PacketConn holds; further ones are lost.
const packetBacklog = 1024

// packet is a datagram on its way, or received and not read yet.
type packet struct {
	data    []byte
	from    *net.UDPAddr
	arrival time.Time
}

// PacketConn is a net.PacketConn of a Host.
type PacketConn struct {
	h    *Host
	port uint16
	addr *net.UDPAddr

	// The following fields are guarded by the network's mutex.
	incoming     []packet // in the order of their arrival
	readDeadline time.Time
	closed       bool
	changed      chan struct{} // closed and replaced when these fields change
}

// ListenPacket receives datagrams on a port. It fails with EADDRINUSE if the port is in use.
func (h *Host) ListenPacket(port uint16) (*PacketConn, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if port == 0 {
		port = h.port()
	}
	addr := net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.ip, port))
	if h.packetConns[port] != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Addr: addr, Err: syscall.EADDRINUSE}
	}
	p := &PacketConn{h: h, port: port, addr: addr, changed: make(chan struct{})}
	h.packetConns[port] = p
	return p, nil
}

// WriteTo implements net.PacketConn. A datagram to nobody, or across a cut, is lost.
func (p *PacketConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	to, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return 0, p.opError("write", err)
	}
	n := p.h.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.closed {
		return 0, p.opError("write", net.ErrClosed)
	}
	peer := n.hosts[to.Addr()]
	if peer == nil || peer.silent || p.h.silent || n.cutBetween(p.h.ip, peer.ip) != NoCut || n.isLost(p.addr, to) {
		return len(b), nil
	}
	if receiver := peer.packetConns[to.Port()]; receiver != nil {
		receiver.receive(packet{append([]byte(nil), b...), p.addr, time.Now().Add(n.delay(p.h.ip, to.Addr()))})
	}
	return len(b), nil
}

// isLost reports whether a datagram that is sent now is lost.
func (n *Network) isLost(from, to any) bool {
	const shares = 1 << 20
	return n.o.Loss > 0 && n.chance(from, to)%shares < uint64(n.o.Loss*shares)
}

// receive adds a datagram. The network's mutex is held.
func (p *PacketConn) receive(d packet) {
	if len(p.incoming) >= packetBacklog {
		return
	}
	at := len(p.incoming)
	for at > 0 && p.incoming[at-1].arrival.After(d.arrival) {
		at--
	}
	p.incoming = append(p.incoming, packet{})
	copy(p.incoming[at+1:], p.incoming[at:])
	p.incoming[at] = d
	p.signal()
}

// ReadFrom implements net.PacketConn. It cuts off what doesn't fit into b.
func (p *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		d, wait, err := p.next()
		switch {
		case err != nil:
			return 0, nil, p.opError("read", err)
		case wait == nil:
			return copy(b, d.data), d.from, nil
		}
		wait()
	}
}

// next returns the next datagram, or a function that waits until there may be one.
func (p *PacketConn) next() (d packet, wait func(), err error) {
	p.h.n.mu.Lock()
	defer p.h.n.mu.Unlock()
	switch {
	case p.closed:
		return packet{}, nil, net.ErrClosed
	case passed(p.readDeadline):
		return packet{}, nil, os.ErrDeadlineExceeded
	case len(p.incoming) == 0:
		return packet{}, waitFor(p.changed, p.readDeadline), nil
	}
	d = p.incoming[0]
	if d.arrival.After(time.Now()) {
		until := d.arrival
		if !p.readDeadline.IsZero() && p.readDeadline.Before(until) {
			until = p.readDeadline
		}
		return packet{}, waitFor(p.changed, until), nil
	}
	p.incoming = p.incoming[1:]
	return d, nil, nil
}

// Close implements net.PacketConn.
func (p *PacketConn) Close() error {
	p.h.n.mu.Lock()
	defer p.h.n.mu.Unlock()
	if p.closed {
		return p.opError("close", net.ErrClosed)
	}
	p.close()
	return nil
}

// close closes the connection. The network's mutex is held.
func (p *PacketConn) close() {
	if p.closed {
		return
	}
	p.closed, p.incoming = true, nil
	delete(p.h.packetConns, p.port)
	p.signal()
}

// LocalAddr implements net.PacketConn.
func (p *PacketConn) LocalAddr() net.Addr { return p.addr }

// SetDeadline implements net.PacketConn.
func (p *PacketConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.h.n.mu.Lock()
	defer p.h.n.mu.Unlock()
	p.readDeadline = t
	p.signal()
	return nil
}

// SetWriteDeadline implements net.PacketConn. Writes don't wait.
func (p *PacketConn) SetWriteDeadline(time.Time) error { return nil }

// signal wakes reads. The network's mutex is held.
func (p *PacketConn) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *PacketConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "udp", Addr: p.addr, Err: err}
}
