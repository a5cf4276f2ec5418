package roles

import (
	"time"

	"fescuestand/internal/clock"
)

// history follows the engines from snapshot to snapshot: whose state began
// when, which changes of role were seen, which order is under way.
type history struct {
	engines []known // one for each engine of the newest snapshot, in its order
	changes []clock.Time
	orders  []order
	// settled is when the last change had ended by the reports.
	settled clock.Time
	// away is how long changes out of a role have taken: a decode engine
	// drains the streams that it has, a prefill engine little.
	away [Decode + 1]time.Duration
}

// awayGain is the weight of the newest change in that average.
const awayGain = 0.3

type known struct {
	name  string
	role  Role
	state State
	since clock.Time
}

type order struct {
	engine string
	to     Role
	at     clock.Time
}

// observe compares a snapshot, sorted by name, with what was known.
func (h *history) observe(now clock.Time, engines []Engine) {
	next := make([]known, 0, len(engines))
	i := 0
	for _, e := range engines {
		for i < len(h.engines) && h.engines[i].name < e.Name {
			i++
		}
		k := known{name: e.Name, role: e.Role, state: e.State, since: now}
		if i < len(h.engines) && h.engines[i].name == e.Name {
			k = h.merge(now, h.engines[i], k)
		}
		next = append(next, k)
		h.close(now, e)
	}
	h.engines = next
	h.expire(now)
}

func (h *history) merge(now clock.Time, old, k known) known {
	if old.role != k.role && old.role != Mixed && k.role != Mixed {
		h.changes = append(h.changes, now)
	}
	if old.state == Changing || old.role != k.role {
		h.settled = now
	}
	if old.state == k.state {
		k.since = old.since
	}
	if old.state == Changing && k.state == Ready && old.role != k.role {
		h.measure(old.role, now.Sub(old.since))
	}
	return k
}

func (h *history) measure(from Role, d time.Duration) {
	if h.away[from] == 0 {
		h.away[from] = d
		return
	}
	h.away[from] += time.Duration(awayGain * float64(d-h.away[from]))
}

// close ends the order of an engine whose effect is seen, or which is lost.
func (h *history) close(now clock.Time, e Engine) {
	kept := h.orders[:0]
	for _, o := range h.orders {
		if o.engine != e.Name {
			kept = append(kept, o)
			continue
		}
		done := e.Role == o.to && e.State == Ready
		lost := e.State != Changing && now.Sub(o.at) > OrderTimeout
		if done || lost {
			h.settled = now
			continue
		}
		kept = append(kept, o)
	}
	h.orders = kept
}

func (h *history) expire(now clock.Time) {
	i := 0
	for i < len(h.changes) && now.Sub(h.changes[i]) >= time.Hour {
		i++
	}
	h.changes = h.changes[i:]
}

// used counts the changes of the last hour, those under way included.
func (h *history) used(logged int) int {
	return max(len(h.changes)+len(h.orders), logged)
}
