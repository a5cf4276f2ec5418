// Package place chooses endpoints for requests. For a model request it decides whether one engine
// prefills and another one decodes or one engine does both, and which engines these are. For a call
// of a plain service it chooses the endpoint.
//
// Load pattern: a fixed set of engines, some of which prefill at full and others at half speed,
// serves prompts with a heavy-tailed length whose first parts are shared by many requests. An
// engine prefills in order of arrival: a more urgent prompt doesn't overtake one that has started.
// Several VMs send requests to the same engines. Without predictions, a short question waits behind
// a prompt of 50,000 tokens, each engine prefills the same shared parts, and decode engines delay
// the tokens of all their streams by prefilling.
//
// Approach: the planner chooses the plan with the earliest predicted first event, plus the plan's
// cost to other requests. The prediction is the sum of
//   - the prefill work that is outstanding at the engine, by this VM's own count and the last
//     reports of the other VMs, and
//   - the time to prefill what the engine doesn't have cached by this VM's estimate, or to fetch
//     that from an engine that has it,
//
// each adjusted for how fast the engine works at this moment, if it says so (package pace).
//
// The speed of a service's engines is estimated from their answers (package speed). If a prompt's
// shared part is cached nowhere, all VMs prefer the same engine for it.
//
// The package does no I/O and reads no clock. A Planner is safe for concurrent use.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/pace"
)

const (
	// defaultTransferPerToken is the assumed time to transfer one token's KV cache if the
	// configuration doesn't specify it.
	defaultTransferPerToken = 400 * time.Nanosecond
	// otherZoneTime is the time that an exchange with another availability zone adds.
	otherZoneTime = 3 * time.Millisecond
	// maxPeerReportAge is the age from which a peer's report is ignored: ten of its reports are
	// missing then.
	maxPeerReportAge = 2 * time.Second
)

// Part is a part of a prompt. Prompts share it if its ID is the same.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the data of a model request that placement uses.
type Prompt struct {
	Parts  []Part // in order; the last one belongs to this request alone
	Tokens int    // of the whole prompt
}

// Planner places one VM's requests. It holds the VM's estimates of the endpoints' load, caches and
// health.
type Planner struct {
	// Admits reports whether an endpoint takes a request now. It must be set before the first use;
	// if it is nil, all endpoints do.
	Admits func(now clock.Time, e *catalog.Endpoint) bool

	zone string

	mu        sync.Mutex
	seed      uint64
	endpoints map[string]*endpointState // by ID
	keys      map[uint32]string         // IDs of the endpoints by their Key
	peers     map[string]peerReport
	meter     demandMeter

	engines    map[string]catalog.Engine // configuration by service
	config     *catalog.Config           // that gapTargets are of
	gapTargets map[string]time.Duration  // shortest target for the gap between two events, by service
	speeds     speeds

	sends            map[group]*sendMeter
	slowdownsIgnored int64
}

// New returns a planner for a VM in zone. The planners of different VMs must have different seeds,
// so that they break ties differently.
func New(zone string, seed uint64) *Planner {
	return &Planner{
		zone: zone, seed: seed, endpoints: map[string]*endpointState{}, peers: map[string]peerReport{}, speeds: speeds{}, sends: map[group]*sendMeter{},
	}
}

// endpointState is the estimated state of one endpoint.
type endpointState struct {
	ep       *catalog.Endpoint
	hash     uint64               // of its ID
	prefills map[*Ticket]struct{} // that were sent and haven't finished
	running  int                  // this VM's exchanges that haven't ended
	slowness float64              // lasting ratio of its prefill time to that of its service's engines
	cache    cache
	health   health
	load     reportedLoad
	room     room
	pace     pace.Figure
	paceOwn  bool // this VM has received the figure from the endpoint itself
	capacity statedCapacity
}

func newEndpointState(e *catalog.Endpoint) *endpointState {
	return &endpointState{ep: e, hash: hashOf(e.ID), slowness: 1, cache: newCache(0), prefills: map[*Ticket]struct{}{}}
}

// reportedLoad is the number of requests that an endpoint reported with an answer.
type reportedLoad struct {
	requests int
	at       clock.Time
}

// SetView sets the endpoints and the configuration to those of v. The state of an endpoint is
// discarded when its process is replaced by another one.
func (p *Planner) SetView(v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*endpointState, len(v.All()))
	p.engines = enginesOf(v)
	if v.Config != p.config {
		p.config, p.gapTargets = v.Config, gapTargetsOf(v)
	}
	for _, e := range v.All() {
		s := p.endpoints[e.ID]
		if s == nil || s.ep.Born != e.Born || s.ep.Address != e.Address {
			s = newEndpointState(e)
		}
		s.ep = e
		s.cache.resize(p.engines[e.Service].CacheTokens)
		next[e.ID] = s
	}
	p.endpoints = next
	p.keys = make(map[uint32]string, len(next))
	for id, s := range next {
		p.keys[s.key()] = id
	}
}

// Key returns a short identifier of an endpoint for messages between VMs. Two endpoints have the
// same one in one of a million deployments of a hundred endpoints; the estimates are then less
// exact.
func Key(id string) uint32 { return uint32(hashOf(id)) }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

func (s *endpointState) key() uint32 { return uint32(s.hash) }

// enginesOf returns the engine configuration of each service.
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

// gapTargetsOf returns the shortest gap target of the routes that lead to each service.
func gapTargetsOf(v *catalog.View) map[string]time.Duration {
	out := map[string]time.Duration{}
	if v.Config == nil {
		return out
	}
	for r := range v.Config.Routes() {
		for _, s := range r.Shares {
			known := out[s.Service]
			if r.EventGapTarget > 0 && (known == 0 || r.EventGapTarget < known) {
				out[s.Service] = r.EventGapTarget
			}
		}
	}
	return out
}

// transferTime returns the predicted time to transfer a prompt's KV cache to e.
func (p *Planner) transferTime(e *catalog.Endpoint, tokens int) time.Duration {
	return p.speeds.of(e.Service).handoff.Value() + time.Duration(tokens)*p.transferPerToken(e)
}

// transferPerToken returns the time to transfer one token's KV cache to e within its zone.
func (p *Planner) transferPerToken(e *catalog.Endpoint) time.Duration {
	if t := p.engines[e.Service].KVTransferPerToken; t > 0 {
		return t
	}
	return defaultTransferPerToken
}

// wait returns the predicted time until a prompt that is sent now starts at s. It counts the full
// work of each unanswered prefill, however long ago it was sent: if an engine is slower than
// predicted, only the number of its unanswered prefills shows it. The fixed time is subtracted for
// prefills that are done and whose answers are on their way.
func (p *Planner) wait(now clock.Time, s *endpointState) time.Duration {
	return s.pace.Time(now, p.usualWait(now, s))
}

// usualWait returns the predicted time until a prompt that is sent now starts at s if s works at its usual
// speed.
func (p *Planner) usualWait(now clock.Time, s *endpointState) time.Duration {
	return max(s.outstanding()+p.peerWork(now, s.key())-p.fixed(s), 0)
}

// outstanding returns the prefill work that this VM has sent to s and that s hasn't answered, at the usual
// speed of s.
func (s *endpointState) outstanding() time.Duration {
	var sum time.Duration
	for t := range s.prefills {
		sum += t.job.Work
	}
	return sum
}

// work returns the predicted time of a prefill at s if s works at its usual speed, and the number of tokens
// that s has cached.
func (p *Planner) work(s *endpointState, pr *Prompt) (t time.Duration, cached int) {
	cached = s.cache.prefixTokens(pr.Parts)
	return p.workAfter(s, pr, cached), cached
}

// workAfter returns the predicted time to prefill what follows the cached tokens of pr, at the usual speed
// of s.
func (p *Planner) workAfter(s *endpointState, pr *Prompt, cached int) time.Duration {
	c := p.speeds.coefficients(s.ep)
	return time.Duration(float64(c.Work(max(pr.Tokens-cached, 1), cached)) * s.slowness)
}

// SharedTokens returns the total length of the parts that other prompts may share.
func (pr *Prompt) SharedTokens() int {
	n := 0
	for i := range len(pr.Parts) - 1 {
		n += pr.Parts[i].Tokens
	}
	return n
}

// sharedID returns an identifier of the longest shared prefix, or false if there is none.
func sharedID(parts []Part) (uint64, bool) {
	if len(parts) < 2 {
		return 0, false
	}
	return parts[len(parts)-2].ID, true
}
