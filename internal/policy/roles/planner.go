package roles

import (
	"cmp"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Planner plans the role changes of one pool. It isn't safe for concurrent use.
type Planner struct {
	cfg        Config
	snap       Snapshot
	demand     demand
	history    history
	holdReason HoldReason
	shortage   shortage
	payback    time.Duration
}

// shortage is the role to which engines should change, and since when.
type shortage struct {
	to    Role
	since clock.Time
}

// NewPlanner returns a planner without measurements.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, holdReason: HoldNoDemand}
}

// SetConfig replaces the configuration, as after an update of the sheet.
func (p *Planner) SetConfig(cfg Config) { p.cfg = cfg }

// Observe records a snapshot. Call it about once a second.
func (p *Planner) Observe(now clock.Time, s Snapshot) {
	s.Engines = slices.Clone(s.Engines)
	slices.SortFunc(s.Engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.snap = s
	p.history.observe(now, s.Engines)
	if s.Arrivals.Age > MaxReportAge || s.Rates.PrefillTokensPerSec <= 0 || s.Rates.DecodeTokensPerSec <= 0 {
		return
	}
	backlogSeconds := backlogWindow.Seconds()
	prefill := s.Arrivals.PromptTokensPerSec + s.Queues.PromptTokens/backlogSeconds
	decode := s.Arrivals.OutputTokensPerSec + s.Queues.OutputTokens/backlogSeconds
	p.demand.observe(now, prefill/s.Rates.PrefillTokensPerSec, decode/s.Rates.DecodeTokensPerSec)
}

// Plan returns the changes to order now, all of them on engines that this
// process holds. If there is none, HoldReason returns why.
func (p *Planner) Plan(now clock.Time) []Change {
	counts := p.countEngines(now)
	if p.holdReason = p.checkGuards(now, counts); p.holdReason != NoHold {
		return nil
	}
	to, reason := p.chooseChange(now, counts)
	if p.holdReason != NoHold {
		return nil
	}
	candidates := p.candidates(to.other())
	var out []Change
	for len(out) < min(p.maxBatch(counts), len(candidates)) && p.holdReason == NoHold {
		reason.Running = candidates[len(out)].Running
		out = append(out, Change{Engine: candidates[len(out)].Name, From: to.other(), To: to, Reason: reason})
		counts = counts.withMove(to)
		reason = p.evaluateChange(counts, to)
	}
	for _, c := range out {
		p.history.orders = append(p.history.orders, order{engine: c.Engine, to: to, at: now})
	}
	return out
}

// maxBatch bounds the changes ordered at once to half of the share that may be
// unavailable, which leaves the other half for crashes. With one engine at a
// time, a pool of hundreds would never follow the mix.
func (p *Planner) maxBatch(counts engineCounts) int {
	total := float64(len(p.snap.Engines))
	n := int(p.cfg.MaxUnavailableShare * total / 2)
	headroom := int(p.cfg.MaxUnavailableShare*total) - counts.unavailable
	remaining := p.cfg.MaxChangesPerHour - p.history.changesLastHour(p.snap.ChangesLastHour)
	return min(max(n, 1), max(headroom, 1), remaining)
}

// HoldReason returns why the last call of Plan returned no change.
func (p *Planner) HoldReason() HoldReason { return p.holdReason }

// engineCounts are the engines of a snapshot, counted by role and state.
type engineCounts struct {
	split           split
	prefill         int // ready prefill engines, without mixed ones
	decode          int // ready decode engines, without mixed ones
	unavailable     int // not ready, for whatever reason
	changing        int
	inGrace         int           // down or draining for less than CrashGrace
	stale           int           // ready, but without a fresh report
	oldestReportAge time.Duration // of the fresh reports of ready engines
}

// withMove returns the counts with one more engine changing to a role.
func (c engineCounts) withMove(to Role) engineCounts {
	c.split = c.split.withMoved(to, 1)
	c.unavailable++
	if to == Prefill {
		c.prefill++
		c.decode--
	} else {
		c.prefill--
		c.decode++
	}
	return c
}

func (p *Planner) countEngines(now clock.Time) engineCounts {
	var counts engineCounts
	for i, e := range p.snap.Engines {
		counts.add(e, now.Sub(p.history.engines[i].since))
	}
	return counts
}

func (c *engineCounts) add(e Engine, timeInState time.Duration) {
	switch e.State {
	case Changing:
		c.changing++
	case Draining, Down:
		if timeInState < CrashGrace {
			c.inGrace++
		}
	}
	if e.State != Ready {
		c.unavailable++
		return
	}
	if e.ReportAge < 0 || e.ReportAge > MaxReportAge {
		c.stale++
	} else {
		c.oldestReportAge = max(c.oldestReportAge, e.ReportAge)
	}
	switch e.Role {
	case Prefill:
		c.prefill++
		c.split.prefill++
	case Decode:
		c.decode++
		c.split.decode++
	case Mixed:
		c.split.prefill += 0.5
		c.split.decode += 0.5
	}
}

// checkGuards returns why no change may be ordered now, whatever its gain, or
// NoHold.
func (p *Planner) checkGuards(now clock.Time, counts engineCounts) HoldReason {
	disabled := p.cfg.Disabled
	total := len(p.snap.Engines)
	switch {
	case !p.demand.measured:
		return HoldNoDemand
	case counts.prefill+counts.decode < 2:
		return HoldTooFewEngines
	case p.history.changesLastHour(p.snap.ChangesLastHour) >= p.cfg.MaxChangesPerHour:
		return HoldHourlyLimit
	case float64(counts.unavailable+1) > p.cfg.MaxUnavailableShare*float64(total) && !p.onlyLastingOutages(counts):
		return HoldUnavailable
	case (counts.changing > 0 || len(p.history.orders) > 0) && !disabled.NoSettleTime:
		return HoldInFlight
	case p.hasEmptyRole(counts):
		return NoHold
	case counts.inGrace > 0 && !disabled.NoCrashGrace:
		return HoldRecentOutage
	case float64(counts.stale) > MaxStaleShare*float64(total):
		return HoldStaleReports
	case !p.reportsSettled(now, counts):
		return HoldSettling
	}
	return NoHold
}

// onlyLastingOutages reports whether every unavailable engine has been down or
// draining for longer than CrashGrace, and MaxUnavailableShare of the remaining
// engines allows a change: the pool counts as smaller then.
func (p *Planner) onlyLastingOutages(counts engineCounts) bool {
	remaining := float64(len(p.snap.Engines) - counts.unavailable)
	return counts.changing == 0 && counts.inGrace == 0 && p.cfg.MaxUnavailableShare*remaining >= 1
}

// hasEmptyRole reports whether one role has no ready engine while the other can
// spare one. No request can be served then, so the change is ordered without
// comparing gain and cost.
func (p *Planner) hasEmptyRole(counts engineCounts) bool {
	return counts.split.prefill == 0 && counts.decode > 1 || counts.split.decode == 0 && counts.prefill > 1
}

// reportsSettled reports whether the fresh reports were measured at least
// SettleTime after the last change. Earlier reports show the queue that the
// change was ordered for, and acting on them would order a second one.
func (p *Planner) reportsSettled(now clock.Time, counts engineCounts) bool {
	if p.history.lastChangeEnd == 0 || p.cfg.Disabled.NoSettleTime {
		return true
	}
	return now.Sub(p.history.lastChangeEnd)-counts.oldestReportAge >= SettleTime
}

// chooseChange chooses the role that needs another engine and evaluates the
// change.
func (p *Planner) chooseChange(now clock.Time, counts engineCounts) (Role, Reason) {
	prefill, decode := p.forecastDemand(Prefill)
	to := counts.split.shortRole(prefill, decode)
	p.updatePayback(now, counts, to)
	return to, p.evaluateChange(counts, to)
}

// updatePayback tracks for how long a change to the role would have gained more
// work than it loses, and extends the payback window by half of that time. A
// high change cost thus delays the changes that a lasting shift needs, but
// doesn't prevent them.
func (p *Planner) updatePayback(now clock.Time, counts engineCounts, to Role) {
	prefill, decode := p.forecastDemand(to)
	gain, loss := counts.split.gainAndLoss(to, prefill, decode, PaybackWindow, p.changeDuration(to))
	if gain <= loss || to != p.shortage.to || p.shortage.since == 0 {
		p.shortage = shortage{to: to, since: now}
	}
	p.payback = min(PaybackWindow+now.Sub(p.shortage.since)/2, MaxPaybackWindow)
}

// forecastDemand forecasts the demand, in engines, for the time when an engine
// that begins to change to the role now would begin to serve.
func (p *Planner) forecastDemand(to Role) (prefill, decode float64) {
	ahead := p.changeDuration(to)
	return p.demand.prefill.forecast(ahead), p.demand.decode.forecast(ahead)
}

// changeDuration returns how long a change to a role takes: the measured
// average, or the configured duration until a change was measured.
func (p *Planner) changeDuration(to Role) time.Duration {
	if d := p.history.changeDurations[to.other()]; d > 0 {
		return d
	}
	return p.cfg.ChangeDuration
}

// evaluateChange compares gain and cost of one more change to a role, and sets
// holdReason if the change must not be ordered.
func (p *Planner) evaluateChange(counts engineCounts, to Role) Reason {
	r := Reason{
		Pool:         p.snap.Pool,
		PrefillReady: counts.prefill,
		DecodeReady:  counts.decode,
		ChangeCost:   p.changeCost(),
		EmptyRole:    p.hasEmptyRole(counts),
	}
	r.PrefillDemand, r.DecodeDemand = p.forecastDemand(to)
	r.Gain, r.Loss = counts.split.gainAndLoss(to, r.PrefillDemand, r.DecodeDemand, p.payback, p.changeDuration(to))
	donors := counts.prefill
	if to == Prefill {
		donors = counts.decode
	}
	switch {
	case r.EmptyRole:
	case donors < 2:
		p.holdReason = HoldLastEngine
	case r.Gain-r.Loss <= r.ChangeCost:
		p.holdReason = HoldChangeCost
	}
	return r
}

// changeCost returns the cost of a change in engine seconds. It rises as the
// hourly limit is used up, so that the remaining changes go to those with the
// highest gain.
func (p *Planner) changeCost() float64 {
	remaining := p.cfg.MaxChangesPerHour - p.history.changesLastHour(p.snap.ChangesLastHour)
	return p.cfg.ChangeCost * float64(p.cfg.MaxChangesPerHour) / float64(max(remaining, 1))
}
