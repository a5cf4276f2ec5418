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

// RelayTargets returns the addresses for callers of other VMs that are advertised and reach endpoints.
func (m *Members) RelayTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, v := range m.selectVMs(m.clock.Now()).advertised {
		if e := m.detector.Entries()[v.Peer]; e != nil && !e.CutOff {
			out = append(out, v.Address)
		}
	}
	return out
}

// AdvertisedCount returns how many VMs are advertised to callers, at least one.
func (m *Members) AdvertisedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.selectVMs(m.clock.Now()).advertised), 1)
}

// PeerCounts returns the numbers of other VMs that are advertised to callers and that are shutting
// down.
func (m *Members) PeerCounts() (advertised, leaving int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, v := range m.selectVMs(now).advertised {
		if v.Peer != m.own.Peer {
			advertised++
		}
	}
	for _, e := range m.detector.Entries() {
		if e.Leaving && e.Alive(now) {
			leaving++
		}
	}
	return advertised, leaving
}

func zoneRank(zone, preferred string) int {
	if zone == preferred {
		return 0
	}
	return 1
}
