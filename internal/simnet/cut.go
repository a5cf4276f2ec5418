package simnet

import "net/netip"

// Cut says what happens to the connections between two hosts.
type Cut int

// The cuts.
const (
	NoCut     Cut = iota
	Hang          // connections stall, and new ones are accepted and carry nothing
	Reset         // connections are reset, new ones as soon as they are accepted
	RefuseNew     // as Reset for new connections; established ones go on
)

// SetCut cuts the connections between two hosts, or ends that with NoCut. What a Hang has held back then arrives.
func (n *Network) SetCut(a, b *Host, cut Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a.ip, b.ip)] = cut
	for c := range n.conns {
		if pairOf(c.h.ip, c.peer.h.ip) != pairOf(a.ip, b.ip) {
			continue
		}
		switch cut {
		case Hang:
			c.hold()
		case Reset:
			c.fail()
		default:
			c.release()
		}
	}
}

// cutBetween returns what happens to connections between two hosts. The network's mutex is held.
func (n *Network) cutBetween(a, b netip.Addr) Cut { return n.cuts[pairOf(a, b)] }

// pairOf returns two addresses in their order.
func pairOf(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

// fail has a reset arrive at this end, which the other one hasn't sent. The network's mutex is held.
func (c *Conn) fail() {
	if !c.closed {
		c.peer.send(segment{kind: reset})
	}
}
