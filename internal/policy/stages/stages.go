// Package stages decides how many engines of a service prefill and how many
// decode, and which one changes.
//
// Load pattern: the work of the prompts and the work of the outputs of a mix
// take different shares of the engines, and the shares with which a fleet
// comes up need not fit. An engine that decodes can prefill, at half the speed
// and between the tokens of its streams, each of which then becomes several
// times slower: with too few prefill engines the first events are late and so
// are the events after them. A change takes an engine away for seconds and has
// a price, so that a split is corrected only while it is off by a whole engine
// and stays so.
//
// The package does no I/O and reads no clock.
package stages

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// prefillLoad is the share of their time that prefill engines are to be
	// busy: above it their queues, which are in order of arrival, grow with
	// each burst to several prompts.
	prefillLoad = 0.65
	// slotShare of an engine's slots, and mostStreams, is how many streams a
	// decode engine is to have: above the first requests wait for a slot, above
	// the second each token takes over 5 ms.
	slotShare   = 0.65
	mostStreams = 32
	// mostPrefill is the largest share that prefills. Decode engines can do
	// what prefill engines do, more slowly, but not the other way round: a
	// fleet that follows a mix of long prompts further and then loses decode
	// engines refuses requests until it has changed back.
	mostPrefill = 0.5
	// decodeMargin times the decode engines that the streams need are kept before an
	// engine more than needed goes on prefilling: a burst brings as many streams more.
	decodeMargin = 1.25
	// mostUnseen engines at most are made to prefill while there is no traffic: they
	// carry what comes first, and a fleet of thousands isn't turned round for a mix
	// that nobody has seen.
	mostUnseen = 48
	// leastDemand of the engines must be needed for a mix to count as measured.
	leastDemand = 0.1
	// leastOfStage engines keep each stage, so that one may crash.
	leastOfStage = 2
	// leastEngines is the smallest service that is split: with fewer a stage
	// would have one engine only.
	leastEngines = 2 * leastOfStage
	// tolerated is the share of the engines by which prefill engines may be too
	// few while there is traffic: a change takes an engine away for 3 s, longer
	// than many swings of the mix last. Decode engines that are too few are
	// replaced sooner, since nothing else can do their work.
	tolerated = 0.1
	// settled is how long a split must be off before an engine changes; while
	// there is traffic lacking is how long for want of decode engines, and
	// persistent for want of prefill engines.
	settled    = 2 * time.Second
	lacking    = 3500 * time.Millisecond
	persistent = 5 * time.Second
	// maxAway is the share of the engines that may be on their way to another
	// stage while there is traffic.
	maxAway = 0.05
	// newFor is how long an engine counts as a new one, which a change of stage costs
	// nothing: it has no requests yet and nothing cached.
	newFor = 3 * time.Second
	// newLoad is how many requests a new engine may have got already.
	newLoad = 2
	// newAway is the share of the engines that may be on their way to another stage
	// for new ones to be sent there too.
	newAway = 0.25
	// orderLife is how long an order is believed in: a change takes 3 s and
	// shows in the engine's entry within another.
	orderLife = 8 * time.Second
)

// Demand is what the traffic of a service needs.
type Demand struct {
	Prefill float64 // prefill engines that would be busy all the time
	Streams float64 // streams at a time
	SlotsPerEngine   int     // of an engine, zero if not known
}

// perEngine is how many streams a decode engine is to have.
func (d Demand) perEngine() float64 {
	if d.SlotsPerEngine == 0 {
		return mostStreams
	}
	return min(slotShare*float64(d.SlotsPerEngine), mostStreams)
}

// need returns how many engines of each stage the demand keeps well busy.
func (d Demand) need() (prefill, decode float64) {
	return d.Prefill / prefillLoad, d.Streams / d.perEngine()
}

// RequiredEngines returns how many engines the demand keeps well busy.
func (d Demand) RequiredEngines() float64 {
	p, q := d.need()
	return p + q
}

// measured tells whether there is enough traffic to go by.
func (d Demand) measured(engines int) bool {
	p, q := d.need()
	return p+q > leastDemand*float64(engines)
}

// share of the engines that is to prefill. Without traffic to measure, as many are to
// prefill as ever may: too few decode engines are replaced soon once traffic shows it,
// and too few prefill engines only in the time of many changes.
func (d Demand) share(engines int) float64 {
	if !d.measured(engines) {
		return mostPrefill
	}
	p, q := d.need()
	return min(p/(p+q), mostPrefill)
}

// Engine is one engine as it is known.
type Engine struct {
	ID    string
	Stage catalog.Stage
	Load  int // requests at it
}

// Change is an engine that is to change its stage.
type Change struct {
	ID string
	To catalog.Stage
}

// Planner plans one service. It isn't safe for concurrent use.
type Planner struct {
	ordered map[string]order
	off     clock.Time            // since when the split is off
	wrong   int                   // by how many engines, negative for too few that prefill
	seen    map[string]clock.Time // when engines were first seen, zero if with the first
}

type order struct {
	to catalog.Stage
	at clock.Time
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{ordered: map[string]order{}} }

// Prefillers is how many of n engines are to prefill.
func Prefillers(n int, d Demand) int {
	if n < leastEngines {
		return 0
	}
	p := int(math.Round(d.share(n) * float64(n)))
	return min(max(p, leastOfStage), n-leastOfStage)
}

// off is by how many engines too many prefill, negative for too few. Where there are
// more engines than the demand keeps well busy, those that prefill beyond it are left:
// a burst of prompts makes first events late sooner than one of streams.
func off(have, n int, d Demand) int {
	least, most := bounds(n, d)
	switch {
	case have < least:
		return have - least
	case have > most:
		return have - most
	}
	return 0
}

// bounds returns how many of n engines are to prefill at least and at most.
func bounds(n int, d Demand) (least, most int) {
	least = Prefillers(n, d)
	if !d.measured(n) {
		return min(least, mostUnseen), least
	}
	_, decode := d.need()
	spare := min(n-int(math.Ceil(decodeMargin*decode)), int(mostPrefill*float64(n)))
	return least, max(least, min(spare, n-leastOfStage))
}

// slackOf is by how many of n engines too few may prefill while there is traffic.
func slackOf(n int) int { return max(int(tolerated*float64(n)), 1) }

// Plan returns the engine to change now, if any.
func (p *Planner) Plan(now clock.Time, engines []Engine, d Demand) (Change, bool) {
	have := 0
	for i := range engines {
		engines[i].Stage = p.stageOf(now, &engines[i])
		if engines[i].Stage == catalog.Prefill {
			have++
		}
	}
	n := len(engines)
	p.see(now, engines)
	if c, ok := p.turnNew(now, engines, have, d); ok {
		return c, true
	}
	wrong := off(have, n, d)
	slack, wait, away := 0, settled, n
	switch {
	case d.measured(n) && wrong < 0:
		slack, wait, away = slackOf(n), persistent, max(int(maxAway*float64(n)), 1)
	case d.measured(n):
		wait = lacking
	}
	if n < leastEngines || !p.persists(now, wrong, slack, wait) || len(p.ordered) >= away {
		return Change{}, false
	}
	return p.pick(engines, wrong)
}

// see notes which engines are new, and forgets those that have gone.
func (p *Planner) see(now clock.Time, engines []Engine) {
	seen := make(map[string]clock.Time, len(engines))
	for _, e := range engines {
		at, known := p.seen[e.ID]
		if !known && p.seen != nil {
			at = now
		}
		seen[e.ID] = at
	}
	p.seen = seen
}

// turnNew returns a new engine that is to prefill. Engines that replace others come in
// shares that needn't fit the mix; to turn them at once spares those that work.
func (p *Planner) turnNew(now clock.Time, engines []Engine, have int, d Demand) (Change, bool) {
	n := len(engines)
	least, most := bounds(n, d)
	if !d.measured(n) {
		most = least
	}
	if n < leastEngines || most-have <= slackOf(n) || float64(len(p.ordered)) >= newAway*float64(n) {
		return Change{}, false
	}
	for _, e := range engines {
		at := p.seen[e.ID]
		if _, moving := p.ordered[e.ID]; !moving && e.Stage == catalog.Decode && e.Load <= newLoad && at != 0 && now.Sub(at) <= newFor {
			return Change{e.ID, catalog.Prefill}, true
		}
	}
	return Change{}, false
}

// persists tells whether the split has been off in one direction, by more than
// slack, for a while. Once it has, it is corrected until it fits.
func (p *Planner) persists(now clock.Time, wrong, slack int, wait time.Duration) bool {
	same := p.wrong != 0 && (p.wrong > 0) == (wrong > 0)
	if wrong == 0 || !same && max(wrong, -wrong) <= slack {
		p.wrong = 0
		return false
	}
	if !same {
		p.off = now
	}
	p.wrong = wrong
	return now.Sub(p.off) >= wait
}

// stageOf is the stage that an engine is in or on its way to.
func (p *Planner) stageOf(now clock.Time, e *Engine) catalog.Stage {
	o, ok := p.ordered[e.ID]
	if !ok {
		return e.Stage
	}
	if now.Sub(o.at) > orderLife || e.Stage == o.to {
		delete(p.ordered, e.ID)
		return e.Stage
	}
	return o.to
}

// pick returns the engine with the least to lose.
func (p *Planner) pick(engines []Engine, wrong int) (Change, bool) {
	from, to := catalog.Decode, catalog.Prefill
	if wrong > 0 {
		from, to = to, from
	}
	var list []Engine
	for _, e := range engines {
		if _, moving := p.ordered[e.ID]; e.Stage == from && !moving {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return Change{}, false
	}
	best := slices.MinFunc(list, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	return Change{best.ID, to}, true
}

// RecordOrder notes that the change was ordered, or may have been.
func (p *Planner) RecordOrder(now clock.Time, c Change) { p.ordered[c.ID] = order{c.To, now} }
