package control

import (
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

func (s *state) preferredElsewhere(now clock.Time, pool string) bool {
	if s.c.leaving.Load() {
		return true
	}
	best := preferred(pool, s.beat.live)
	p := s.beat.prefers[pool]
	if p.vm != best {
		p = preference{vm: best, since: now}
		s.beat.prefers[pool] = p
	}
	stable := now.Sub(p.since) >= stableAfter
	return best != "" && best != s.opt.VM && stable && s.tracker.Recent(now, best)
}

// live returns the VMs whose control processes can take engines.
func (s *state) live(now clock.Time) []string {
	var out []string
	for vm := range s.tracker.Live(now, s.auth.Holds) {
		out = append(out, vm)
	}
	return out
}

// weight ranks VMs for a pool by rendezvous hashing: every process ranks them
// alike, and a VM that comes or goes moves only its own pools. All engines of a
// pool prefer one process, since planning the roles and keeping within the
// away share need one mind.
func weight(vm, pool string) uint64 { return xxhash.Sum64String(pool + "\x00" + vm) }

func preferred(pool string, live []string) string {
	best := ""
	for _, vm := range live {
		if best == "" || weight(vm, pool) > weight(best, pool) {
			best = vm
		}
	}
	return best
}

// rankOf counts the live VMs that come before vm for a pool.
func rankOf(vm, pool string, live []string) int {
	n := 0
	for _, other := range live {
		if other != vm && weight(other, pool) > weight(vm, pool) {
			n++
		}
	}
	return n
}
