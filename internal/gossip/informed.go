package gossip

import (
	"cmp"
	"slices"
)

// Informed returns the addresses of the VMs that know what engines have cached,
// those of this VM's zone first.
func (m *Members) Informed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var list []Node
	for _, e := range m.list.Entries() {
		if e.TracksCaches && e.Alive(now) {
			list = append(list, e.Node)
		}
	}
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Or(rank(a.Zone, m.own.Zone)-rank(b.Zone, m.own.Zone), cmp.Compare(a.Peer, b.Peer))
	})
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = n.Peer
	}
	return out
}

// Heard returns the addresses for datagrams of the VMs of the active set that are heard,
// and this VM's own, in order.
func (m *Members) Heard() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := []string{m.own.Peer}
	for peer := range m.choose(now).active {
		if l := m.links[peer]; l != nil && peer != m.own.Peer && m.beatsArrive(now, l) {
			out = append(out, peer)
		}
	}
	slices.Sort(out)
	return out
}
