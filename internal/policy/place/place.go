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
// believed to have cached. Where a prompt's shared part is cached nowhere, all
// VMs favour the same engine for it.
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

// The weights of what a choice costs others.
const (
	// leastBurden weighs the work of a prefill against the request's own wait.
	// Without it a prompt goes to an idle engine that has none of it cached,
	// and under load every engine reads every shared part again. The weight
	// grows by one for each enginesPerBurden engines up to mostBurden: a shared
	// part is soon cached at each of six, and waiting for one of them is
	// waiting behind a sixth of all prompts; forty-five would read it forty-five
	// times. On two days of 61 VMs and 89 engines the worth at a weight of 2 was
	// 0.70 and 0.64, at 4 it was 0.75 and 0.69; on a quiet day of 9 engines 4
	// refused 14 to 18 of a thousand requests and 2 refused 8.
	leastBurden      = 1
	enginesPerBurden = 6
	mostBurden       = 4
	// streamBurden weighs it at a decode engine for each stream that runs there:
	// every one of them stands still while a chunk of the prompt is read, and
	// the longer they take the more of them there are.
	streamBurden = 0.08
	// coldCredit is the part of a shared prefix's prefill time by which its
	// preferred engine is favoured while nobody has it cached.
	coldCredit = 0.5
	// minShared is the length from which a shared part is worth steering for:
	// a few milliseconds of prefill.
	minShared = 256
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

// Follow takes the endpoints of a view. What is believed of an endpoint ends
// with its process.
func (p *Planner) Follow(v *catalog.View) {
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

// burden is what a prefill costs others: those who come after it, and at a decode
// engine the streams that run there, whose tokens it delays. engines is how many
// could do it.
func (s *state) burden(work time.Duration, engines, streams int) time.Duration {
	weight := min(leastBurden+float64(engines)/enginesPerBurden, mostBurden)
	if s.ep.Stage == catalog.Decode {
		weight = max(weight, streamBurden*float64(streams))
	}
	return time.Duration(weight * float64(work))
}

// credit favours the engine that all VMs prefer for the prompt's longest shared
// prefix, while the prefix isn't cached there.
func (p *Planner) credit(s *state, pr *Prompt, cached int, preferred *state) time.Duration {
	if s != preferred {
		return 0
	}
	shared := pr.SharedTokens() - cached
	if shared < minShared {
		return 0
	}
	return time.Duration(coldCredit * float64(p.speeds.figures(s.ep).Work(shared, cached)))
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
