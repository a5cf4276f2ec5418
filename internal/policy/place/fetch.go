package place

import (
	"time"

	"fescuestand/internal/catalog"
)

const (
	// fetchOverhead is the fixed time of a fetch between two engines.
	fetchOverhead = 10 * time.Millisecond
	// fetchCostWeight weighs the time of a fetch against the request's own wait: other transfers on
	// the links of both engines, KV cache transfers among them, wait behind it.
	fetchCostWeight = 1
	// otherZoneTransferFactor is how many times longer a transfer between zones takes than one
	// within a zone.
	otherZoneTransferFactor = 2
)

// source is an engine from which cached parts of a prompt can be fetched.
type source struct {
	s      *endpointState
	tokens int // of the prompt that it is estimated to have cached
}

// sources holds the best source for a prompt over all zones, and the best one in each zone.
type sources struct {
	any    source
	byZone map[string]source
}

// sourcesOf returns the engines of either stage that have the longest prefix of pr cached. Among
// those with the same length the one with the fewest requests is chosen, as a part that many
// requests share is soon cached at several engines.
func (c *candidates) sourcesOf(pr *Prompt) sources {
	out := sources{byZone: map[string]source{}}
	if len(pr.Parts) < 2 {
		return out
	}
	for _, list := range [][]*endpointState{c.prefill, c.decode} {
		for _, s := range list {
			n := s.cache.prefixTokens(pr.Parts)
			if n < minSharedTokens {
				continue
			}
			out.any = out.any.better(s, n)
			out.byZone[s.ep.Zone] = out.byZone[s.ep.Zone].better(s, n)
		}
	}
	return out
}

// better returns the better source of a and s, which has tokens cached.
func (a source) better(s *endpointState, tokens int) source {
	if a.s == nil || tokens > a.tokens || tokens == a.tokens && s.running < a.s.running {
		return source{s, tokens}
	}
	return a
}

// fetch is the transfer of a prompt's cached prefix from one engine to another, which then prefills
// the rest.
type fetch struct {
	from     *endpointState
	cached   int           // tokens that the engine has cached after the fetch
	transfer time.Duration // time of the transfer
	work     time.Duration // time to prefill the rest
}

// bestFetch returns the fetch with which s completes the prefill of pr first. It returns false if s
// is faster without a fetch.
func (p *Planner) bestFetch(s *endpointState, pr *Prompt, from sources, cached int, work time.Duration) (fetch, bool) {
	best := fetch{work: work}
	for _, src := range []source{from.byZone[s.ep.Zone], from.any} {
		if src.s == nil || src.s == s || src.tokens-cached < minSharedTokens {
			continue
		}
		f := fetch{from: src.s, cached: src.tokens, work: p.workAfter(s, pr, src.tokens)}
		f.transfer = p.fetchTime(s.ep, src.s.ep, src.tokens-cached)
		if f.transfer+f.work < best.transfer+best.work {
			best = f
		}
	}
	return best, best.from != nil
}

// fetchTime returns the time to fetch the KV cache of tokens from one engine to another.
func (p *Planner) fetchTime(to, from *catalog.Endpoint, tokens int) time.Duration {
	perToken := p.transferPerToken(to)
	if to.Zone != from.Zone {
		perToken *= otherZoneTransferFactor
	}
	return fetchOverhead + time.Duration(tokens)*perToken
}
