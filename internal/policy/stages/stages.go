// Package stages decides how many engines of a service are in the prefill stage
// and how many in the decode stage, and which engine changes its stage next.
//
// Load pattern: the prompts and the outputs of a request mix need different
// shares of the engines, and the initial split of a fleet need not match them. A
// decode engine can also prefill, but at half the speed and between the tokens of
// its streams, each of which becomes several times slower: with too few prefill
// engines, both the first events and the later ones are late.
//
// Approach: a change of stage makes an engine unavailable for seconds and has a
// cost, so the planner corrects a split only if it is wrong by at least a whole
// engine and stays wrong for some time.
//
// The package does no I/O and reads no clock.
package stages

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// targetPrefillUtilization is the share of time that prefill engines should be
	// busy. Above it their FIFO queues grow to several prompts with each burst.
	targetPrefillUtilization = 0.65
	// targetSlotUtilization, as a share of an engine's slots, and
	// maxStreamsPerEngine limit the streams that a decode engine should have: above
	// the first limit requests wait for a slot, above the second each token takes
	// over 5 ms.
	targetSlotUtilization = 0.65
	maxStreamsPerEngine   = 32
	// maxPrefillShare is the largest share of the engines in the prefill stage.
	// Decode engines can do the work of prefill engines, more slowly, but not the
	// other way round: a fleet that follows a mix of long prompts beyond this share
	// and then loses decode engines refuses requests until engines have changed back.
	maxPrefillShare = 0.5
	// decodeHeadroomFactor times the decode engines that the streams need are kept
	// before surplus prefill engines may stay: a burst adds that many streams.
	decodeHeadroomFactor = 1.25
	// maxPrefillUnmeasured limits the engines that are assigned to prefill while
	// there is no traffic. They serve the first requests, and a fleet of thousands
	// isn't reassigned for a mix that has not been measured.
	maxPrefillUnmeasured = 48
	// minDemandShare is the share of the engines that must be needed for a mix to
	// count as measured.
	minDemandShare = 0.1
	// minPerStage is the minimum number of engines in each stage, so that one of
	// them may crash.
	minPerStage = 2
	// minDecodePerVersion is the number of decode engines that each of several software versions
	// keeps: streams go on only at engines of the version that began them, and two of these may
	// crash at the same time.
	minDecodePerVersion = 3
	// minSplitEngines is the smallest service that is split: with fewer engines, a
	// stage would have only one.
	minSplitEngines = 2 * minPerStage
	// toleratedShare is the shortage of prefill engines, as a share of the engines,
	// that is tolerated while there is traffic: a change makes an engine unavailable
	// for 3 s, longer than many swings of the mix last. Missing decode engines are
	// replaced sooner, since no other engine can do their work.
	toleratedShare = 0.1
	// A split must be wrong for a delay before an engine changes: idleDelay without
	// traffic, and with traffic decodeShortageDelay if decode engines are missing and
	// prefillShortageDelay if prefill engines are.
	idleDelay            = 2 * time.Second
	decodeShortageDelay  = 3500 * time.Millisecond
	prefillShortageDelay = 5 * time.Second
	// maxChangingShare is the share of the engines that may be changing stage at the
	// same time while there is traffic.
	maxChangingShare = 0.05
	// maxNewAge is how long an engine counts as new. Changing the stage of a new
	// engine costs nothing: it has no requests and no cache yet.
	maxNewAge = 3 * time.Second
	// maxNewLoad is how many requests a new engine may already have.
	maxNewLoad = 2
	// maxNewChangingShare is the share of the engines changing stage from which no
	// further new engines are reassigned.
	maxNewChangingShare = 0.25
	// orderTimeout is how long an order counts as pending: a change takes 3 s and
	// then appears in the engine's catalog entry, well within this time.
	orderTimeout = 8 * time.Second
)

// Demand is the demand of a service's traffic.
type Demand struct {
	Prefill        float64 // prefill engines that would be busy all the time
	Streams        float64 // concurrent streams
	SlotsPerEngine int     // zero if unknown
}

// streamsPerEngine returns how many streams a decode engine should have.
func (d Demand) streamsPerEngine() float64 {
	if d.SlotsPerEngine == 0 {
		return maxStreamsPerEngine
	}
	return min(targetSlotUtilization*float64(d.SlotsPerEngine), maxStreamsPerEngine)
}

// requiredByStage returns how many engines of each stage the demand keeps at their
// target utilization.
func (d Demand) requiredByStage() (prefill, decode float64) {
	return d.Prefill / targetPrefillUtilization, d.Streams / d.streamsPerEngine()
}

// RequiredEngines returns how many engines the demand keeps at their target
// utilization.
func (d Demand) RequiredEngines() float64 {
	prefill, decode := d.requiredByStage()
	return prefill + decode
}

// measured reports whether there is enough traffic to measure the mix.
func (d Demand) measured(engines int) bool {
	prefill, decode := d.requiredByStage()
	return prefill+decode > minDemandShare*float64(engines)
}

// prefillShare returns the share of the engines that should prefill. Without measured
// traffic it is the maximum: once there is traffic, missing decode engines are replaced
// quickly, but missing prefill engines only over the time of many changes.
func (d Demand) prefillShare(engines int) float64 {
	if !d.measured(engines) {
		return maxPrefillShare
	}
	prefill, decode := d.requiredByStage()
	return min(prefill/(prefill+decode), maxPrefillShare)
}

// Engine is the recorded state of one engine.
type Engine struct {
	ID      string
	Version string // of its software
	Stage   catalog.Stage
	Load    int // requests at the engine
}

// Change is a change of an engine's stage.
type Change struct {
	ID string
	To catalog.Stage
}

// Planner plans one service. It isn't safe for concurrent use.
type Planner struct {
	pending   map[string]order
	wrongFrom clock.Time            // since when the split has been wrong
	surplus   int                   // prefill engines too many, negative if too few
	firstSeen map[string]clock.Time // by engine, zero for those of the first call of Plan
}

type order struct {
	to catalog.Stage
	at clock.Time
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{pending: map[string]order{}} }

// PrefillEngines returns how many of n engines should prefill.
func PrefillEngines(n int, d Demand) int {
	if n < minSplitEngines {
		return 0
	}
	p := int(math.Round(d.prefillShare(n) * float64(n)))
	return min(max(p, minPerStage), n-minPerStage)
}

// prefillSurplus returns by how many engines too many prefill, negative if too few. If
// there are more engines than the demand needs, surplus prefill engines are kept: a burst
// of prompts delays first events sooner than a burst of streams does.
func prefillSurplus(prefill, n int, d Demand) int {
	minPrefill, maxPrefill := prefillBounds(n, d)
	switch {
	case prefill < minPrefill:
		return prefill - minPrefill
	case prefill > maxPrefill:
		return prefill - maxPrefill
	}
	return 0
}

// prefillBounds returns how many of n engines should prefill at least and at most.
func prefillBounds(n int, d Demand) (minPrefill, maxPrefill int) {
	minPrefill = PrefillEngines(n, d)
	if !d.measured(n) {
		return min(minPrefill, maxPrefillUnmeasured), minPrefill
	}
	_, decode := d.requiredByStage()
	spare := min(n-int(math.Ceil(decodeHeadroomFactor*decode)), int(maxPrefillShare*float64(n)))
	return minPrefill, max(minPrefill, min(spare, n-minPerStage))
}

// toleratedShortage returns how many of n engines may be missing from prefill while there
// is traffic.
func toleratedShortage(n int) int { return max(int(toleratedShare*float64(n)), 1) }

// Plan returns the engine to change now, if any.
func (p *Planner) Plan(now clock.Time, engines []Engine, d Demand) (Change, bool) {
	p.dropExpired(now)
	prefill := 0
	for i := range engines {
		engines[i].Stage = p.effectiveStage(now, &engines[i])
		if engines[i].Stage == catalog.Prefill {
			prefill++
		}
	}
	n := len(engines)
	p.trackFirstSeen(now, engines)
	if c, ok := p.restoreDecode(engines); ok {
		return c, true
	}
	if c, ok := p.reassignNew(now, engines, prefill, d); ok {
		return c, true
	}
	surplus := prefillSurplus(prefill, n, d)
	tolerance, delay, maxPending := 0, idleDelay, n
	switch {
	case d.measured(n) && surplus < 0:
		tolerance, delay, maxPending = toleratedShortage(n), prefillShortageDelay, max(int(maxChangingShare*float64(n)), 1)
	case d.measured(n):
		delay = decodeShortageDelay
	}
	if n < minSplitEngines || !p.isPersistent(now, surplus, tolerance, delay) || len(p.pending) >= maxPending {
		return Change{}, false
	}
	return p.pickEngine(engines, surplus)
}

// trackFirstSeen records when each engine was first seen, and drops engines that are no
// longer listed.
func (p *Planner) trackFirstSeen(now clock.Time, engines []Engine) {
	firstSeen := make(map[string]clock.Time, len(engines))
	for _, e := range engines {
		at, seen := p.firstSeen[e.ID]
		if !seen && p.firstSeen != nil {
			at = now
		}
		firstSeen[e.ID] = at
	}
	p.firstSeen = firstSeen
}

// reassignNew returns a new engine that should change to prefill. The stages of
// replacement engines need not match the mix, and reassigning them immediately avoids
// changes of engines that have work.
func (p *Planner) reassignNew(now clock.Time, engines []Engine, prefill int, d Demand) (Change, bool) {
	n := len(engines)
	minPrefill, maxPrefill := prefillBounds(n, d)
	if !d.measured(n) {
		maxPrefill = minPrefill
	}
	if n < minSplitEngines || maxPrefill-prefill <= toleratedShortage(n) || float64(len(p.pending)) >= maxNewChangingShare*float64(n) {
		return Change{}, false
	}
	versions := countStages(engines)
	for _, e := range engines {
		at := p.firstSeen[e.ID]
		if _, changing := p.pending[e.ID]; !changing && e.Stage == catalog.Decode && versions.mayPrefill(e.Version) && e.Load <= maxNewLoad && at != 0 && now.Sub(at) <= maxNewAge {
			return Change{e.ID, catalog.Prefill}, true
		}
	}
	return Change{}, false
}

// isPersistent reports whether the split has been wrong in one direction for the delay,
// starting with an error above the tolerance. It is then corrected until it matches.
func (p *Planner) isPersistent(now clock.Time, surplus, tolerance int, delay time.Duration) bool {
	sameDirection := p.surplus != 0 && (p.surplus > 0) == (surplus > 0)
	if surplus == 0 || !sameDirection && max(surplus, -surplus) <= tolerance {
		p.surplus = 0
		return false
	}
	if !sameDirection {
		p.wrongFrom = now
	}
	p.surplus = surplus
	return now.Sub(p.wrongFrom) >= delay
}

// dropExpired drops orders that are pending for too long, also those to engines that have left.
func (p *Planner) dropExpired(now clock.Time) {
	maps.DeleteFunc(p.pending, func(_ string, o order) bool { return now.Sub(o.at) > orderTimeout })
}

// effectiveStage returns the stage that an engine is in or changing to.
func (p *Planner) effectiveStage(now clock.Time, e *Engine) catalog.Stage {
	o, ok := p.pending[e.ID]
	if !ok {
		return e.Stage
	}
	if e.Stage == o.to {
		delete(p.pending, e.ID)
		return e.Stage
	}
	return o.to
}

// stageCounts are the engines of one software version, by stage.
type stageCounts struct{ prefill, decode int }

// versionCounts are the engines of each software version.
type versionCounts map[string]stageCounts

func countStages(engines []Engine) versionCounts {
	out := versionCounts{}
	for _, e := range engines {
		c := out[e.Version]
		if e.Stage == catalog.Prefill {
			c.prefill++
		} else {
			c.decode++
		}
		out[e.Version] = c
	}
	return out
}

// mayPrefill reports whether a decode engine of the version may change to prefill.
func (v versionCounts) mayPrefill(version string) bool {
	return len(v) == 1 || v[version].decode > minDecodePerVersion
}

// share returns the share of the version's engines that are in a stage.
func (c stageCounts) share(s catalog.Stage) float64 {
	n := c.decode
	if s == catalog.Prefill {
		n = c.prefill
	}
	return float64(n) / float64(c.prefill+c.decode)
}

// restoreDecode returns the change of a prefill engine whose version has no decode engine left. No
// other version uses its KV caches, so that it does no work in its present stage.
func (p *Planner) restoreDecode(engines []Engine) (Change, bool) {
	versions := countStages(engines)
	for _, e := range engines {
		if _, changing := p.pending[e.ID]; e.Stage == catalog.Prefill && !changing && versions[e.Version].decode == 0 && len(versions) > 1 {
			return Change{e.ID, catalog.Decode}, true
		}
	}
	return Change{}, false
}

// pickEngine returns the change of an engine of the version that has the smallest share of its
// engines in the stage to change to, since engines use KV caches of their own version only. Of
// these it is the one with the fewest requests.
func (p *Planner) pickEngine(engines []Engine, surplus int) (Change, bool) {
	from, to := catalog.Decode, catalog.Prefill
	if surplus > 0 {
		from, to = to, from
	}
	versions := countStages(engines)
	var candidates []Engine
	for _, e := range engines {
		if _, changing := p.pending[e.ID]; e.Stage == from && !changing && (to == catalog.Decode || versions.mayPrefill(e.Version)) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return Change{}, false
	}
	best := slices.MinFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(versions[a.Version].share(to), versions[b.Version].share(to)), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	return Change{best.ID, to}, true
}

// RecordOrder records that a change was ordered, or may have been.
func (p *Planner) RecordOrder(now clock.Time, c Change) { p.pending[c.ID] = order{c.To, now} }
