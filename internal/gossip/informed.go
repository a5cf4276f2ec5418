package gossip

import (
	"cmp"
	"slices"
)

// CacheTrackers returns the datagram addresses of the VMs that track what engines have cached,
// those of this VM's zone first.
func (m *Members) CacheTrackers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var list []Node
	for _, e := range m.detector.Entries() {
		if e.Informed && e.Alive(now) {
			list = append(list, e.Node)
		}
	}
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Or(zoneRank(a.Zone, m.own.Zone)-zoneRank(b.Zone, m.own.Zone), cmp.Compare(a.Peer, b.Peer))
	})
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = n.Peer
	}
	return out
}

// ResponsiveActive returns the sorted datagram addresses of the VMs of the active set whose beats
// arrive, and this VM's own.
func (m *Members) ResponsiveActive() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := []string{m.own.Peer}
	for peer := range m.selectVMs(now).active {
		if l := m.links[peer]; l != nil && peer != m.own.Peer && m.isResponsive(now, l) {
			out = append(out, peer)
		}
	}
	slices.Sort(out)
	return out
}
