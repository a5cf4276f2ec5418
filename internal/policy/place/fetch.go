package place

import (
	"time"

	"fescuestand/internal/catalog"
)

const (
	// fetchTime is the fixed time of a fetch between two engines.
	fetchTime = 10 * time.Millisecond
	// fetchBurden weighs a fetch against the request's own wait: the transfers of
	// both links wait behind it, those of hand-overs among them.
	fetchBurden = 1
	// otherZoneTransfer times a transfer within a zone is one between two.
	otherZoneTransfer = 2
)

// source is an engine from which the parts of a prompt can be fetched.
type source struct {
	s      *state
	tokens int // of the prompt that it is believed to have
}

// sources are the best ones for a prompt: in any zone, and in each.
type sources struct {
	any    source
	byZone map[string]source
}

// sourcesOf returns the engines of both stages that have most of pr. Of those that
// have as much, the one with the fewest requests is taken: a part that many ask
// for is soon kept by several.
func (c *candidates) sourcesOf(pr *Prompt) sources {
	out := sources{byZone: map[string]source{}}
	if len(pr.Parts) < 2 {
		return out
	}
	for _, list := range [][]*state{c.prefill, c.decode} {
		for _, s := range list {
			n := s.cache.prefix(pr.Parts)
			if n < minShared {
				continue
			}
			out.any = out.any.better(s, n)
			out.byZone[s.ep.Zone] = out.byZone[s.ep.Zone].better(s, n)
		}
	}
	return out
}

func (a source) better(s *state, tokens int) source {
	if a.s == nil || tokens > a.tokens || tokens == a.tokens && s.running < a.s.running {
		return source{s, tokens}
	}
	return a
}

// fetch is a part of a prompt that an engine takes from another one before it
// reads the rest.
type fetch struct {
	from   *state
	cached int           // tokens that the engine has then
	takes  time.Duration // the transfer
	work   time.Duration // to read the rest
}

// bestFetch returns the fetch after which s has read pr first. It returns false if
// no fetch is worth it.
func (p *Planner) bestFetch(s *state, pr *Prompt, from sources, cached int, work time.Duration) (fetch, bool) {
	best := fetch{work: work}
	for _, src := range []source{from.byZone[s.ep.Zone], from.any} {
		if src.s == nil || src.s == s || src.tokens-cached < minShared {
			continue
		}
		f := fetch{from: src.s, cached: src.tokens, work: p.workAfter(s, pr, src.tokens)}
		f.takes = p.fetchTime(s.ep, src.s.ep, src.tokens-cached)
		if f.takes+f.work < best.takes+best.work {
			best = f
		}
	}
	return best, best.from != nil
}

// fetchTime is the time to fetch tokens from one engine to another.
func (p *Planner) fetchTime(to, from *catalog.Endpoint, tokens int) time.Duration {
	perToken := p.perToken(to)
	if to.Zone != from.Zone {
		perToken *= otherZoneTransfer
	}
	return fetchTime + time.Duration(tokens)*perToken
}
