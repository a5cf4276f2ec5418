package roles

import (
	"cmp"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Planner plans one pool. It isn't safe for concurrent use.
type Planner struct {
	cfg     Config
	snap    Snapshot
	demand  demand
	history history
	hold    HoldReason
	short   shortage
	payback time.Duration
}

// shortage is the role that lacks engines and since when.
type shortage struct {
	to    Role
	since clock.Time
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, hold: HoldNoDemand}
}

// SetConfig takes over a newer sheet.
func (p *Planner) SetConfig(cfg Config) { p.cfg = cfg }

// Observe takes in a snapshot. Call it about once a second.
func (p *Planner) Observe(now clock.Time, s Snapshot) {
	s.Engines = slices.Clone(s.Engines)
	slices.SortFunc(s.Engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.snap = s
	p.history.observe(now, s.Engines)
	if s.Arrivals.Age > MaxReportAge || s.Rates.PrefillTokensPerSec <= 0 || s.Rates.DecodeTokensPerSec <= 0 {
		return
	}
	backlog := backlogWindow.Seconds()
	prefill := s.Arrivals.PromptTokensPerSec + s.Queues.PromptTokens/backlog
	decode := s.Arrivals.OutputTokensPerSec + s.Queues.OutputTokens/backlog
	p.demand.observe(now, prefill/s.Rates.PrefillTokensPerSec, decode/s.Rates.DecodeTokensPerSec)
}

// Plan returns the changes to order now, all of them on engines that this
// process holds. Why there is none is told by Hold.
func (p *Planner) Plan(now clock.Time) []Change {
	v := p.look(now)
	if p.hold = p.mayAct(now, v); p.hold != Acts {
		return nil
	}
	to, reason := p.weigh(now, v)
	if p.hold != Acts {
		return nil
	}
	own := p.own(to.other())
	var out []Change
	for len(out) < min(p.batch(v), len(own)) && p.hold == Acts {
		reason.Running = own[len(out)].Running
		out = append(out, Change{Engine: own[len(out)].Name, From: to.other(), To: to, Reason: reason})
		v = v.moved(to)
		reason = p.reason(v, to)
	}
	for _, c := range out {
		p.history.orders = append(p.history.orders, order{engine: c.Engine, to: to, at: now})
	}
	return out
}

// batch bounds the changes ordered at once: half of the share that may be away,
// so that the other half is left for crashes. A pool of hundreds would never
// follow the mix one engine at a time.
func (p *Planner) batch(v outlook) int {
	total := float64(len(p.snap.Engines))
	n := int(p.cfg.MaxUnavailableShare * total / 2)
	free := int(p.cfg.MaxUnavailableShare*total) - v.away
	left := p.cfg.MaxChangesPerHour - p.history.used(p.snap.ChangesLastHour)
	return min(max(n, 1), max(free, 1), left)
}

// HoldReason tells why the last call of Plan returned no change.
func (p *Planner) HoldReason() HoldReason { return p.hold }

// outlook is a snapshot counted.
type outlook struct {
	split    split
	prefill  int // ready engines of the role alone
	decode   int
	away     int // not ready, whatever the reason
	changing int
	recent   int // down or draining for less than CrashGrace
	stale    int
	oldest   time.Duration // age of the oldest fresh report of a ready engine
}

// moved returns the outlook with one more engine on its way to a role.
func (v outlook) moved(to Role) outlook {
	v.split = v.split.after(to, 1)
	v.away++
	if to == Prefill {
		v.prefill++
		v.decode--
	} else {
		v.prefill--
		v.decode++
	}
	return v
}

func (p *Planner) look(now clock.Time) outlook {
	var v outlook
	for i, e := range p.snap.Engines {
		v.add(e, now.Sub(p.history.engines[i].since))
	}
	return v
}

func (v *outlook) add(e Engine, since time.Duration) {
	switch e.State {
	case Changing:
		v.changing++
	case Draining, Down:
		if since < CrashGrace {
			v.recent++
		}
	}
	if e.State != Ready {
		v.away++
		return
	}
	if e.ReportAge < 0 || e.ReportAge > MaxReportAge {
		v.stale++
	} else {
		v.oldest = max(v.oldest, e.ReportAge)
	}
	switch e.Role {
	case Prefill:
		v.prefill++
		v.split.prefill++
	case Decode:
		v.decode++
		v.split.decode++
	case Mixed:
		v.split.prefill += 0.5
		v.split.decode += 0.5
	}
}

// mayAct checks everything but whether a change is worth it.
func (p *Planner) mayAct(now clock.Time, v outlook) HoldReason {
	g := p.cfg.Guards
	total := len(p.snap.Engines)
	switch {
	case !p.demand.seen:
		return HoldNoDemand
	case v.prefill+v.decode < 2:
		return HoldNoSplit
	case p.history.used(p.snap.ChangesLastHour) >= p.cfg.MaxChangesPerHour:
		return HoldCeiling
	case float64(v.away+1) > p.cfg.MaxUnavailableShare*float64(total) && !p.lost(v):
		return HoldAway
	case (v.changing > 0 || len(p.history.orders) > 0) && !g.NoSettle:
		return HoldInFlight
	case p.emptyRole(v):
		return Acts
	case v.recent > 0 && !g.NoGrace:
		return HoldExplained
	case float64(v.stale) > StaleShare*float64(total):
		return HoldStale
	case !p.settled(now, v):
		return HoldSettling
	}
	return Acts
}

// lost reports whether every engine that is away has been so for longer than
// CrashGrace: the pool is smaller then, and its share is taken of the rest.
func (p *Planner) lost(v outlook) bool {
	rest := float64(len(p.snap.Engines) - v.away)
	return v.changing == 0 && v.recent == 0 && p.cfg.MaxUnavailableShare*rest >= 1
}

// emptyRole reports whether one role has no ready engine while the other can
// spare one. No request can be served then, so nothing is weighed.
func (p *Planner) emptyRole(v outlook) bool {
	return v.split.prefill == 0 && v.decode > 1 || v.split.decode == 0 && v.prefill > 1
}

// settled guards against acting on reports from before the last change: they
// show the queue that the change was made for, and a second one would follow.
func (p *Planner) settled(now clock.Time, v outlook) bool {
	if p.history.settled == 0 || p.cfg.Guards.NoSettle {
		return true
	}
	return now.Sub(p.history.settled)-v.oldest >= Settle
}

// weigh picks the direction of a change and whether it is worth its price.
func (p *Planner) weigh(now clock.Time, v outlook) (Role, Reason) {
	prefill, decode := p.forecast(Prefill)
	to := v.split.shorter(prefill, decode)
	p.lasting(now, v, to)
	return to, p.reason(v, to)
}

// lasting follows for how long a change to one role would have won work. What
// has lasted is expected to last for half as long again, so a high price delays the
// changes that a lasting shift needs and doesn't forbid them.
func (p *Planner) lasting(now clock.Time, v outlook, to Role) {
	prefill, decode := p.forecast(to)
	gain, loss := v.split.weigh(to, prefill, decode, Payback, p.away(to))
	if gain <= loss || to != p.short.to || p.short.since == 0 {
		p.short = shortage{to: to, since: now}
	}
	p.payback = min(Payback+now.Sub(p.short.since)/2, MaxPayback)
}

// forecast looks ahead just to when a change to a role would begin to serve.
func (p *Planner) forecast(to Role) (prefill, decode float64) {
	away := p.away(to)
	return p.demand.prefill.forecast(away), p.demand.decode.forecast(away)
}

// away returns how long a change to a role takes: as measured, or as the sheet
// says until one was seen.
func (p *Planner) away(to Role) time.Duration {
	if d := p.history.away[to.other()]; d > 0 {
		return d
	}
	return p.cfg.ChangeDuration
}

// reason weighs one more change to a role and sets hold if it is not to be made.
func (p *Planner) reason(v outlook, to Role) Reason {
	r := Reason{
		Pool:         p.snap.Pool,
		PrefillReady: v.prefill,
		DecodeReady:  v.decode,
		Price:        p.price(),
		Empty:        p.emptyRole(v),
	}
	r.PrefillDemand, r.DecodeDemand = p.forecast(to)
	r.Gain, r.Loss = v.split.weigh(to, r.PrefillDemand, r.DecodeDemand, p.payback, p.away(to))
	spare := v.prefill
	if to == Prefill {
		spare = v.decode
	}
	switch {
	case r.Empty:
	case spare < 2:
		p.hold = HoldLast
	case r.Gain-r.Loss <= r.Price:
		p.hold = HoldPrice
	}
	return r
}

// price rises as the hourly ceiling is used up, so that what is left goes to
// the changes that win most.
func (p *Planner) price() float64 {
	left := p.cfg.MaxChangesPerHour - p.history.used(p.snap.ChangesLastHour)
	return p.cfg.ChangeCost * float64(p.cfg.MaxChangesPerHour) / float64(max(left, 1))
}
