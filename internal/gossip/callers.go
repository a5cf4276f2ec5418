package gossip

import (
	"cmp"
	"slices"

	"fescuestand/internal/policy/serving"
)

// AdvertisedAddresses returns the callers' addresses of the VMs that take them, those in
// zone first.
func (m *Members) AdvertisedAddresses(zone string) []string {
	m.mu.Lock()
	vms := slices.Clone(m.choose(m.clock.Now()).named)
	m.mu.Unlock()
	slices.SortFunc(vms, func(a, b serving.VM) int {
		return cmp.Or(rank(a.Zone, zone)-rank(b.Zone, zone), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Address
	}
	return out
}

// AdvertisedCount is how many VMs callers are sent to.
func (m *Members) AdvertisedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.choose(m.clock.Now()).named), 1)
}

func rank(zone, wanted string) int {
	if zone == wanted {
		return 0
	}
	return 1
}
