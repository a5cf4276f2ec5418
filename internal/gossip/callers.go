package gossip

import (
	"cmp"
	"slices"

	"fescuestand/internal/policy/serving"
)

// AdvertisedAddresses returns the addresses to advertise to callers, those in zone first.
func (m *Members) AdvertisedAddresses(zone string) []string {
	m.mu.Lock()
	vms := slices.Clone(m.selectVMs(m.clock.Now()).advertised)
	m.mu.Unlock()
	slices.SortFunc(vms, func(a, b serving.VM) int {
		return cmp.Or(zoneRank(a.Zone, zone)-zoneRank(b.Zone, zone), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, len(vms))
	for i, v := range vms {
		out[i] = v.Address
	}
	return out
}

// AdvertisedCount returns how many VMs are advertised to callers, at least one.
func (m *Members) AdvertisedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.selectVMs(m.clock.Now()).advertised), 1)
}

func zoneRank(zone, preferred string) int {
	if zone == preferred {
		return 0
	}
	return 1
}
