package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/splitmix"
)

// Request is what routing needs to know of a request.
type Request struct {
	Pool      string
	Artifact  Artifact
	Workspace string
	Pieces    []uint64 // chained hashes of the prompt's whole pieces, see Pieces
	PromptTokens    int      // tokens
	Exclude   []*Endpoint
	Urgent    bool // sent with the engine's higher priority
	Prefilled bool // its KV cache exists and is to be moved
	Isolate   bool // may crash its endpoint: run it where it hurts fewest
}

// Reason says what decided a choice.
type Reason uint8

// The reasons.
const (
	LeastWait Reason = iota // the better of two, one in turn and one at random
	Affinity                // preferred for the prompt's prefix
	CacheHit                // believed to have cached a prefix of the prompt
	Isolated
	Fallback // every eligible endpoint was ejected or suspect
	reasons
)

var reasonNames = [reasons]string{"least-wait", "affinity", "cache-hit", "isolated", "fallback"}

func (r Reason) String() string { return reasonNames[r] }

// Decision is where a request goes.
type Decision struct {
	// Dispatch is for the endpoint that answers.
	Dispatch
	Prefill  Dispatch // an engine that prefills and hands its KV cache over
	Reason   Reason
	Cached   int           // pieces believed to be cached at the endpoint
	Score    time.Duration // estimated time to the first token, with penalties
	Transfer time.Duration // of the KV cache
}

// maxDraws bounds the tries to draw an eligible endpoint at random before the
// list is scanned: with a third of a pool out, eight misses come once in 6,500.
const maxDraws = 8

// candidate is an endpoint with its score.
type candidate struct {
	ep     *Endpoint
	score  float64 // nanoseconds
	cached int
	reason Reason
}

// Pick chooses where req goes. It allocates only when it fails.
//
// Where a Decision has a Prefill dispatch, that comes first. When it has ended,
// the entry may Pick again with Prefilled set, since by then another engine may
// be the better one to go on with.
func (r *Router) Pick(now clock.Time, req *Request) (Decision, error) {
	t := r.table.Load()
	g := t.groups[groupKey{req.Pool, req.Artifact}]
	if g == nil {
		return Decision{}, r.noEndpoint(req, t, now)
	}
	ws := hashOf(req.Workspace)
	m := &g.cells[0]
	if t.cells > 1 {
		m = g.cellFor(ws)
	}
	d, ok := r.pickIn(now, req, ws, m)
	if !ok {
		d, ok = r.lastResort(now, req, g)
	}
	if !ok {
		return Decision{}, r.noEndpoint(req, t, now)
	}
	r.count[d.Reason].Add(1)
	return d, nil
}

// pickIn decides within one cell.
func (r *Router) pickIn(now clock.Time, req *Request, ws uint64, m *members) (Decision, bool) {
	if req.Prefilled {
		best, ok := r.choose(now, req, ws, &m.decode)
		return r.decide(now, req, best), ok
	}
	best, ok := r.choose(now, req, ws, &m.whole)
	d := r.decide(now, req, best)
	if len(m.prefill.eps) == 0 || req.Isolate && ok {
		return d, ok
	}
	split, found := r.handOver(now, req, ws, m)
	if !found {
		return d, ok
	}
	if ok && d.Endpoint.Role != Prefill && !r.pays(req, &d, &split) {
		return d, true
	}
	return split, true
}

func hashOf(workspace string) uint64 {
	if workspace == "" {
		return 0
	}
	return xxhash.Sum64String(workspace)
}

// cellFor returns the members of the workspace's cell, or of the next one in
// rendezvous order that has any.
func (g *group) cellFor(ws uint64) *members {
	best, top := -1, uint64(0)
	for i := range g.cells {
		if len(g.cells[i].decode.eps) == 0 {
			continue
		}
		if s := splitmix.Mix(ws ^ splitmix.Mix(uint64(i)+1)); s >= top {
			best, top = i, s
		}
	}
	if best < 0 {
		return &g.cells[0]
	}
	return &g.cells[best]
}

func (r *Router) choose(now clock.Time, req *Request, ws uint64, s *set) (candidate, bool) {
	switch {
	case len(s.eps) == 0:
		return candidate{}, false
	case req.Isolate:
		return r.leastHarm(now, req, s)
	case r.cfg.Disabled.RoundRobin:
		return r.nextInTurn(now, req, s)
	case r.cfg.Disabled.NoTwoChoices:
		return r.leastReported(now, req, s)
	}
	best := candidate{score: math.Inf(1)}
	if len(req.Pieces) > 0 && !req.Prefilled && !r.cfg.Disabled.NoAffinity {
		r.preferred(now, req, ws, s, &best)
	}
	if e := r.inTurn(now, req, s); e != nil && e != best.ep {
		best = better(best, r.score(now, req, e, LeastWait))
	}
	if e := r.draw(now, req, s.eps); e != nil && e != best.ep {
		best = better(best, r.score(now, req, e, LeastWait))
	}
	return best, best.ep != nil
}

// inTurn returns the next endpoint in turn if it is eligible. One of the two
// choices goes in turn rather than at random: where nothing tells endpoints
// apart, turns spread the requests more evenly than chance. Entries take their
// turns from different places.
func (r *Router) inTurn(now clock.Time, req *Request, s *set) *Endpoint {
	e := s.eps[(r.seed+s.turn.Add(1))%uint64(len(s.eps))]
	if !r.eligible(now, req, e, uint32(r.random())) {
		return nil
	}
	return e
}

func better(a, b candidate) candidate {
	if b.score < a.score {
		return b
	}
	return a
}

// random returns 64 random bits. The sequence is fixed by the seed.
func (r *Router) random() uint64 { return splitmix.Mix(r.seed + r.draws.Add(1)) }

// draw returns an eligible endpoint at random, or nil.
func (r *Router) draw(now clock.Time, req *Request, list []*Endpoint) *Endpoint {
	n := uint64(len(list))
	for range maxDraws {
		x := r.random()
		e := list[(x>>32)*n>>32]
		if r.eligible(now, req, e, uint32(x)) {
			return e
		}
	}
	start := r.random() % n
	for i := range n {
		e := list[(start+i)%n]
		if r.eligible(now, req, e, 0) {
			return e
		}
	}
	return nil
}

// eligible says whether e may take req now. chance is a random number that
// lets a returning endpoint take a growing share; zero always passes.
func (r *Router) eligible(now clock.Time, req *Request, e *Endpoint, chance uint32) bool {
	l := e.live
	if e.State != Open || int64(now) < l.outUntil.Load() {
		return false
	}
	if r.full(now, e, req.lane()) {
		return false
	}
	if excluded(req, e) {
		return false
	}
	from := l.rampFrom.Load()
	if from == 0 || r.cfg.Disabled.NoRamp {
		return true
	}
	share := rampStart + float64(int64(now)-from)/float64(r.cfg.Ramp)
	return share >= 1 || float64(chance) < share*math.MaxUint32
}

// rampStart is the share of its usual work that a returning endpoint begins
// with: enough samples to judge it by, few callers hurt if it is still slow.
const rampStart = 0.1

func (r *Router) decide(now clock.Time, req *Request, c candidate) Decision {
	if c.ep == nil {
		return Decision{}
	}
	wait, run := r.estimate(now, req, c.ep, c.cached)
	d := Decision{Reason: c.reason, Cached: c.cached, Score: time.Duration(c.score)}
	d.Dispatch = Dispatch{
		Endpoint: c.ep,
		work:     run - c.ep.baseNanos,
		lane:     req.lane(),
		unloaded: time.Duration(run),
		expected: time.Duration(wait + run),
	}
	if req.Prefilled {
		d.work = 0
		d.Transfer = d.unloaded
		return d
	}
	for _, p := range req.Pieces {
		c.ep.live.cache.add(p)
	}
	return d
}

func (r *Router) noEndpoint(req *Request, t *Table, now clock.Time) error {
	known, open, out, full := 0, 0, 0, 0
	for i := range t.peers {
		p := &t.peers[i] // a copy would race with Sweep, which writes its rates
		if p.pool != req.Pool {
			continue
		}
		for _, e := range p.eps {
			known++
			switch {
			case e.State != Open:
			case int64(now) < e.live.outUntil.Load():
				out++
			case r.full(now, e, req.lane()):
				full++
			default:
				open++
			}
		}
	}
	return code.New(code.NoEndpoint, "pool %s model %q: %d endpoints, %d eligible, %d ejected, %d full",
		req.Pool, req.Artifact.Model, known, open, out, full).WithRetryAfter(retryAfter)
}

// retryAfter is the time to come back when no endpoint takes work: two rounds
// of the sweep that ends ejections.
const retryAfter = 500 * time.Millisecond
