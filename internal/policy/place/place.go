// Package place chooses the endpoints of requests: for a model request, whether
// one engine prefills and another decodes or one does both, and which; for a
// call of a plain service, which endpoint.
//
// Load pattern: a fixed set of engines, some of which prefill at full and
// others at half speed, takes prompts whose length is heavy-tailed and whose
// first parts are shared by many requests. An engine prefills in order of
// arrival: a more urgent prompt doesn't overtake one that has begun. Several VMs
// send to the same engines. Sent blindly, a short question waits behind a prompt
// of 50,000 tokens, a shared part is prefilled again by each engine in turn, and
// decode engines slow the tokens of all their streams by prefilling.
//
// So a plan is the choice with the earliest predicted first event, plus what it
// costs those who come after. The prediction adds the prefill work that is
// outstanding at the engine, by this VM's own count and by what the other VMs
// told last, to the time for the part of the prompt that the engine isn't
// believed to have cached, or for fetching that from an engine which has it. How
// fast the engines of a service are is learned from their answers (package speed).
// Where a prompt's shared part is cached nowhere, all VMs favour the same engine
// for it.
//
// The package does no I/O and reads no clock. A Planner is safe for concurrent
// use.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// usualTransfer is assumed for one token's KV cache where the configuration
	// doesn't say.
	usualTransfer = 400 * time.Nanosecond
	// zoneTime is what an exchange with another availability zone adds.
	zoneTime = 3 * time.Millisecond
	// peerStale is the age from which a peer's figures are ignored: ten of
	// its reports are missing.
	peerStale = 2 * time.Second
)

// Part is one piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what placement needs to know of a model request.
type Prompt struct {
	Parts  []Part // in order; the last one is the request's own
	Tokens int    // of the whole prompt
}

// Planner holds one VM's beliefs about the endpoints.
type Planner struct {
	// Admits tells whether an endpoint takes a request now. It is set before the first use;
	// all do if it is nil.
	Admits func(now clock.Time, e *catalog.Endpoint) bool

	zone string

	mu    sync.Mutex
	seed  uint64
	known map[string]*state
	keys  map[uint32]string // ids of the known endpoints by their Key
	peers map[string]peerReport
	meter meter

	engines map[string]catalog.Engine // by service, as the configuration has them
	speeds  speeds
}

// New returns a planner for a VM in zone. Planners of different VMs take
// different seeds, so that ties are broken differently.
func New(zone string, seed uint64) *Planner {
	return &Planner{
		zone: zone, seed: seed, known: map[string]*state{}, peers: map[string]peerReport{}, speeds: speeds{},
	}
}

// state is what is believed of one endpoint.
type state struct {
	ep      *catalog.Endpoint
	hash    uint64               // of its id
	jobs    map[*Ticket]struct{} // prefills sent and not finished
	running int                  // this VM's exchanges that have not ended
	speed   float64              // prefill time over that of its service's engines
	cache   cache
	health  health
	load    reportedLoad
}

func newState(e *catalog.Endpoint) *state {
	return &state{ep: e, hash: hashOf(e.ID), speed: 1, cache: newCache(0), jobs: map[*Ticket]struct{}{}}
}

// reportedLoad is what an endpoint said of itself with an answer.
type reportedLoad struct {
	requests int
	at       clock.Time
}

// SetView takes the endpoints of a view. What is believed of an endpoint ends
// with its process.
func (p *Planner) SetView(v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*state, len(v.All()))
	p.engines = enginesOf(v)
	for _, e := range v.All() {
		s := p.known[e.ID]
		if s == nil || s.ep.Born != e.Born || s.ep.Address != e.Address {
			s = newState(e)
		}
		s.ep = e
		s.cache.resize(p.engines[e.Service].CacheTokens)
		next[e.ID] = s
	}
	p.known = next
	p.keys = make(map[uint32]string, len(next))
	for id, s := range next {
		p.keys[s.key()] = id
	}
}

// Key is a short name of an endpoint for messages. Two endpoints share one once
// in a million deployments of a hundred, which makes a view less exact.
func Key(id string) uint32 { return uint32(hashOf(id)) }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// key is the endpoint's Key.
func (s *state) key() uint32 { return uint32(s.hash) }

// enginesOf returns what the configuration says of the engines of each service.
func enginesOf(v *catalog.View) map[string]catalog.Engine {
	out := map[string]catalog.Engine{}
	if v.Config == nil {
		return out
	}
	for name, s := range v.Config.Services {
		if s.Engine != nil {
			out[name] = *s.Engine
		}
	}
	return out
}

// transfer is the time to hand a prompt's KV cache over to e.
func (p *Planner) transfer(e *catalog.Endpoint, tokens int) time.Duration {
	return p.speeds.of(e.Service).handOver.Value() + time.Duration(tokens)*p.perToken(e)
}

// perToken is the time in which one token's KV cache goes to e within its zone.
func (p *Planner) perToken(e *catalog.Endpoint) time.Duration {
	if t := p.engines[e.Service].TokenTransfer; t > 0 {
		return t
	}
	return usualTransfer
}

// wait is the predicted time until a prompt that is sent now starts at s: the
// whole work of all prefills that haven't been answered, as an engine that is
// slower than predicted shows only by their number, less the work that is done
// and whose answers are under way.
func (p *Planner) wait(now clock.Time, s *state) time.Duration {
	return max(s.outstanding()+p.peerWork(now, s.key())-p.fixed(s), 0)
}

// outstanding is the work that this VM has sent to s and that isn't answered.
func (s *state) outstanding() time.Duration {
	var sum time.Duration
	for t := range s.jobs {
		sum += t.job.Work
	}
	return sum
}

// work is the predicted time of a prefill at s.
func (p *Planner) work(s *state, pr *Prompt) (t time.Duration, cached int) {
	cached = s.cache.prefix(pr.Parts)
	return p.workAfter(s, pr, cached), cached
}

// workAfter is the predicted time to prefill what follows the cached tokens of pr.
func (p *Planner) workAfter(s *state, pr *Prompt, cached int) time.Duration {
	f := p.speeds.figures(s.ep)
	return time.Duration(float64(f.Work(max(pr.Tokens-cached, 1), cached)) * s.speed)
}

// SharedTokens is the length of the parts that other prompts may share.
func (pr *Prompt) SharedTokens() int {
	n := 0
	for i := range len(pr.Parts) - 1 {
		n += pr.Parts[i].Tokens
	}
	return n
}

// sharedID identifies the longest shared prefix; zero if there is none.
func sharedID(parts []Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}
