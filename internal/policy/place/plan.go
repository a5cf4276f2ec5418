package place

import (
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// Plan is the placement of a model request.
type Plan struct {
	// Prefill is the engine that prefills and then transfers the KV cache to Engine. It is nil if
	// Engine does both.
	Prefill      *catalog.Endpoint
	Engine       *catalog.Endpoint
	Source       *catalog.Endpoint // from which the prefilling engine fetches a cached prefix, nil for none
	CachedTokens int               // estimated tokens that are cached where the prefill runs, after the fetch
	Fetch        time.Duration     // predicted time of the fetch
	FirstEvent   time.Duration     // predicted time to the first event
	Work         time.Duration     // predicted time of the prefill
	Wait         time.Duration     // predicted time until the prefill starts
	Candidates   int               // number of engines that could have prefilled it

	fresh     int           // tokens that the engine prefills
	usualWork time.Duration // time of the prefill at the engine's usual speed
}

// Job returns the job of the engine that prefills.
func (p *Plan) Job() Job {
	return Job{Work: p.usualWork, Fetch: p.Fetch, fresh: p.fresh, cached: p.CachedTokens}
}

// Plan returns the plan with the earliest predicted first event, adjusted by its cost to other
// requests, among the open endpoints that aren't in exclude, or one that may be as good by the age of the
// other VMs' reports. All engines of a plan are of one software
// version, as one version may not read the KV cache that another one wrote. Plan returns false if no
// engine can take pr.
func (p *Planner) Plan(now clock.Time, open []*catalog.Endpoint, pr *Prompt, exclude map[string]bool) (Plan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.candidates(now, open, exclude)
	var best Plan
	var lowest time.Duration
	found := false
	for _, c := range all.byVersion() {
		if plan, score, ok := p.planOneVersion(now, &c, &all, pr); ok && (!found || score < lowest) {
			best, lowest, found = plan, score, true
		}
	}
	return best, found
}

// planOneVersion returns the best plan with the engines in c, which are of one version, and its score. all
// are the engines of all versions.
func (p *Planner) planOneVersion(now clock.Time, c, all *candidates, pr *Prompt) (Plan, time.Duration, bool) {
	from := c.sourcesOf(pr)
	whole, haveWhole := p.best(now, c.decode, len(all.decode), pr, from)
	split, haveSplit := p.best(now, c.prefill, len(all.prefill), pr, from)
	target := p.leastLoadedDecode(now, c.decode, split.s)
	if haveSplit && target != nil {
		transfer := p.transferTime(target.ep, pr.Tokens)
		split.firstEvent += transfer
		split.score += transfer + target.decodeSpeedCost(now)
	}
	switch {
	case haveSplit && target != nil && (!haveWhole || split.score < whole.score):
		plan := split.plan(pr, len(all.prefill))
		plan.Prefill, plan.Engine = split.s.ep, target.ep
		return plan, split.score, true
	case haveWhole:
		return whole.plan(pr, len(all.decode)), whole.score, true
	}
	return Plan{}, 0, false
}

// candidates are the engines that a request may be sent to, by stage. Engines that aren't prefill
// engines are in decode.
type candidates struct{ prefill, decode []*endpointState }

// candidates returns the healthy engines. Outliers are ejected for each stage separately: if the
// last decode engine of a service were ejected as one of many engines, no engine would be left to
// decode what the others prefill.
func (p *Planner) candidates(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) candidates {
	var c candidates
	for _, s := range p.eligible(now, open, exclude) {
		if s.ep.Stage == catalog.Prefill {
			c.prefill = append(c.prefill, s)
		} else {
			c.decode = append(c.decode, s)
		}
	}
	c.prefill, c.decode = p.usable(now, c.prefill), p.usable(now, c.decode)
	return c
}

// byVersion returns the candidates of each software version, in the order in which versions occur.
func (c *candidates) byVersion() []candidates {
	if c.haveOneVersion() {
		return []candidates{*c}
	}
	var out []candidates
	index := map[string]int{}
	group := func(s *endpointState) *candidates {
		i, known := index[s.ep.Version]
		if !known {
			i = len(out)
			index[s.ep.Version] = i
			out = append(out, candidates{})
		}
		return &out[i]
	}
	for _, s := range c.prefill {
		g := group(s)
		g.prefill = append(g.prefill, s)
	}
	for _, s := range c.decode {
		g := group(s)
		g.decode = append(g.decode, s)
	}
	return out
}

func (c *candidates) haveOneVersion() bool {
	var first *endpointState
	for _, list := range [][]*endpointState{c.prefill, c.decode} {
		for _, s := range list {
			if first == nil {
				first = s
			}
			if s.ep.Version != first.ep.Version {
				return false
			}
		}
	}
	return true
}

// option is one engine for a prompt's prefill.
type option struct {
	s          *endpointState
	source     *endpointState // that it fetches from, nil for none
	cached     int            // tokens, after the fetch
	fetch      time.Duration
	usualWork  time.Duration // time of the prefill at the engine's usual speed
	work       time.Duration
	wait       time.Duration
	firstEvent time.Duration
	score      time.Duration // firstEvent plus costs and minus credits; the lowest one is the best
}

// plan returns the plan in which the option's engine both prefills and decodes. candidates is the
// number of engines that could.
func (o *option) plan(pr *Prompt, candidates int) Plan {
	p := Plan{
		Engine: o.s.ep, CachedTokens: o.cached, Fetch: o.fetch, FirstEvent: o.firstEvent, Work: o.work, Wait: o.wait, Candidates: candidates,
		fresh: max(pr.Tokens-o.cached, 1), usualWork: o.usualWork,
	}
	if o.source != nil {
		p.Source = o.source.ep
	}
	return p
}

// best returns the engine of list that is chosen for the prefill of pr by its score (choose). engines is the
// number of engines of all versions that could do it. best returns false if list is empty.
func (p *Planner) best(now clock.Time, list []*endpointState, engines int, pr *Prompt, from sources) (option, bool) {
	preferred := preferredFor(list, pr.Parts)
	compared := p.sampleWithRoom(now, list, preferred, pr)
	options, choices := make([]option, 0, len(compared)), make([]choice, 0, len(compared))
	for _, s := range compared {
		o := option{s: s}
		o.usualWork, o.cached = p.work(s, pr)
		if f, ok := p.bestFetch(s, pr, from, o.cached, o.usualWork); ok {
			o.source, o.cached, o.fetch, o.usualWork = f.from, f.cached, f.transfer, f.work
		}
		usualWait := p.usualWait(now, s)
		o.wait = s.pace.Time(now, usualWait)
		o.work = s.pace.Time(now, usualWait+o.usualWork) - o.wait
		o.firstEvent = o.wait + o.fetch + o.work + p.fixed(s)
		requests := s.running + p.peerRunning(now, s.key())
		o.score = o.firstEvent + fetchCostWeight*o.fetch + s.costToOthers(o.usualWork, engines, requests) + p.eventGapCost(s, o.work, requests) + s.decodeSpeedCost(now) + s.occupancyCost(requests) - p.prefixCredit(s, pr, o.cached, preferred)
		if s.ep.Zone != p.zone {
			o.score += otherZoneTime
		}
		choices = append(choices, choice{len(options), o.score.Seconds(), (s.occupancyCost(1) + o.work).Seconds()})
		options = append(options, o)
	}
	if len(options) == 0 {
		return option{}, false
	}
	unreported := p.unreported(now, list[0]) * float64(len(options)) / float64(len(list))
	return options[p.choose(choices, unreported)], true
}

// sampleSize is how many random engines, on average, are compared in addition to those that have a
// part of the prompt cached. In a large fleet the VMs' data on the engines is some hundred
// milliseconds old. If each VM compared all engines, all VMs would send to the engine that was idle
// at that time, and it would be the busiest one until the next beat. A small random sample keeps
// most of the gain of choosing and makes the VMs choose different engines.
const sampleSize = 5

// sampleWithRoom returns the engines to compare for a prompt. Engines without room are compared only if the list
// has no others.
func (p *Planner) sampleWithRoom(now clock.Time, list []*endpointState, preferred *endpointState, pr *Prompt) []*endpointState {
	sample := p.sample(list, preferred, pr)
	if free := p.withRoom(now, sample); len(free) > 0 {
		return free
	}
	if free := p.withRoom(now, list); len(free) > 0 {
		return free
	}
	return notFull(now, list)
}

// sample returns the engines to compare for a prompt, in an order with a random start.
func (p *Planner) sample(list []*endpointState, preferred *endpointState, pr *Prompt) []*endpointState {
	if len(list) == 0 {
		return nil
	}
	start := int(p.random() % uint32(len(list)))
	if len(list) <= 2*sampleSize {
		return append(slices.Clone(list[start:]), list[:start]...)
	}
	out := make([]*endpointState, 0, 2*sampleSize)
	for i := range list {
		s := list[(start+i)%len(list)]
		required := s == preferred || s.cache.prefixTokens(pr.Parts) >= minSharedTokens && len(pr.Parts) > 1
		if required || int(p.random()%uint32(len(list))) < sampleSize {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		out = append(out, list[start])
	}
	return out
}

// preferredFor returns the engine that every VM prefers for the shared prefix of parts, by rendezvous hashing:
// a change of the VMs moves no prefix, and an engine that is added or removed moves only its own
// prefixes. It returns nil if there is no shared prefix.
func preferredFor(list []*endpointState, parts []Part) *endpointState {
	id, shared := sharedID(parts)
	if !shared {
		return nil
	}
	var best *endpointState
	var maxHash uint64
	for _, s := range list {
		if h := splitmix.Mix(id ^ s.hash); best == nil || h > maxHash {
			best, maxHash = s, h
		}
	}
	return best
}

// random returns the next pseudo-random number of the sequence that the seed determines.
func (p *Planner) random() uint32 {
	p.seed = splitmix.Mix(p.seed)
	return uint32(p.seed >> 33)
}
