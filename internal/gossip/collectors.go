package gossip

import "slices"

// usageCollectors is how many VMs receive each VM's usage counts, in addition to the leader: two of
// them may be lost together.
const usageCollectors = 3

// splitCollectors splits the targets of a load beat into the VMs that also receive usage counts and
// the others.
func (m *Members) splitCollectors(targets []string) (collectors, others []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var alive []Node
	leader := map[string]bool{}
	for peer := range m.selectVMs(now).active {
		if e := m.detector.Entries()[peer]; e != nil && e.Alive(now) && !e.Leaving {
			alive = append(alive, e.Node)
			leader[peer] = e.Duty
		}
	}
	slices.SortFunc(alive, func(a, b Node) int {
		if readsBefore(&a, &b) {
			return -1
		}
		return 1
	})
	first := map[string]bool{}
	for _, n := range alive[:min(len(alive), usageCollectors)] {
		first[n.Peer] = true
	}
	for _, peer := range targets {
		if first[peer] || leader[peer] {
			collectors = append(collectors, peer)
		} else {
			others = append(others, peer)
		}
	}
	return collectors, others
}
