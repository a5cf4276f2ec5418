package gossip

import (
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/wire"
)

func isAboutStreams(b *wire.Beat) bool {
	return len(b.GetStreamOrigins()) > 0 || len(b.GetArchivedOrigins()) > 0 || b.GetStreamQuery() != nil || b.GetStreamAnswer() != nil
}

// SendAboutStreams sends a datagram about streams to other VMs.
func (u *Unit) SendAboutStreams(peers []string, b *wire.Beat) {
	b.Peer = u.members.own.Peer
	// VMs of older builds drop it as an answer to another process's query, and don't take it for load.
	b.Knowledge = &wire.Knowledge{Answer: true}
	u.sendTo(peers, b)
}

// StreamReplicas returns the addresses of the first n VMs, of those that serve callers now or next, that
// record the origin of a stream. This VM may be one of them.
func (m *Members) StreamReplicas(stream origin.Key, n int) []string {
	order := origin.Order(stream, m.activeVMs())
	return order[:min(n, len(order))]
}

// archiverOrder determines the order of the VMs that write origins of streams to the store.
const archiverOrder origin.Key = 0

// Archivers returns the addresses of the first n VMs that may write origins of streams to the store.
func (m *Members) Archivers(n int) []string { return m.StreamReplicas(archiverOrder, n) }

func (m *Members) activeVMs() []origin.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	s := m.selectVMs(now)
	out := make([]origin.VM, 0, len(s.active))
	for peer := range s.active {
		if peer == m.own.Peer {
			out = append(out, origin.VM{Peer: peer, Zone: m.own.Zone})
		} else if e := m.detector.Entries()[peer]; e != nil {
			out = append(out, origin.VM{Peer: peer, Zone: e.Zone})
		}
	}
	return out
}

// maxViewAge is the age of the newest read of the endpoints' entries by any VM from which this VM may lack
// an endpoint that was added: two reads and their announcements are missing.
const maxViewAge = 2 * maxFreshAge

// HasFreshView reports whether this VM probably knows all endpoints: it has read their entries lately, or
// has heard of a VM that did.
func (m *Members) HasFreshView() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := max(m.newestReadAt, m.readAt)
	return newest != 0 && m.clock.Now().Sub(newest) < maxViewAge
}
