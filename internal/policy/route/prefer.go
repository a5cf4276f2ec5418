package route

import (
	"math"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// affinityPieces is the number of leading cache blocks that determine a prompt's preferred engines.
// With one block, all prompts of a workspace that share a long preamble would map to one engine.
// With more, a growing conversation would move between engines.
const affinityPieces = 2

// affinityRanks is the number of engines in rendezvous order that are considered. With a third of a
// pool ejected, all three are ejected for one prompt in 27.
const affinityRanks = 3

// maxAffinityCandidates is the number of those engines that are scored: the preferred one and the
// one to overflow to.
const maxAffinityCandidates = 2

// rendezvousRanks holds the first endpoints for a key in rendezvous order.
type rendezvousRanks struct {
	indexes [affinityRanks]int
	weights [affinityRanks]uint64
	n       int
}

func (h *rendezvousRanks) rank(key uint64, hashes []uint64) {
	for i, nameHash := range hashes {
		weight := splitmix.Mix(key ^ nameHash)
		if h.n == affinityRanks && weight <= h.weights[affinityRanks-1] {
			continue
		}
		h.insert(i, weight)
	}
}

func (h *rendezvousRanks) insert(i int, weight uint64) {
	h.n = min(h.n+1, affinityRanks)
	at := h.n - 1
	for at > 0 && h.weights[at-1] < weight {
		h.indexes[at], h.weights[at] = h.indexes[at-1], h.weights[at-1]
		at--
	}
	h.indexes[at], h.weights[at] = i, weight
}

// scoreAffinity scores the engines that rendezvous hashing prefers for the prompt's prefix, which
// cache it or will come to cache it. All entries compute the same engines without coordination.
// Engines over the load bound are skipped, because a hot prefix would overload them.
func (r *Router) scoreAffinity(now clock.Time, req *Request, wsHash uint64, s *endpointSet, best *candidate) {
	mean := r.meanLoad(now, s)
	deepest := req.Pieces[min(len(req.Pieces), affinityPieces)-1]
	r.scoreRanked(now, req, s, splitmix.Mix(wsHash^deepest), mean, best)
	if first := req.Pieces[0]; first != deepest {
		r.scoreRanked(now, req, s, splitmix.Mix(wsHash^first), mean, best)
	}
}

func (r *Router) scoreRanked(now clock.Time, req *Request, s *endpointSet, key uint64, mean float64, best *candidate) {
	var ranks rendezvousRanks
	ranks.rank(key, s.nameHashes)
	credit := r.cfg.AffinityCredit
	scored := 0
	for _, i := range ranks.indexes[:ranks.n] {
		if scored == maxAffinityCandidates {
			return
		}
		e := s.endpoints[i]
		if e == best.endpoint || !r.eligible(now, req, e, uint32(r.random())) {
			continue
		}
		if !r.cfg.Disabled.NoLoadBound && r.overLoadBound(now, e, mean) {
			continue
		}
		c := r.score(now, req, e, Affinity)
		uncached := max(req.PromptTokens-c.cached*r.cfg.PieceTokens, 0)
		c.score -= credit * float64(uncached) * float64(e.prefillNanosPerToken)
		if c.cached > 0 {
			c.reason = CacheHit
		}
		*best = lowerScore(*best, c)
		scored++
		// Lower-ranked engines take overflow only; requests should not spread to them.
		credit /= 2
	}
}

// overLoadBound reports whether e's load exceeds LoadBound times the mean load by more than one
// request. The one request keeps affinity working in small and idle pools.
func (r *Router) overLoadBound(now clock.Time, e *Endpoint, mean float64) bool {
	requests, _ := r.estimateLoad(now, e.runtime)
	return float64(requests) > r.cfg.LoadBound*mean*float64(e.slots)+1
}

// fewestRequests returns the eligible endpoint with the fewest requests.
func (r *Router) fewestRequests(now clock.Time, req *Request, s *endpointSet) (candidate, bool) {
	var found *Endpoint
	fewest := int64(math.MaxInt64)
	for _, e := range s.endpoints {
		requests, _ := r.estimateLoad(now, e.runtime)
		if requests < fewest && r.eligible(now, req, e, 0) {
			found, fewest = e, requests
		}
	}
	if found == nil {
		return candidate{}, false
	}
	return r.score(now, req, found, Isolated).withReason(Isolated), true
}

func (c candidate) withReason(reason Reason) candidate {
	c.reason = reason
	return c
}

// leastLoadedBaseline scans all endpoints for the lowest score, as a baseline for comparison.
func (r *Router) leastLoadedBaseline(now clock.Time, req *Request, s *endpointSet) (candidate, bool) {
	best := candidate{score: math.Inf(1)}
	for _, e := range s.endpoints {
		if r.eligible(now, req, e, 0) {
			best = lowerScore(best, r.score(now, req, e, LeastWait))
		}
	}
	return best, best.endpoint != nil
}

// roundRobinBaseline chooses in round-robin order, as a baseline for comparison.
func (r *Router) roundRobinBaseline(now clock.Time, req *Request, s *endpointSet) (candidate, bool) {
	for range s.endpoints {
		e := s.endpoints[r.nextRoundRobin.Add(1)%uint64(len(s.endpoints))]
		if r.eligible(now, req, e, 0) {
			return r.score(now, req, e, LeastWait), true
		}
	}
	return candidate{}, false
}

// pickFallback chooses any endpoint that may answer: first in other cells, then among ejected and
// suspect endpoints. An attempt that may fail is better than a refusal, and an ejection may be a
// mistake. Endpoints at capacity stay excluded, because they are busy rather than broken.
func (r *Router) pickFallback(now clock.Time, req *Request, g *artifactGroup) (Decision, bool) {
	for i := range g.cells {
		if len(g.cells) == 1 {
			break
		}
		if d, ok := r.pickInCell(now, req, 0, &g.cells[i]); ok {
			return d, true
		}
	}
	if req.Isolate {
		return Decision{}, false
	}
	best := candidate{score: math.Inf(1)}
	for i := range g.cells {
		m := &g.cells[i]
		s := &m.colocated
		if req.Prefilled {
			s = &m.decode
		}
		for _, e := range s.endpoints {
			if !excluded(req, e) && !r.atCapacity(now, e, req.lane()) {
				best = lowerScore(best, r.score(now, req, e, Fallback).withReason(Fallback))
			}
		}
	}
	return r.newDecision(now, req, best), best.endpoint != nil
}

func excluded(req *Request, e *Endpoint) bool {
	for _, x := range req.Exclude {
		if x.runtime == e.runtime {
			return true
		}
	}
	return false
}
