package swim

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// moreTransmits beyond the binary logarithm of the number of VMs is how often a
	// VM passes a record on with its probes and answers.
	moreTransmits = 6
	// pushFanout VMs are told at once of what is urgent, pushRounds times: with six
	// messages a VM one in 400 isn't reached, and learns it by a probe.
	pushFanout = 3
	pushRounds = 2
	// maxUpdates records fit a datagram of 2 kB.
	maxUpdates = 20
	// settledAfter is how long a record is passed on in any case: for a moment two
	// VMs may know the same and the others not.
	settledAfter = 3 * time.Second
)

// rumor is a record that is being passed on.
type rumor struct {
	peer  string
	left  int // transmissions
	push  int // rounds of the urgent ones
	since uint64
	at    clock.Time // when it began
}

// rumors are the records that this VM passes on, by address.
type rumors struct {
	all map[string]*rumor
	n   uint64 // rumors so far
}

// add begins to pass the record of peer on, among size VMs.
func (r *rumors) add(now clock.Time, peer string, size int, urgent bool) {
	r.n++
	m := &rumor{peer: peer, left: moreTransmits + bits.Len(uint(size)), since: r.n, at: now}
	if urgent {
		m.push = pushRounds
	}
	r.all[peer] = m
}

// settle ends the passing on of what another VM, chosen at random, has all come to know
// too: the others know it, or will learn it by the whole list.
func (r *rumors) settle(now clock.Time) {
	for peer, m := range r.all {
		if m.push <= 0 && now.Sub(m.at) > settledAfter {
			delete(r.all, peer)
		}
	}
}

// next returns the addresses of the records that the next message carries: those
// that were told least often, the newest first. Each counts as told.
func (r *rumors) next() []string {
	if len(r.all) == 0 {
		return nil
	}
	return r.take(r.sorted(func(*rumor) bool { return true }))
}

// urgent returns the addresses of the records that are told at once.
func (r *rumors) urgent() []string {
	list := r.sorted(func(m *rumor) bool { return m.push > 0 })
	for _, m := range list[:min(len(list), maxUpdates)] {
		m.push--
	}
	return r.take(list)
}

// pressing tells whether any record is to be told at once.
func (r *rumors) pressing() bool {
	for _, m := range r.all {
		if m.push > 0 {
			return true
		}
	}
	return false
}

func (r *rumors) sorted(wanted func(*rumor) bool) []*rumor {
	var list []*rumor
	for _, m := range r.all {
		if wanted(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *rumor) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(b.since, a.since))
	})
	return list
}

func (r *rumors) take(list []*rumor) []string {
	list = list[:min(len(list), maxUpdates)]
	out := make([]string, len(list))
	for i, m := range list {
		out[i] = m.peer
		m.left--
		if m.left <= 0 && m.push <= 0 {
			delete(r.all, m.peer)
		}
	}
	return out
}
