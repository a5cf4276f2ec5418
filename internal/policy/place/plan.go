package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// Plan says where a model request goes.
type Plan struct {
	// Prefill is the engine that prefills and hands over; nil if Engine does
	// the whole.
	Prefill *catalog.Endpoint
	Engine  *catalog.Endpoint
	Source  *catalog.Endpoint // from which the prefilling engine fetches what it lacks; nil for none
	CachedTokens  int               // tokens believed to be cached where the prefill runs, after the fetch
	Fetch   time.Duration     // predicted time of the fetch
	FirstEvent   time.Duration     // predicted time to the first event
	Work    time.Duration     // predicted prefill work
	Wait    time.Duration     // predicted time until the prefill starts
	Candidates int               // that could have prefilled it

	fresh int // tokens that the engine reads
}

// Job is the prefill of the plan.
func (p *Plan) Job() Job { return Job{Work: p.Work, Fetch: p.Fetch, fresh: p.fresh, cached: p.CachedTokens} }

// Plan returns the plan with the earliest predicted first event among the open
// endpoints but those in exclude. It returns false if no engine can take pr.
func (p *Planner) Plan(now clock.Time, open []*catalog.Endpoint, pr *Prompt, exclude map[string]bool) (Plan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.candidates(now, open, exclude)
	from := c.sourcesOf(pr)
	whole, haveWhole := p.best(now, c.decode, pr, from)
	split, haveSplit := p.best(now, c.prefill, pr, from)
	target := p.leastRunning(now, c.decode, split.s)
	if haveSplit && target != nil {
		over := p.transfer(target.ep, pr.Tokens)
		split.first += over
		split.score += over
	}
	switch {
	case haveSplit && target != nil && (!haveWhole || split.score < whole.score):
		plan := split.plan(pr, len(c.prefill))
		plan.Prefill, plan.Engine = split.s.ep, target.ep
		return plan, true
	case haveWhole:
		return whole.plan(pr, len(c.decode)), true
	}
	return Plan{}, false
}

// candidates are the engines in reach, by what they can do.
type candidates struct{ prefill, decode []*state }

// candidates judges the engines of each stage among themselves: the last decode
// engine of a service is a small share of it, and left out as one of many it would
// leave nobody to run what the others prefill.
func (p *Planner) candidates(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) candidates {
	var c candidates
	for _, s := range p.within(now, open, exclude) {
		if s.ep.Stage == catalog.Prefill {
			c.prefill = append(c.prefill, s)
		} else {
			c.decode = append(c.decode, s)
		}
	}
	c.prefill, c.decode = healthy(now, c.prefill), healthy(now, c.decode)
	return c
}

// option is one engine for a prompt's prefill.
type option struct {
	s      *state
	source *state // that it fetches from, nil for none
	cached int
	fetch  time.Duration
	work   time.Duration
	wait   time.Duration
	first  time.Duration
	score  time.Duration // first, with what favours and hinders the engine
}

// plan is the plan in which the option's engine does the whole. engines is how many
// could have.
func (o *option) plan(pr *Prompt, engines int) Plan {
	p := Plan{
		Engine: o.s.ep, CachedTokens: o.cached, Fetch: o.fetch, FirstEvent: o.first, Work: o.work, Wait: o.wait, Candidates: engines,
		fresh: max(pr.Tokens-o.cached, 1),
	}
	if o.source != nil {
		p.Source = o.source.ep
	}
	return p
}

func (p *Planner) best(now clock.Time, list []*state, pr *Prompt, from sources) (option, bool) {
	var best option
	preferred := preferredFor(list, sharedID(pr.Parts))
	for _, s := range p.choices(list, preferred, pr) {
		o := option{s: s, wait: p.wait(now, s)}
		o.work, o.cached = p.work(s, pr)
		if f, ok := p.bestFetch(s, pr, from, o.cached, o.work); ok {
			o.source, o.cached, o.fetch, o.work = f.from, f.cached, f.takes, f.work
		}
		o.first = o.wait + o.fetch + o.work + p.fixed(s)
		o.score = o.first + fetchBurden*o.fetch + s.burden(o.work, len(list), s.running+p.peerRunning(now, s.key())) - p.credit(s, pr, o.cached, preferred)
		if s.ep.Zone != p.zone {
			o.score += zoneTime
		}
		if best.s == nil || o.score < best.score {
			best = o
		}
	}
	return best, best.s != nil
}

// maxChoices is how many engines are looked at besides those that are wanted for
// what they have cached. The VMs' views of a large fleet are some hundred
// milliseconds old: choosing the best of all, each would send to the engine that
// was idle then, and it would be the busiest of all until the next beat. A few
// at random keep most of the gain of choosing and spread the VMs.
const maxChoices = 5

// choices returns the engines to look at for a prompt.
func (p *Planner) choices(list []*state, preferred *state, pr *Prompt) []*state {
	if len(list) <= 2*maxChoices {
		return list
	}
	out := make([]*state, 0, 2*maxChoices)
	start := int(p.turn() % uint32(len(list)))
	for i := range list {
		s := list[(start+i)%len(list)]
		wanted := s == preferred || s.cache.prefix(pr.Parts) >= minShared && len(pr.Parts) > 1
		if wanted || int(p.turn()%uint32(len(list))) < maxChoices {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		out = append(out, list[start])
	}
	return out
}

// preferredFor is the engine that every VM prefers for a shared prefix, by
// rendezvous hashing: a VM more or less moves no prefix, an engine more or less
// moves only its own.
func preferredFor(list []*state, id uint64) *state {
	if id == 0 {
		return nil
	}
	var best *state
	var top uint64
	for _, s := range list {
		if h := splitmix.Mix(id ^ s.hash); best == nil || h > top {
			best, top = s, h
		}
	}
	return best
}

// turn returns a pseudo-random number that the seed fixes.
func (p *Planner) turn() uint32 {
	p.seed = splitmix.Mix(p.seed)
	return uint32(p.seed >> 33)
}
