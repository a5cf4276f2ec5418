package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/splitmix"
)

const (
	// Replicas is the number of VMs that record a stream's origin, in addition to the VM that serves it. All
	// of these end at once only if several availability zones fail together.
	Replicas = 3
	// Lookups is the number of VMs that are queried for an origin: as VMs join and end, the lists of two VMs
	// differ by a few.
	Lookups = Replicas + 2
)

// VM is a VM that may record origins.
type VM struct {
	Peer string // address for datagrams
	Zone string
}

// Order returns the addresses of vms in the order in which they record the origin of a stream. The first
// ones are in different zones. VMs with the same list agree on the order, and a VM that is added or
// removed doesn't change the order of the others within their zones.
func Order(stream Key, vms []VM) []string {
	type ranked struct {
		VM
		rank     uint64
		sameZone int // VMs of its zone that come before it
	}
	list := make([]ranked, len(vms))
	for i, v := range vms {
		list[i] = ranked{VM: v, rank: splitmix.Mix(uint64(stream) ^ xxhash.Sum64String(v.Peer))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Peer, b.Peer)) })
	inZone := map[string]int{}
	for i := range list {
		list[i].sameZone = inZone[list[i].Zone]
		inZone[list[i].Zone]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.sameZone, b.sameZone) })
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].Peer
	}
	return out
}
