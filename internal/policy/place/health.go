package place

import (
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Parameters of outlier ejection.
const (
	// failureWeight is the weight of the latest outcome in the failure rate.
	failureWeight = 0.15
	// failureRateMargin is how far an endpoint's failure rate may exceed the median of its peers
	// before the endpoint is ejected. Plain services fail a share of their calls by themselves,
	// which is the same at all endpoints.
	failureRateMargin = 0.3
	// maxConsecutiveFailures exchanges without an answer, and without a success between them, eject
	// an endpoint at once: it has crashed or is unreachable.
	maxConsecutiveFailures = 2
	// firstEjection is the duration of the first ejection. The duration doubles up to maxEjection
	// while the endpoint keeps failing. An endpoint that restarts is back within seconds.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// maxEjectedShare is the maximum share of the endpoints with the same work that may be ejected,
	// so that the load of the others at most doubles.
	maxEjectedShare = 0.5
)

// health tracks an endpoint's outcomes.
type health struct {
	failureRate         float64 // exponentially weighted
	consecutiveFailures int
	ejectedUntil        clock.Time
	silentUntil         clock.Time // ejectedUntil, if a silence ejected the endpoint, else zero
	ejections           int        // since the last success
}

func (h *health) record(now clock.Time, o Outcome) {
	switch o {
	case Success:
		h.failureRate -= failureWeight * h.failureRate
		h.consecutiveFailures, h.ejections = 0, 0
	case ErrorAnswer:
		h.countFailure()
	case ExchangeFailed:
		h.countFailure()
		h.consecutiveFailures++
		if h.consecutiveFailures >= maxConsecutiveFailures {
			h.eject(now)
		}
	case Rejected, Ignored:
	}
}

// recordSilence records that an exchange has been silent for too long, which it may recover from.
func (h *health) recordSilence(now clock.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= maxConsecutiveFailures && now >= h.ejectedUntil {
		h.eject(now)
		h.silentUntil = h.ejectedUntil
	}
}

// recordResumed ends an ejection that a silence has caused.
func (h *health) recordResumed(now clock.Time) {
	h.consecutiveFailures = 0
	if h.silentUntil != 0 && h.silentUntil == h.ejectedUntil {
		h.ejectedUntil, h.ejections = now, 0
	}
	h.silentUntil = 0
}

func (h *health) countFailure() { h.failureRate += failureWeight * (1 - h.failureRate) }

func (h *health) eject(now clock.Time) {
	if now < h.ejectedUntil {
		return
	}
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 4), maxEjection))
	h.ejections++
}

// eligible returns the states of the open endpoints that admit a request now and aren't in exclude.
func (p *Planner) eligible(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) []*endpointState {
	all := make([]*endpointState, 0, len(open))
	for _, e := range open {
		s := p.endpoints[e.ID]
		if s != nil && !exclude[e.ID] && (p.Admits == nil || p.Admits(now, e)) {
			all = append(all, s)
		}
	}
	return all
}

// healthy returns the endpoints that aren't ejected. all must hold endpoints with the same work. If
// more than maxEjectedShare of them would be ejected, healthy returns all: the fault is then
// elsewhere.
func healthy(now clock.Time, all []*endpointState) []*endpointState {
	limit := medianFailureRate(all) + failureRateMargin
	good := make([]*endpointState, 0, len(all))
	for _, s := range all {
		if now >= s.health.ejectedUntil && s.health.failureRate <= limit {
			good = append(good, s)
		} else if now >= s.health.ejectedUntil {
			// The failure rate is reset to the limit, as it doesn't fall without requests.
			// Otherwise an ejected endpoint would never be tried again.
			s.health.eject(now)
			s.health.failureRate = limit
		}
	}
	if float64(len(good)) < (1-maxEjectedShare)*float64(len(all)) {
		return all
	}
	return good
}

func medianFailureRate(list []*endpointState) float64 {
	if len(list) == 0 {
		return 0
	}
	rates := make([]float64, len(list))
	for i, s := range list {
		rates[i] = s.health.failureRate
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// isSilent reports whether the endpoint is ejected for a silence only.
func (h *health) isSilent(now clock.Time) bool {
	return now < h.ejectedUntil && h.silentUntil == h.ejectedUntil
}
