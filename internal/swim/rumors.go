package swim

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// extraTransmits is added to the binary logarithm of the number of VMs to give the number of
	// times that a VM passes a record on with its probes and answers.
	extraTransmits = 6
	// pushFanout is the number of VMs that an urgent record is pushed to at once, in each of
	// pushRounds rounds. With the resulting six messages per VM one VM in 400 isn't reached, and
	// receives the record with a probe.
	pushFanout = 3
	pushRounds = 2
	// maxUpdatesPerMessage records fit a datagram of 2 kB.
	maxUpdatesPerMessage = 20
	// minSpreadTime is how long a record is passed on in any case: shortly after a change two VMs
	// may hold equal records that the others don't have yet.
	minSpreadTime = 3 * time.Second
)

// rumor is a record that is being passed on.
type rumor struct {
	peer           string
	transmitsLeft  int // remaining transmissions
	pushRoundsLeft int // remaining push rounds, if urgent
	seq            uint64
	startedAt      clock.Time
}

// rumors are the records that this VM passes on, by datagram address.
type rumors struct {
	all   map[string]*rumor
	added uint64 // number of rumors so far
}

// add starts passing on the record of peer in a cluster of size VMs.
func (r *rumors) add(now clock.Time, peer string, size int, urgent bool) {
	r.added++
	m := &rumor{peer: peer, transmitsLeft: extraTransmits + bits.Len(uint(size)), seq: r.added, startedAt: now}
	if urgent {
		m.pushRoundsLeft = pushRounds
	}
	r.all[peer] = m
}

// dropSettled stops passing on the records whose rumors are older than minSpreadTime. It is called
// when another VM, chosen at random, has equal records: the other VMs have them too, or will
// receive them with the full table.
func (r *rumors) dropSettled(now clock.Time) {
	for peer, m := range r.all {
		if m.pushRoundsLeft <= 0 && now.Sub(m.startedAt) > minSpreadTime {
			delete(r.all, peer)
		}
	}
}

// nextBatch returns the addresses of the records for the next message: those with the most
// transmissions left, newest first. Each counts as transmitted.
func (r *rumors) nextBatch() []string {
	if len(r.all) == 0 {
		return nil
	}
	return r.consume(r.sorted(func(*rumor) bool { return true }))
}

// urgentBatch returns the addresses of the records to push now.
func (r *rumors) urgentBatch() []string {
	list := r.sorted(func(m *rumor) bool { return m.pushRoundsLeft > 0 })
	for _, m := range list[:min(len(list), maxUpdatesPerMessage)] {
		m.pushRoundsLeft--
	}
	return r.consume(list)
}

// hasUrgent reports whether any record has push rounds left.
func (r *rumors) hasUrgent() bool {
	for _, m := range r.all {
		if m.pushRoundsLeft > 0 {
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
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(b.seq, a.seq))
	})
	return list
}

func (r *rumors) consume(list []*rumor) []string {
	list = list[:min(len(list), maxUpdatesPerMessage)]
	out := make([]string, len(list))
	for i, m := range list {
		out[i] = m.peer
		m.transmitsLeft--
		if m.transmitsLeft <= 0 && m.pushRoundsLeft <= 0 {
			delete(r.all, m.peer)
		}
	}
	return out
}
