package place

import (
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// The figures by which an endpoint is left out.
const (
	// failWeight is the weight of one outcome in the failure rate.
	failWeight = 0.15
	// failMargin over its peers' median failure rate leaves an endpoint out.
	// Plain services fail a share of their calls by themselves, all alike.
	failMargin = 0.3
	// inRow exchanges without an answer, and none with one between them, leave
	// an endpoint out at once: it has crashed or can't be reached.
	inRow = 2
	// firstOut is the first time out, which doubles up to longestOut while the
	// endpoint fails again: an endpoint that restarts is back within seconds.
	firstOut   = 500 * time.Millisecond
	longestOut = 4 * time.Second
	// maxOutShare of the endpoints that do the same work may be left out; the load of the
	// others grows to twice of theirs at most.
	maxOutShare = 0.5
)

// health is the record of an endpoint's outcomes.
type health struct {
	failures float64 // rate, weighted to the latest
	row      int
	outUntil clock.Time
	outs     int
}

func (h *health) note(now clock.Time, o Outcome) {
	switch o {
	case Success:
		h.failures -= failWeight * h.failures
		h.row, h.outs = 0, 0
	case ErrorAnswer:
		h.fail()
	case ExchangeFailed:
		h.fail()
		h.row++
		if h.row >= inRow {
			h.leave(now)
		}
	case Rejected, Ignored:
	}
}

func (h *health) fail() { h.failures += failWeight * (1 - h.failures) }

func (h *health) leave(now clock.Time) {
	if now < h.outUntil {
		return
	}
	h.outUntil = now.Add(min(firstOut<<min(h.outs, 4), longestOut))
	h.outs++
}

// within returns the states of the open endpoints that take a request now and that exclude
// doesn't name.
func (p *Planner) within(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) []*state {
	all := make([]*state, 0, len(open))
	for _, e := range open {
		s := p.known[e.ID]
		if s != nil && !exclude[e.ID] && (p.Admits == nil || p.Admits(now, e)) {
			all = append(all, s)
		}
	}
	return all
}

// healthy returns those of all, which do the same work, that work may go to. When
// too many would be left out all are returned: the fault is then elsewhere.
func healthy(now clock.Time, all []*state) []*state {
	limit := medianFailures(all) + failMargin
	good := make([]*state, 0, len(all))
	for _, s := range all {
		if now >= s.health.outUntil && s.health.failures <= limit {
			good = append(good, s)
		} else if now >= s.health.outUntil {
			// The rate falls with time too, or an endpoint that is left out
			// would never be tried again.
			s.health.leave(now)
			s.health.failures = limit
		}
	}
	if float64(len(good)) < (1-maxOutShare)*float64(len(all)) {
		return all
	}
	return good
}

func medianFailures(list []*state) float64 {
	if len(list) == 0 {
		return 0
	}
	rates := make([]float64, len(list))
	for i, s := range list {
		rates[i] = s.health.failures
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
