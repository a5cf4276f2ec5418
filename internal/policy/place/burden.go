package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// The weights of a choice's cost to other requests.
const (
	// minCostWeight weighs the work of a prefill against the request's own wait. Without it a
	// prompt goes to an idle engine that has none of it cached, and under load every engine
	// prefills every shared part again. The weight grows by one for each enginesPerCostWeight
	// engines, up to maxCostWeight: with six engines a shared part is soon cached at each of them,
	// and waiting for a particular one means waiting behind a sixth of all prompts, while
	// forty-five engines would prefill it forty-five times.
	minCostWeight        = 1
	enginesPerCostWeight = 6
	maxCostWeight        = 4
	// streamCostWeight weighs the work of a prefill at a decode engine for each stream that runs
	// there: all of them stall while a chunk of the prompt is processed, and the longer the streams
	// take, the more of them run at a time.
	streamCostWeight = 0.08
	// uncachedPrefixCredit is the share of a shared prefix's prefill time that is credited to the
	// prefix's preferred engine as long as the prefix isn't cached there.
	uncachedPrefixCredit = 0.5
	// fullOccupancyCost is the cost of an engine whose slots are all taken. It spreads requests whose scores
	// are equal otherwise.
	fullOccupancyCost = 2 * time.Millisecond
	// prefillShareOfGap is the share of the target for the gap between two events that a prefill at a decode engine
	// may take: its streams produce their next events in the rest.
	prefillShareOfGap = 0.5
	// lateStreamCost is the cost of each stream whose next event a longer prefill delays beyond its target. It is in
	// the order of the targets for first events, as a late event makes a stream as late as a late first one does.
	lateStreamCost = 100 * time.Millisecond
	// decodeSpeedWeight is the cost of decoding a stream at an engine with a slowdown of 1. It is in the order of the
	// gap between two events, which a slower engine lengthens.
	decodeSpeedWeight = 40 * time.Millisecond
	// minSharedTokens is the minimum length of a shared part that affects placement. It corresponds
	// to a few milliseconds of prefill.
	minSharedTokens = 256
)

// costToOthers returns what a prefill costs other requests: those that follow it and, at a decode
// engine, the streams that run there, whose tokens it delays. work is that at the engine's usual speed: a
// prefill takes longer at a slowed engine, but others could do no more there meanwhile. engines is the
// number of engines that could do the prefill.
func (s *endpointState) costToOthers(work time.Duration, engines, streams int) time.Duration {
	weight := min(minCostWeight+float64(engines)/enginesPerCostWeight, maxCostWeight)
	if s.ep.Stage == catalog.Decode {
		weight = max(weight, streamCostWeight*float64(streams))
	}
	return time.Duration(weight * float64(work))
}

// eventGapCost returns the cost to the streams at a decode engine if a prefill that takes work delays their next events
// beyond the target.
func (p *Planner) eventGapCost(s *endpointState, work time.Duration, streams int) time.Duration {
	limit := time.Duration(prefillShareOfGap * float64(p.gapTargets[s.ep.Service]))
	if s.ep.Stage != catalog.Decode || limit == 0 || work <= limit {
		return 0
	}
	return time.Duration(streams) * lateStreamCost
}

// decodeSpeedCost returns the cost of decoding a stream at s, which is zero at an engine that only prefills.
func (s *endpointState) decodeSpeedCost(now clock.Time) time.Duration {
	if s.ep.Stage == catalog.Prefill {
		return 0
	}
	return time.Duration(s.pace.Slowdown(now) * float64(decodeSpeedWeight))
}

// occupancyCost returns the cost of the requests that run at an engine already.
func (s *endpointState) occupancyCost(requests int) time.Duration {
	return time.Duration(float64(fullOccupancyCost) * float64(requests) / float64(max(s.ep.Slots, 1)))
}

// prefixCredit returns the credit of the engine that all VMs prefer for the prompt's longest shared
// prefix, as long as the prefix isn't cached there.
func (p *Planner) prefixCredit(s *endpointState, pr *Prompt, cached int, preferred *endpointState) time.Duration {
	if s != preferred {
		return 0
	}
	uncached := pr.SharedTokens() - cached
	if uncached < minSharedTokens {
		return 0
	}
	return time.Duration(uncachedPrefixCredit * float64(p.speeds.coefficients(s.ep).Work(uncached, cached)))
}
