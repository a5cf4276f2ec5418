package simnet

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"fescuestand/internal/network"
	"fescuestand/internal/stall"
)

// Sockets returns the network as seen from the host.
func (h *Host) Sockets() network.Network { return sockets{h} }

// sockets implements network.Network.
type sockets struct{ h *Host }

// Listen implements network.Network. It fails with EADDRNOTAVAIL if the address is another host's.
func (s sockets) Listen(_ context.Context, _, address string) (net.Listener, error) {
	port, err := s.h.portOf(address)
	if err != nil {
		return nil, err
	}
	l, err := s.h.Listen(port)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// ListenPacket implements network.Network. It fails with EADDRNOTAVAIL if the address is another host's.
func (s sockets) ListenPacket(_ context.Context, _, address string) (net.PacketConn, error) {
	port, err := s.h.portOf(address)
	if err != nil {
		return nil, err
	}
	p, err := s.h.ListenPacket(port)
	if err != nil {
		return nil, err
	}
	return p, nil
}

// Dialer implements network.Network. The options have no effect.
func (s sockets) Dialer(network.DialOptions) stall.Dialer { return s.h }

// portOf returns the port of an address of the host.
func (h *Host) portOf(address string) (uint16, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, &net.OpError{Op: "listen", Err: err}
	}
	if a.Addr() != h.ip {
		return 0, &net.OpError{Op: "listen", Addr: net.TCPAddrFromAddrPort(a), Err: syscall.EADDRNOTAVAIL}
	}
	return a.Port(), nil
}
