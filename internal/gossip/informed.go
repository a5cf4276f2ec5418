package gossip

import (
	"cmp"
	"slices"
)

// SetInformed tells that this VM knows what engines have cached.
func (m *Members) SetInformed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.informed = true
}

// Informed returns the addresses of the VMs that know what engines have cached,
// those of this VM's zone first.
func (m *Members) Informed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var list []Node
	for _, k := range m.known {
		if k.informed && k.heardLately(now) {
			list = append(list, k.Node)
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

// Heard returns the addresses for datagrams of the VMs that are heard, and this
// VM's own, in order.
func (m *Members) Heard() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := []string{m.own.Peer}
	for addr, k := range m.known {
		if k.heardLately(now) {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}
