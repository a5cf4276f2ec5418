// Package serving chooses which VMs are advertised to callers.
//
// Load pattern: each caller picks one of the advertised addresses at random. Each VM that serves
// callers keeps connections to every endpoint, and its own requests are the only ones it can count
// without delay. If the traffic of a small deployment is spread over all VMs, connections stay idle
// until their endpoint closes them, so that every fourth request opens a new one, and each VM
// places requests by the other VMs' counts of a tenth of a second ago. If small VMs are advertised
// too, their callers wait for these VMs' network links.
//
// Approach: as few VMs are advertised as can carry the load with headroom for a burst and for the
// loss of a VM, some of them in each zone. The others are on standby.
//
// The package does no I/O and reads no clock.
package serving

import (
	"cmp"
	"slices"
)

const (
	// minAdvertised is the number of VMs that are advertised however small the load is, in addition
	// to the rule of at least one in each zone. With three, the loss of a VM affects a third of the
	// callers.
	minAdvertised = 3
	// headroom is the ratio of the advertised VMs' capacity to the load: a burst doubles the load,
	// and the load of a VM that is lost moves to the others.
	headroom = 4
	// smallCapacityRatio is the fraction of the largest VM's capacity below which a VM is a small
	// one.
	smallCapacityRatio = 0.5
	// minLargeCapacityShare is the share of the total capacity that the large VMs must have for the
	// small ones to be left out.
	minLargeCapacityShare = 0.5
	// minActive is the minimum size of the active set, whose VMs receive the load of all, and
	// activePerAdvertised is its size for each advertised VM: the VMs that are advertised next then
	// have the load data already.
	minActive           = 16
	activePerAdvertised = 2
	// maxWithUnknownRate is the maximum number of advertised VMs, and the size of the active set,
	// while the load is unknown. More VMs would place their first requests without each other's
	// counts.
	maxWithUnknownRate = 32
)

// VM is a candidate for the VMs that are advertised to callers.
type VM struct {
	Address  string // for callers
	Peer     string // address for other VMs
	Zone     string
	Capacity uint32 // requests per second
}

// ChooseAdvertised returns the VMs to advertise to callers under a load of rate requests per
// second, in order of preference. It is deterministic: VMs with the same input choose the same set.
// A rate of zero means that the load is unknown; up to maxWithUnknownRate large VMs are advertised
// then.
func ChooseAdvertised(vms []VM, rate float64) []VM {
	large := largeVMs(vms)
	ordered := interleaveZones(large)
	if rate <= 0 {
		return ordered[:min(len(ordered), maxWithUnknownRate)]
	}
	minCount := max(minAdvertised, countZones(large))
	sum := 0.0
	for i, v := range ordered {
		if i >= minCount && sum >= headroom*rate {
			return ordered[:i]
		}
		sum += float64(v.Capacity)
	}
	return ordered
}

// ActiveSet returns the VMs that ChooseAdvertised returns and those that follow in the same order.
// The latter are on standby and receive the load data that placing requests takes. VMs outside the
// active set don't receive it.
func ActiveSet(vms []VM, rate float64) []VM {
	advertised := ChooseAdvertised(vms, rate)
	n := max(minActive, activePerAdvertised*len(advertised))
	if rate <= 0 {
		n = maxWithUnknownRate
	}
	if len(vms) <= n {
		return vms
	}
	return advertisingOrder(vms)[:n]
}

// advertisingOrder sorts VMs by preference: all large ones come before the small ones.
func advertisingOrder(vms []VM) []VM {
	large := largeVMs(vms)
	if len(large) == len(vms) {
		return interleaveZones(vms)
	}
	isLarge := make(map[string]bool, len(large))
	for _, v := range large {
		isLarge[v.Address] = true
	}
	small := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return isLarge[v.Address] })
	return append(interleaveZones(large), interleaveZones(small)...)
}

// interleaveZones sorts VMs so that the first VM of each zone comes before the second one of any.
// Within a zone, larger VMs come first.
func interleaveZones(vms []VM) []VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Address, b.Address))
	})
	rank := map[string]int{} // of each VM in its zone
	seen := map[string]int{}
	for _, v := range out {
		rank[v.Address] = seen[v.Zone]
		seen[v.Zone]++
	}
	slices.SortStableFunc(out, func(a, b VM) int { return cmp.Compare(rank[a.Address], rank[b.Address]) })
	return out
}

func countZones(vms []VM) int {
	seen := map[string]bool{}
	for _, v := range vms {
		seen[v.Zone] = true
	}
	return len(seen)
}

// largeVMs returns vms without the small ones, or all of them if the large ones can't carry the
// load. As callers pick addresses at random, a VM with a twentieth of another's network bandwidth
// would get as many requests, and its callers would wait.
func largeVMs(vms []VM) []VM {
	maxCapacity, total := uint32(0), uint32(0)
	for _, v := range vms {
		maxCapacity = max(maxCapacity, v.Capacity)
		total += v.Capacity
	}
	var large []VM
	sum := uint32(0)
	for _, v := range vms {
		if float64(v.Capacity) >= smallCapacityRatio*float64(maxCapacity) {
			large = append(large, v)
			sum += v.Capacity
		}
	}
	if float64(sum) < minLargeCapacityShare*float64(total) {
		return vms
	}
	return large
}
