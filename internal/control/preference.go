package control

import (
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

// shouldRelease reports whether this process should release the engines of a pool to another process.
func (s *state) shouldRelease(now clock.Time, pool string) bool {
	if s.c.leaving.Load() {
		return true
	}
	best := preferredVM(pool, s.renewal.liveVMs)
	p := s.renewal.preferences[pool]
	if p.vm != best {
		p = preference{vm: best, since: now}
		s.renewal.preferences[pool] = p
	}
	stable := now.Sub(p.since) >= minPreferenceAge
	return best != "" && best != s.opt.VM && stable && s.tracker.VMSeenRecently(now, best)
}

// liveVMs returns the VMs whose control processes can take over engines.
func (s *state) liveVMs(now clock.Time) []string {
	var out []string
	for vm := range s.tracker.LiveProcesses(now, s.authority.Holds) {
		out = append(out, vm)
	}
	return out
}

// rendezvousWeight ranks VMs for a pool by rendezvous hashing: all processes compute the same
// ranking, and a VM that joins or leaves moves only its own pools. All engines of a pool prefer the
// same process, as one process must plan the roles and enforce the limit of unavailable engines.
func rendezvousWeight(vm, pool string) uint64 { return xxhash.Sum64String(pool + "\x00" + vm) }

func preferredVM(pool string, live []string) string {
	best := ""
	for _, vm := range live {
		if best == "" || rendezvousWeight(vm, pool) > rendezvousWeight(best, pool) {
			best = vm
		}
	}
	return best
}

// rankOf returns the number of live VMs that a pool prefers to vm.
func rankOf(vm, pool string, live []string) int {
	n := 0
	for _, other := range live {
		if other != vm && rendezvousWeight(other, pool) > rendezvousWeight(vm, pool) {
			n++
		}
	}
	return n
}
