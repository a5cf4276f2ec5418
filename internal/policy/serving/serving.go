// Package serving chooses the VMs that callers are named.
//
// Load pattern: callers choose among the addresses that they are named at random,
// and each VM that serves them keeps connections to every endpoint and believes
// what it has sent itself. Spread over all VMs, the traffic of a small deployment
// leaves each connection idle until its endpoint closes it, so that every fourth
// request opens a new one, and each VM places requests by the others' counts of a
// tenth of a second ago. Spread over small VMs, the callers of these wait for their
// links. So as few VMs are named as can carry the load with room for a burst and a
// loss, some in each zone; the others stand by.
//
// The package does no I/O and reads no clock.
package serving

import (
	"cmp"
	"slices"
)

const (
	// leastNamed VMs are named however small the load is, and one of each zone: a
	// third of the callers meet the loss of a VM.
	leastNamed = 3
	// headroom is the capacity of those that are named over the load: a burst
	// doubles it, and a VM that is lost leaves its part to the others.
	headroom = 4
	// smallShare of the largest VM's capacity makes a VM a small one, and
	// enoughShare of all capacity is what the others must have to do without
	// them.
	smallShare  = 0.5
	enoughShare = 0.5
	// leastActive is how many VMs know the load of all, and activeFactor how many for
	// each that is named: those that are named next take over with what they know.
	leastActive  = 16
	activeFactor = 2
	// unknownNamed VMs are named at most, and are the active set, while the load isn't
	// known: more would place the first requests of all without each other's counts.
	unknownNamed = 32
)

// VM is one that takes callers.
type VM struct {
	Address  string // for callers
	Peer     string // address for other VMs
	Zone     string
	Capacity uint32 // requests a second
}

// ChooseAdvertised returns the VMs to name under a load of rate requests a second, in the
// order in which they are wanted. All VMs that know the same choose the same. A rate
// of zero isn't known: many large ones are named.
func ChooseAdvertised(vms []VM, rate float64) []VM {
	large := largest(vms)
	inTurn := byZoneInTurn(large)
	if rate <= 0 {
		return inTurn[:min(len(inTurn), unknownNamed)]
	}
	least := max(leastNamed, zones(large))
	sum := 0.0
	for i, v := range inTurn {
		if i >= least && sum >= headroom*rate {
			return inTurn[:i]
		}
		sum += float64(v.Capacity)
	}
	return inTurn
}

// ActiveSet returns the VMs that Choose names and those that are next in turn, which stand
// by with the knowledge that placing requests needs. The others need none of it.
func ActiveSet(vms []VM, rate float64) []VM {
	named := ChooseAdvertised(vms, rate)
	n := max(leastActive, activeFactor*len(named))
	if rate <= 0 {
		n = unknownNamed
	}
	if len(vms) <= n {
		return vms
	}
	return inOrder(vms)[:n]
}

// inOrder orders VMs as they are named: all large ones first.
func inOrder(vms []VM) []VM {
	large := largest(vms)
	if len(large) == len(vms) {
		return byZoneInTurn(vms)
	}
	isLarge := make(map[string]bool, len(large))
	for _, v := range large {
		isLarge[v.Address] = true
	}
	small := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return isLarge[v.Address] })
	return append(byZoneInTurn(large), byZoneInTurn(small)...)
}

// byZoneInTurn orders VMs so that each zone has its first before one has a second;
// within a zone the larger ones come first.
func byZoneInTurn(vms []VM) []VM {
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

func zones(vms []VM) int {
	seen := map[string]bool{}
	for _, v := range vms {
		seen[v.Zone] = true
	}
	return len(seen)
}

// largest leaves the small VMs out if the others can carry the load. Callers
// choose among the addresses at random: a VM with a twentieth of another's link
// would get as many requests, and its callers would wait for it.
func largest(vms []VM) []VM {
	top, all := uint32(0), uint32(0)
	for _, v := range vms {
		top = max(top, v.Capacity)
		all += v.Capacity
	}
	var large []VM
	sum := uint32(0)
	for _, v := range vms {
		if float64(v.Capacity) >= smallShare*float64(top) {
			large = append(large, v)
			sum += v.Capacity
		}
	}
	if float64(sum) < enoughShare*float64(all) {
		return vms
	}
	return large
}
