package route

import (
	"math"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// homeDepth is the number of leading pieces that choose a prompt's preferred
// engines. With one, all prompts of a workspace that share a long preamble
// would meet on one engine; with more, a growing conversation would move.
const homeDepth = 2

// homeRanks is how many engines in rendezvous order are tried. With a third of
// a pool ejected, all three are out for one prompt in 27.
const homeRanks = 3

// maxScored is how many of them are compared: the preferred one and the one to
// overflow to.
const maxScored = 2

// homes holds the first endpoints of a key in rendezvous order.
type homes struct {
	at     [homeRanks]int
	weight [homeRanks]uint64
	n      int
}

func (h *homes) find(key uint64, hashes []uint64) {
	for i, x := range hashes {
		w := splitmix.Mix(key ^ x)
		if h.n == homeRanks && w <= h.weight[homeRanks-1] {
			continue
		}
		h.insert(i, w)
	}
}

func (h *homes) insert(i int, w uint64) {
	h.n = min(h.n+1, homeRanks)
	j := h.n - 1
	for j > 0 && h.weight[j-1] < w {
		h.at[j], h.weight[j] = h.at[j-1], h.weight[j-1]
		j--
	}
	h.at[j], h.weight[j] = i, w
}

// preferred scores the engines that hold, or should come to hold, the prompt's
// prefix. All entries compute the same ones without talking. An engine over
// the bound is passed over, or a hot prefix would overload it.
func (r *Router) preferred(now clock.Time, req *Request, ws uint64, s *set, best *candidate) {
	mean := r.meanLoad(now, s)
	long := req.Pieces[min(len(req.Pieces), homeDepth)-1]
	r.scoreHomes(now, req, s, splitmix.Mix(ws^long), mean, best)
	if first := req.Pieces[0]; first != long {
		r.scoreHomes(now, req, s, splitmix.Mix(ws^first), mean, best)
	}
}

func (r *Router) scoreHomes(now clock.Time, req *Request, s *set, key uint64, mean float64, best *candidate) {
	var h homes
	h.find(key, s.hashes)
	credit := r.cfg.Credit
	scored := 0
	for _, i := range h.at[:h.n] {
		if scored == maxScored {
			return
		}
		e := s.eps[i]
		if e == best.ep || !r.eligible(now, req, e, uint32(r.random())) {
			continue
		}
		if !r.cfg.Disabled.NoBound && r.overBound(now, e, mean) {
			continue
		}
		c := r.score(now, req, e, Affinity)
		uncached := max(req.PromptTokens-c.cached*r.cfg.PieceTokens, 0)
		c.score -= credit * float64(uncached) * float64(e.prefillNanos)
		if c.cached > 0 {
			c.reason = CacheHit
		}
		*best = better(*best, c)
		scored++
		// The later ones are places to overflow to, not to spread to.
		credit /= 2
	}
}

// overBound says whether one more request takes e's load beyond the bound
// over the mean. One request more than that is always allowed, or a small or
// idle pool would have no affinity.
func (r *Router) overBound(now clock.Time, e *Endpoint, mean float64) bool {
	runs, _ := r.load(now, e.live)
	return float64(runs) > r.cfg.Bound*mean*float64(e.slots)+1
}

// leastHarm returns the eligible endpoint with the fewest requests at it.
func (r *Router) leastHarm(now clock.Time, req *Request, s *set) (candidate, bool) {
	var found *Endpoint
	least := int64(math.MaxInt64)
	for _, e := range s.eps {
		runs, _ := r.load(now, e.live)
		if runs < least && r.eligible(now, req, e, 0) {
			found, least = e, runs
		}
	}
	if found == nil {
		return candidate{}, false
	}
	return r.score(now, req, found, Isolated).because(Isolated), true
}

func (c candidate) because(reason Reason) candidate {
	c.reason = reason
	return c
}

// leastReported is the least-loaded baseline: the lowest load of all.
func (r *Router) leastReported(now clock.Time, req *Request, s *set) (candidate, bool) {
	best := candidate{score: math.Inf(1)}
	for _, e := range s.eps {
		if r.eligible(now, req, e, 0) {
			best = better(best, r.score(now, req, e, LeastWait))
		}
	}
	return best, best.ep != nil
}

// nextInTurn is the round-robin baseline.
func (r *Router) nextInTurn(now clock.Time, req *Request, s *set) (candidate, bool) {
	for range s.eps {
		e := s.eps[r.turn.Add(1)%uint64(len(s.eps))]
		if r.eligible(now, req, e, 0) {
			return r.score(now, req, e, LeastWait), true
		}
	}
	return candidate{}, false
}

// lastResort looks for any endpoint that answers at all: first in other cells,
// then among the ejected and the suspect. A request that may fail is worth
// more than a refusal, and an ejection may be mistaken. Full endpoints stay
// closed: they are busy, not broken.
func (r *Router) lastResort(now clock.Time, req *Request, g *group) (Decision, bool) {
	for i := range g.cells {
		if len(g.cells) == 1 {
			break
		}
		if d, ok := r.pickIn(now, req, 0, &g.cells[i]); ok {
			return d, true
		}
	}
	if req.Isolate {
		return Decision{}, false
	}
	best := candidate{score: math.Inf(1)}
	for i := range g.cells {
		m := &g.cells[i]
		s := &m.whole
		if req.Prefilled {
			s = &m.decode
		}
		for _, e := range s.eps {
			if !excluded(req, e) && !r.full(now, e, req.lane()) {
				best = better(best, r.score(now, req, e, Fallback).because(Fallback))
			}
		}
	}
	return r.decide(now, req, best), best.ep != nil
}

func excluded(req *Request, e *Endpoint) bool {
	for _, x := range req.Exclude {
		if x.live == e.live {
			return true
		}
	}
	return false
}
