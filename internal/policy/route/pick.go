package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/splitmix"
)

// Request is the part of a request that routing decisions depend on.
type Request struct {
	Pool         string
	Artifact     Artifact
	Workspace    string
	Pieces       []uint64 // chained hashes of the prompt's whole cache blocks, see Pieces
	PromptTokens int
	Exclude      []*Endpoint
	Urgent       bool // sent with the engine's higher priority
	Prefilled    bool // its KV cache exists and will be transferred
	Isolate      bool // may crash its endpoint: run it where the fewest requests are affected
}

// Reason is the criterion that decided a choice.
type Reason uint8

// The reasons.
const (
	LeastWait Reason = iota // the better of two: one round robin, one at random
	Affinity                // preferred by rendezvous hashing of the prompt's prefix
	CacheHit                // estimated to cache a prefix of the prompt
	Isolated                // fewest requests at the endpoint, for Request.Isolate
	Fallback                // every eligible endpoint was ejected or suspect
	reasons
)

var reasonNames = [reasons]string{"least-wait", "affinity", "cache-hit", "isolated", "fallback"}

func (r Reason) String() string { return reasonNames[r] }

// Decision is the result of Pick.
type Decision struct {
	// Dispatch is the unit of work for the endpoint that answers.
	Dispatch
	Prefill  Dispatch // for an engine that prefills first and transfers its KV cache; optional
	Reason   Reason
	Cached   int           // cache blocks estimated to be cached at the endpoint
	Score    time.Duration // estimated time to the first token, with penalties
	Transfer time.Duration // of the KV cache
}

// maxRandomTries bounds the random samples taken to find an eligible endpoint before the list is
// scanned. With a third of a pool ejected, eight misses in a row occur once in 6,500 choices.
const maxRandomTries = 8

// candidate is an endpoint with its score. The lowest score wins.
type candidate struct {
	endpoint *Endpoint
	score    float64 // nanoseconds
	cached   int     // leading cache blocks
	reason   Reason
}

// Pick chooses where req goes. It allocates only when it returns an error.
//
// If the Decision has a Prefill dispatch, that runs first. When it has ended, the entry may call
// Pick again with Prefilled set, because another engine may have become the better one for the
// decode.
func (r *Router) Pick(now clock.Time, req *Request) (Decision, error) {
	t := r.table.Load()
	g := t.groups[groupKey{req.Pool, req.Artifact}]
	if g == nil {
		return Decision{}, r.noEndpointError(req, t, now)
	}
	wsHash := hashWorkspace(req.Workspace)
	m := &g.cells[0]
	if t.cells > 1 {
		m = g.cellFor(wsHash)
	}
	d, ok := r.pickInCell(now, req, wsHash, m)
	if !ok {
		d, ok = r.pickFallback(now, req, g)
	}
	if !ok {
		return Decision{}, r.noEndpointError(req, t, now)
	}
	r.pickCounts[d.Reason].Add(1)
	return d, nil
}

// pickInCell chooses within one cell.
func (r *Router) pickInCell(now clock.Time, req *Request, wsHash uint64, m *cellMembers) (Decision, bool) {
	if req.Prefilled {
		best, ok := r.chooseFrom(now, req, wsHash, &m.decode)
		return r.newDecision(now, req, best), ok
	}
	best, ok := r.chooseFrom(now, req, wsHash, &m.colocated)
	d := r.newDecision(now, req, best)
	if len(m.prefill.endpoints) == 0 || req.Isolate && ok {
		return d, ok
	}
	handoff, handoffFound := r.pickHandoff(now, req, wsHash, m)
	if !handoffFound {
		return d, ok
	}
	if ok && d.Endpoint.Role != Prefill && !r.handoffPays(req, &d, &handoff) {
		return d, true
	}
	return handoff, true
}

func hashWorkspace(workspace string) uint64 {
	if workspace == "" {
		return 0
	}
	return xxhash.Sum64String(workspace)
}

// cellFor returns the members of the workspace's cell or, if that is empty, of the next cell in
// rendezvous order that has any.
func (g *artifactGroup) cellFor(wsHash uint64) *cellMembers {
	best, bestWeight := -1, uint64(0)
	for i := range g.cells {
		if len(g.cells[i].decode.endpoints) == 0 {
			continue
		}
		if weight := splitmix.Mix(wsHash ^ splitmix.Mix(uint64(i)+1)); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best < 0 {
		return &g.cells[0]
	}
	return &g.cells[best]
}

func (r *Router) chooseFrom(now clock.Time, req *Request, wsHash uint64, s *endpointSet) (candidate, bool) {
	switch {
	case len(s.endpoints) == 0:
		return candidate{}, false
	case req.Isolate:
		return r.fewestRequests(now, req, s)
	case r.cfg.Disabled.RoundRobin:
		return r.roundRobinBaseline(now, req, s)
	case r.cfg.Disabled.NoTwoChoices:
		return r.leastLoadedBaseline(now, req, s)
	}
	best := candidate{score: math.Inf(1)}
	if len(req.Pieces) > 0 && !req.Prefilled && !r.cfg.Disabled.NoAffinity {
		r.scoreAffinity(now, req, wsHash, s, &best)
	}
	if e := r.nextRoundRobinEndpoint(now, req, s); e != nil && e != best.endpoint {
		best = lowerScore(best, r.score(now, req, e, LeastWait))
	}
	if e := r.randomEndpoint(now, req, s.endpoints); e != nil && e != best.endpoint {
		best = lowerScore(best, r.score(now, req, e, LeastWait))
	}
	return best, best.endpoint != nil
}

// nextRoundRobinEndpoint returns the next endpoint in round-robin order, or nil if it is not
// eligible. One of the two choices is round robin rather than random, because it spreads requests
// more evenly when the endpoints' scores are equal. Each entry starts at a different position.
func (r *Router) nextRoundRobinEndpoint(now clock.Time, req *Request, s *endpointSet) *Endpoint {
	e := s.endpoints[(r.seed+s.nextRoundRobin.Add(1))%uint64(len(s.endpoints))]
	if !r.eligible(now, req, e, uint32(r.random())) {
		return nil
	}
	return e
}

func lowerScore(a, b candidate) candidate {
	if b.score < a.score {
		return b
	}
	return a
}

// random returns 64 pseudo-random bits. The seed determines the sequence.
func (r *Router) random() uint64 { return splitmix.Mix(r.seed + r.randomCalls.Add(1)) }

// randomEndpoint returns a random eligible endpoint, or nil if there is none.
func (r *Router) randomEndpoint(now clock.Time, req *Request, endpoints []*Endpoint) *Endpoint {
	n := uint64(len(endpoints))
	for range maxRandomTries {
		x := r.random()
		e := endpoints[(x>>32)*n>>32]
		if r.eligible(now, req, e, uint32(x)) {
			return e
		}
	}
	start := r.random() % n
	for i := range n {
		e := endpoints[(start+i)%n]
		if r.eligible(now, req, e, 0) {
			return e
		}
	}
	return nil
}

// eligible reports whether e may take req now. chance is a random number by which an endpoint in
// slow start accepts a growing share of requests; zero always accepts.
func (r *Router) eligible(now clock.Time, req *Request, e *Endpoint, chance uint32) bool {
	rt := e.runtime
	if e.State != Open || int64(now) < rt.ejectedUntil.Load() {
		return false
	}
	if r.atCapacity(now, e, req.lane()) {
		return false
	}
	if excluded(req, e) {
		return false
	}
	slowStartFrom := rt.slowStartFrom.Load()
	if slowStartFrom == 0 || r.cfg.Disabled.NoSlowStart {
		return true
	}
	share := slowStartShare + float64(int64(now)-slowStartFrom)/float64(r.cfg.SlowStart)
	return share >= 1 || float64(chance) < share*math.MaxUint32
}

// slowStartShare is the share of its usual requests that an endpoint starts with after its return.
// It yields enough samples to judge the endpoint and affects few callers if it is still slow.
const slowStartShare = 0.1

func (r *Router) newDecision(now clock.Time, req *Request, c candidate) Decision {
	if c.endpoint == nil {
		return Decision{}
	}
	wait, service := r.estimateTimes(now, req, c.endpoint, c.cached)
	d := Decision{Reason: c.reason, Cached: c.cached, Score: time.Duration(c.score)}
	d.Dispatch = Dispatch{
		Endpoint:     c.endpoint,
		prefillNanos: service - c.endpoint.baseNanos,
		lane:         req.lane(),
		unloadedTime: time.Duration(service),
		expectedTime: time.Duration(wait + service),
	}
	if req.Prefilled {
		d.prefillNanos = 0
		d.Transfer = d.unloadedTime
		return d
	}
	for _, p := range req.Pieces {
		c.endpoint.runtime.cacheView.add(p)
	}
	return d
}

func (r *Router) noEndpointError(req *Request, t *Table, now clock.Time) error {
	total, eligible, ejected, full := 0, 0, 0, 0
	for i := range t.peerGroups {
		p := &t.peerGroups[i] // a copy would race with EjectOutliers, which writes its rates
		if p.pool != req.Pool {
			continue
		}
		for _, e := range p.endpoints {
			total++
			switch {
			case e.State != Open:
			case int64(now) < e.runtime.ejectedUntil.Load():
				ejected++
			case r.atCapacity(now, e, req.lane()):
				full++
			default:
				eligible++
			}
		}
	}
	return code.New(code.NoEndpoint, "pool %s model %q: %d endpoints, %d eligible, %d ejected, %d full",
		req.Pool, req.Artifact.Model, total, eligible, ejected, full).WithRetryAfter(noEndpointRetryAfter)
}

// noEndpointRetryAfter is the Retry-After delay of a request that no endpoint accepts: two rounds
// of EjectOutliers, which may change the set of ejected endpoints.
const noEndpointRetryAfter = 500 * time.Millisecond
