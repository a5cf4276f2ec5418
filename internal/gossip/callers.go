package gossip

import (
	"cmp"
	"slices"

	"fescuestand/internal/policy/serving"
)

// serving returns the VMs that callers are sent to.
func (m *Members) serving() []serving.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var vms []serving.VM
	rate := uint32(0)
	add := func(n *Node, requests uint32) {
		capacity := n.Capacity
		if capacity == 0 {
			capacity = m.own.Capacity
		}
		vms = append(vms, serving.VM{Address: n.Caller, Zone: n.Zone, Capacity: capacity})
		rate += requests
	}
	if m.ready && !m.leaving {
		add(&m.own, m.requests)
	}
	for _, k := range m.known {
		if k.alive(now) {
			add(&k.Node, k.requests)
		}
	}
	return serving.Choose(vms, float64(rate))
}

// Callers returns the callers' addresses of the VMs that take them, those in
// zone first.
func (m *Members) Callers(zone string) []string {
	vms := m.serving()
	slices.SortFunc(vms, func(a, b serving.VM) int {
		return cmp.Or(rank(a.Zone, zone)-rank(b.Zone, zone), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Address
	}
	return out
}

// Serving is how many VMs callers are sent to.
func (m *Members) Serving() int { return max(len(m.serving()), 1) }

func rank(zone, wanted string) int {
	if zone == wanted {
		return 0
	}
	return 1
}
