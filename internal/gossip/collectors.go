package gossip

import "slices"

// keepers is how many VMs are told what each VM counts, beside the one that holds the
// duty: two of them may be lost together.
const keepers = 3

// split divides the VMs that are told load into those that are told counts too and the
// others.
func (m *Members) split(targets []string) (collectors, others []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var alive []Node
	duty := map[string]bool{}
	for peer := range m.choose(now).active {
		if e := m.list.Entries()[peer]; e != nil && e.Alive(now) && !e.Leaving {
			alive = append(alive, e.Node)
			duty[peer] = e.Leader
		}
	}
	slices.SortFunc(alive, func(a, b Node) int {
		if precedes(&a, &b) {
			return -1
		}
		return 1
	})
	first := map[string]bool{}
	for _, n := range alive[:min(len(alive), keepers)] {
		first[n.Peer] = true
	}
	for _, peer := range targets {
		if first[peer] || duty[peer] {
			collectors = append(collectors, peer)
		} else {
			others = append(others, peer)
		}
	}
	return collectors, others
}
