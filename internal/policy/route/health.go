package route

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minJudged is the fewest samples that an endpoint is judged by.
	minJudged = 5
	// minPeers is the fewest judged endpoints whose median means anything.
	minPeers = 3
	// maxDoublings bounds the shift of the ejection time.
	maxDoublings = 6
	// forgive is the time in service after which an earlier ejection no
	// longer lengthens the next one.
	forgive = 2 * time.Minute
)

// Cause says why an endpoint was ejected.
type Cause uint8

// The causes.
const (
	Slow Cause = iota
	Failing
	Stuck
)

func (c Cause) String() string { return [...]string{"slow", "failing", "stuck"}[c] }

// Ejection is one endpoint taken out of its pool, with the figures for it.
type Ejection struct {
	Endpoint string
	Pool     string
	Cause    Cause
	Value    float64 // latency ratio, error rate or seconds overdue
	Median   float64 // of the pool
	For      time.Duration
	Out, Of  int  // ejected endpoints of the pool with this one, pool size
	Held     bool // not carried out, as too much of the pool is out
}

func (e Ejection) String() string {
	verb := "ejected"
	if e.Held {
		verb = "kept"
	}
	return fmt.Sprintf("endpoint %s %s cause=%s value=%.2f median=%.2f for=%s out=%d/%d",
		e.Endpoint, verb, e.Cause, e.Value, e.Median, e.For, e.Out, e.Of)
}

// EjectOutliers compares each endpoint with its pool and ejects the worst. The control
// goroutine calls it a few times a second.
func (r *Router) EjectOutliers(now clock.Time) []Ejection {
	r.measureSending(now)
	var all []Ejection
	for _, p := range r.Table().peers {
		all = append(all, r.sweepPool(now, p)...)
	}
	return all
}

// sendingWindow is the time over which this entry's sending is averaged.
const sendingWindow = time.Second

// measureSending estimates how busy the other entries keep the endpoints: they
// follow the same policy, so each sends as much as this one.
func (r *Router) measureSending(now clock.Time) {
	span := now.Sub(r.sendingAt)
	if span < sendingWindow {
		return
	}
	r.sendingAt = now
	for i := range r.Table().peers {
		p := &r.Table().peers[i]
		var sent, runs int64
		for _, e := range p.eps {
			sent += e.live.sentWork.Load()
			runs += max(e.live.runs.Load()-e.live.ownRuns.Load(), 0)
		}
		n := int64(len(p.eps))
		rate := float64(sent-p.sentWork) / float64(span) / float64(len(p.eps))
		if p.sentWork == 0 {
			rate = 0
		}
		p.sentWork = sent
		p.rate += sampleWeight * (rate - p.rate)
		others := min(1000*p.rate*float64(r.sharers()-1), 1000)
		for _, e := range p.eps {
			e.live.others.Store(int64(others))
			e.live.othersRuns.Store((runs + n/2) / n)
		}
	}
}

func (r *Router) sweepPool(now clock.Time, p peers) []Ejection {
	median := medians{
		first: medianOf(now, p.eps, func(l *live) *ewma { return &l.first }),
		step:  medianOf(now, p.eps, func(l *live) *ewma { return &l.step }),
	}
	shared := p.eps[0].shared
	shared.first.Store(math.Float64bits(median.first))
	shared.step.Store(math.Float64bits(median.step))
	out := 0
	var found []Ejection
	var at []*Endpoint
	for _, e := range p.eps {
		if int64(now) < e.live.outUntil.Load() {
			out++
			continue
		}
		if j, bad := r.judge(now, e, median); bad {
			found = append(found, j)
			at = append(at, e)
		}
	}
	if r.cfg.Disabled.NoEjection {
		return nil
	}
	allowed := int(r.cfg.MaxOut * float64(len(p.eps)))
	if r.cfg.Disabled.NoMaxOut {
		allowed = len(p.eps)
	}
	order := make([]int, len(found))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return found[b].worse(found[a]) })
	sorted := make([]Ejection, 0, len(found))
	for _, i := range order {
		j := found[i]
		j.Of = len(p.eps)
		j.Held = out >= allowed
		if !j.Held {
			out++
			j.For = r.eject(now, at[i].live)
		}
		j.Out = out
		sorted = append(sorted, j)
	}
	return sorted
}

// worse orders stuck and failing endpoints over slow ones, then by value.
func (e Ejection) worse(f Ejection) int {
	if e.Cause != f.Cause {
		return int(e.Cause) - int(f.Cause)
	}
	return int(math.Copysign(1, e.Value-f.Value))
}

// medians are the middle values of a pool, zero if too few have been measured.
type medians struct{ first, step float64 }

func medianOf(now clock.Time, eps []*Endpoint, of func(*live) *ewma) float64 {
	var ratios []float64
	for _, e := range eps {
		if m := of(e.live); m.n.Load() >= minJudged {
			ratios = append(ratios, m.value(now, 1))
		}
	}
	if len(ratios) < minPeers {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

func (r *Router) judge(now clock.Time, e *Endpoint, m medians) (Ejection, bool) {
	l := e.live
	j := Ejection{Endpoint: e.Name, Pool: e.Pool}
	overdue := now.Sub(clock.Time(l.dueAt.Load()))
	if l.awaiting.Load() > 0 && overdue > 0 {
		j.Cause, j.Value = Stuck, overdue.Seconds()
		return j, true
	}
	if rate := l.errs.value(now, 0); l.errs.n.Load() >= minPeers && rate >= r.cfg.ErrorRate {
		j.Cause, j.Value = Failing, rate
		return j, true
	}
	j.Cause = Slow
	if r.slow(now, &l.first, m.first, &j) || r.slow(now, &l.step, m.step, &j) {
		return j, true
	}
	return j, false
}

func (r *Router) slow(now clock.Time, e *ewma, median float64, j *Ejection) bool {
	j.Value, j.Median = e.value(now, 1), median
	return median > 0 && e.n.Load() >= minJudged && j.Value > r.cfg.SlowFactor*max(median, 1)
}

// eject takes an endpoint out for a time that doubles when it fails again
// soon after its return, and makes it come back slowly with a clean record.
func (r *Router) eject(now clock.Time, l *live) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.ejectedAt) > forgive {
		l.ejections = 0
	}
	d := min(r.cfg.Eject<<min(l.ejections, maxDoublings), r.cfg.EjectMax)
	l.ejections++
	until := now.Add(d)
	l.ejectedAt = until
	l.outUntil.Store(int64(until))
	l.rampFrom.Store(int64(until))
	l.dueAt.Store(int64(until.Add(r.cfg.StuckTimeout)))
	l.clean()
	return d
}

// Stats are the router's figures for expvar.
type Stats struct {
	Picks     map[string]int64
	Endpoints []EndpointStats
}

// EndpointStats are one endpoint's figures.
type EndpointStats struct {
	Name      string
	Pool      string
	State     State
	Out       bool
	InFlight  int64
	Limit     int
	Runs      int64 // of all entries, estimated
	Wait      time.Duration
	Ratio     float64 // measured over expected time to the first token
	Step      float64 // measured over nominal time between tokens
	Errors    float64
	Ejections int
	Reports   uint64
	Late      uint64 // reports older than one already seen
	CacheGaps uint64
	ReportAge time.Duration // -1 without a report
}

// Snapshot returns the router's figures at now.
func (r *Router) Snapshot(now clock.Time) Stats {
	s := Stats{Picks: map[string]int64{}}
	for i := range r.count {
		s.Picks[Reason(i).String()] = r.count[i].Load()
	}
	for _, e := range r.Table().all {
		s.Endpoints = append(s.Endpoints, r.statsOf(now, e))
	}
	return s
}

func (r *Router) statsOf(now clock.Time, e *Endpoint) EndpointStats {
	l := e.live
	runs, work := r.load(now, l)
	s := EndpointStats{
		Name: e.Name, Pool: e.Pool, State: e.State,
		Out:      int64(now) < l.outUntil.Load(),
		InFlight: l.ownRuns.Load(),
		Limit:    l.lim.Limit(),
		Runs:     runs,
		Wait:     time.Duration(work),
		Ratio:    l.first.value(now, 1),
		Step:     l.step.value(now, 1),
		Errors:   l.errs.value(now, 0),
	}
	s.ReportAge = -1
	if at := l.takenAt.Load(); at != 0 {
		s.ReportAge = now.Sub(clock.Time(at))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Ejections = l.ejections
	s.Reports, s.Late = l.reports, l.late
	s.CacheGaps = l.seq.gaps
	return s
}
