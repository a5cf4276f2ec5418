package roles

import (
	"time"

	"fescuestand/internal/clock"
)

// history tracks the engines from snapshot to snapshot: since when each is in
// its state, which role changes were observed, which orders are pending.
type history struct {
	engines []engineRecord // one for each engine of the newest snapshot, in its order
	changes []clock.Time   // when role changes of the last hour were observed
	orders  []order        // pending
	// lastChangeEnd is when a change was last observed in progress or just ended,
	// or an order completed or timed out.
	lastChangeEnd clock.Time
	// changeDurations are the average durations of changes out of each role. A
	// decode engine drains its streams first; a prefill engine has little to
	// drain.
	changeDurations [Decode + 1]time.Duration
}

// durationWeight is the weight of the newest change in that average.
const durationWeight = 0.3

type engineRecord struct {
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

// observe compares a snapshot, sorted by name, with the recorded engines and
// replaces them.
func (h *history) observe(now clock.Time, engines []Engine) {
	next := make([]engineRecord, 0, len(engines))
	i := 0
	for _, e := range engines {
		for i < len(h.engines) && h.engines[i].name < e.Name {
			i++
		}
		record := engineRecord{name: e.Name, role: e.Role, state: e.State, since: now}
		if i < len(h.engines) && h.engines[i].name == e.Name {
			record = h.mergeRecord(now, h.engines[i], record)
		}
		next = append(next, record)
		h.closeOrders(now, e)
	}
	h.engines = next
	h.expireChanges(now)
}

func (h *history) mergeRecord(now clock.Time, old, record engineRecord) engineRecord {
	if old.role != record.role && old.role != Mixed && record.role != Mixed {
		h.changes = append(h.changes, now)
	}
	if old.state == Changing || old.role != record.role {
		h.lastChangeEnd = now
	}
	if old.state == record.state {
		record.since = old.since
	}
	if old.state == Changing && record.state == Ready && old.role != record.role {
		h.recordDuration(old.role, now.Sub(old.since))
	}
	return record
}

func (h *history) recordDuration(from Role, d time.Duration) {
	if h.changeDurations[from] == 0 {
		h.changeDurations[from] = d
		return
	}
	h.changeDurations[from] += time.Duration(durationWeight * float64(d-h.changeDurations[from]))
}

// closeOrders removes the orders to an engine that have completed or that count
// as lost.
func (h *history) closeOrders(now clock.Time, e Engine) {
	pending := h.orders[:0]
	for _, o := range h.orders {
		if o.engine != e.Name {
			pending = append(pending, o)
			continue
		}
		completed := e.Role == o.to && e.State == Ready
		lost := e.State != Changing && now.Sub(o.at) > OrderTimeout
		if completed || lost {
			h.lastChangeEnd = now
			continue
		}
		pending = append(pending, o)
	}
	h.orders = pending
}

func (h *history) expireChanges(now clock.Time) {
	i := 0
	for i < len(h.changes) && now.Sub(h.changes[i]) >= time.Hour {
		i++
	}
	h.changes = h.changes[i:]
}

// changesLastHour counts the changes of the last hour, including pending orders.
// logged is the count from the folded log, which covers other processes.
func (h *history) changesLastHour(logged int) int {
	return max(len(h.changes)+len(h.orders), logged)
}
