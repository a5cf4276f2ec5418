package route

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minSamples is the number of latency samples an endpoint needs before it is compared with its
	// peers.
	minSamples = 5
	// minPeers is the number of endpoints with enough samples that a median needs. It is also the
	// number of outcomes an endpoint needs before its error rate is judged.
	minPeers = 3
	// maxEjectionDoublings bounds the shift that doubles the ejection time.
	maxEjectionDoublings = 6
	// ejectionHistory is the time in service after which earlier ejections no longer lengthen the
	// next one.
	ejectionHistory = 2 * time.Minute
)

// Cause is the reason for an ejection.
type Cause uint8

// The causes.
const (
	Slow Cause = iota
	Failing
	Stuck
)

func (c Cause) String() string { return [...]string{"slow", "failing", "stuck"}[c] }

// Ejection describes one outlier that was ejected from its pool, or would have been, with the
// measurements behind the decision.
type Ejection struct {
	Endpoint          string
	Pool              string
	Cause             Cause
	Value             float64 // latency ratio, error rate or seconds overdue
	Median            float64 // of its peers
	Duration          time.Duration
	Ejected, PoolSize int  // ejected peers including this endpoint, number of peers
	Suppressed        bool // not ejected, because too many peers are ejected already
}

func (e Ejection) String() string {
	verb := "ejected"
	if e.Suppressed {
		verb = "kept"
	}
	return fmt.Sprintf("endpoint %s %s cause=%s value=%.2f median=%.2f for=%s out=%d/%d",
		e.Endpoint, verb, e.Cause, e.Value, e.Median, e.Duration, e.Ejected, e.PoolSize)
}

// EjectOutliers compares each endpoint with its peers and ejects the worst outliers. The control
// goroutine calls it a few times a second.
func (r *Router) EjectOutliers(now clock.Time) []Ejection {
	r.estimateOtherEntries(now)
	var ejections []Ejection
	for _, p := range r.Table().peerGroups {
		ejections = append(ejections, r.ejectFromGroup(now, p)...)
	}
	return ejections
}

// sendRateInterval is the time over which this entry's send rate is averaged.
const sendRateInterval = time.Second

// estimateOtherEntries estimates the load that the other entries put on the endpoints. They follow
// the same policy, so each is assumed to send as much as this one.
func (r *Router) estimateOtherEntries(now clock.Time) {
	elapsed := now.Sub(r.sendRatesAt)
	if elapsed < sendRateInterval {
		return
	}
	r.sendRatesAt = now
	for i := range r.Table().peerGroups {
		p := &r.Table().peerGroups[i]
		var sentNanos, requests int64
		for _, e := range p.endpoints {
			sentNanos += e.runtime.sentPrefillNanos.Load()
			requests += max(e.runtime.requests.Load()-e.runtime.ownRequests.Load(), 0)
		}
		n := int64(len(p.endpoints))
		rate := float64(sentNanos-p.sentPrefillNanos) / float64(elapsed) / float64(len(p.endpoints))
		if p.sentPrefillNanos == 0 {
			rate = 0
		}
		p.sentPrefillNanos = sentNanos
		p.sendRate += sampleWeight * (rate - p.sendRate)
		othersPermille := min(1000*p.sendRate*float64(r.entryCount()-1), 1000)
		for _, e := range p.endpoints {
			e.runtime.othersBusyPermille.Store(int64(othersPermille))
			e.runtime.meanOthersRequests.Store((requests + n/2) / n)
		}
	}
}

func (r *Router) ejectFromGroup(now clock.Time, p peerGroup) []Ejection {
	median := groupMedians{
		firstTokenRatio: medianOf(now, p.endpoints, func(rt *endpointRuntime) *ewma { return &rt.firstTokenRatio }),
		stepRatio:       medianOf(now, p.endpoints, func(rt *endpointRuntime) *ewma { return &rt.stepRatio }),
	}
	peers := p.endpoints[0].peers
	peers.firstTokenMedianBits.Store(math.Float64bits(median.firstTokenRatio))
	peers.stepMedianBits.Store(math.Float64bits(median.stepRatio))
	ejected := 0
	var outliers []Ejection
	var outlierEndpoints []*Endpoint
	for _, e := range p.endpoints {
		if int64(now) < e.runtime.ejectedUntil.Load() {
			ejected++
			continue
		}
		if ej, bad := r.detectOutlier(now, e, median); bad {
			outliers = append(outliers, ej)
			outlierEndpoints = append(outlierEndpoints, e)
		}
	}
	if r.cfg.Disabled.NoEjection {
		return nil
	}
	allowed := int(r.cfg.MaxEjectedShare * float64(len(p.endpoints)))
	if r.cfg.Disabled.NoMaxEjectedShare {
		allowed = len(p.endpoints)
	}
	order := make([]int, len(outliers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return outliers[b].compareSeverity(outliers[a]) })
	decided := make([]Ejection, 0, len(outliers))
	for _, i := range order {
		ej := outliers[i]
		ej.PoolSize = len(p.endpoints)
		ej.Suppressed = ejected >= allowed
		if !ej.Suppressed {
			ejected++
			ej.Duration = r.eject(now, outlierEndpoints[i].runtime)
		}
		ej.Ejected = ejected
		decided = append(decided, ej)
	}
	return decided
}

// compareSeverity orders stuck above failing above slow endpoints, then by value. A positive result
// means that e is more severe.
func (e Ejection) compareSeverity(other Ejection) int {
	if e.Cause != other.Cause {
		return int(e.Cause) - int(other.Cause)
	}
	return int(math.Copysign(1, e.Value-other.Value))
}

// groupMedians are the medians of a peer group; zero if too few endpoints have enough samples.
type groupMedians struct{ firstTokenRatio, stepRatio float64 }

func medianOf(now clock.Time, eps []*Endpoint, selectMean func(*endpointRuntime) *ewma) float64 {
	var ratios []float64
	for _, e := range eps {
		if mean := selectMean(e.runtime); mean.n.Load() >= minSamples {
			ratios = append(ratios, mean.value(now, 1))
		}
	}
	if len(ratios) < minPeers {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

func (r *Router) detectOutlier(now clock.Time, e *Endpoint, medians groupMedians) (Ejection, bool) {
	rt := e.runtime
	ej := Ejection{Endpoint: e.Name, Pool: e.Pool}
	overdue := now.Sub(clock.Time(rt.firstTokenDueAt.Load()))
	if rt.awaitingFirstToken.Load() > 0 && overdue > 0 {
		ej.Cause, ej.Value = Stuck, overdue.Seconds()
		return ej, true
	}
	if rate := rt.errorRate.value(now, 0); rt.errorRate.n.Load() >= minPeers && rate >= r.cfg.MaxErrorRate {
		ej.Cause, ej.Value = Failing, rate
		return ej, true
	}
	ej.Cause = Slow
	if r.isSlow(now, &rt.firstTokenRatio, medians.firstTokenRatio, &ej) || r.isSlow(now, &rt.stepRatio, medians.stepRatio, &ej) {
		return ej, true
	}
	return ej, false
}

func (r *Router) isSlow(now clock.Time, mean *ewma, median float64, ej *Ejection) bool {
	ej.Value, ej.Median = mean.value(now, 1), median
	return median > 0 && mean.n.Load() >= minSamples && ej.Value > r.cfg.SlowFactor*max(median, 1)
}

// eject ejects an endpoint. The ejection time doubles with each ejection that soon follows the
// last. The endpoint returns with slow start and without its previous health measurements.
func (r *Router) eject(now clock.Time, rt *endpointRuntime) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if now.Sub(rt.lastEjectionEnd) > ejectionHistory {
		rt.ejections = 0
	}
	duration := min(r.cfg.BaseEjectionTime<<min(rt.ejections, maxEjectionDoublings), r.cfg.MaxEjectionTime)
	rt.ejections++
	until := now.Add(duration)
	rt.lastEjectionEnd = until
	rt.ejectedUntil.Store(int64(until))
	rt.slowStartFrom.Store(int64(until))
	rt.firstTokenDueAt.Store(int64(until.Add(r.cfg.StuckTimeout)))
	rt.resetHealth()
	return duration
}

// Stats are the router's statistics, published through expvar.
type Stats struct {
	Picks     map[string]int64
	Endpoints []EndpointStats
}

// EndpointStats are the statistics of one endpoint.
type EndpointStats struct {
	Name      string
	Pool      string
	State     State
	Out       bool  // ejected
	InFlight  int64 // of this entry
	Limit     int
	Runs      int64         // of all entries, estimated
	Wait      time.Duration // queued prefill, estimated
	Ratio     float64       // measured over expected time to the first token
	Step      float64       // measured over nominal time between tokens
	Errors    float64
	Ejections int
	Reports   uint64
	Late      uint64 // reports dropped as older than an earlier one
	CacheGaps uint64
	ReportAge time.Duration // -1 without a report
}

// Snapshot returns the router's statistics at now.
func (r *Router) Snapshot(now clock.Time) Stats {
	s := Stats{Picks: map[string]int64{}}
	for i := range r.pickCounts {
		s.Picks[Reason(i).String()] = r.pickCounts[i].Load()
	}
	for _, e := range r.Table().endpoints {
		s.Endpoints = append(s.Endpoints, r.statsOf(now, e))
	}
	return s
}

func (r *Router) statsOf(now clock.Time, e *Endpoint) EndpointStats {
	rt := e.runtime
	requests, prefillNanos := r.estimateLoad(now, rt)
	s := EndpointStats{
		Name: e.Name, Pool: e.Pool, State: e.State,
		Out:      int64(now) < rt.ejectedUntil.Load(),
		InFlight: rt.ownRequests.Load(),
		Limit:    rt.limiter.Limit(),
		Runs:     requests,
		Wait:     time.Duration(prefillNanos),
		Ratio:    rt.firstTokenRatio.value(now, 1),
		Step:     rt.stepRatio.value(now, 1),
		Errors:   rt.errorRate.value(now, 0),
	}
	s.ReportAge = -1
	if at := rt.reportTakenAt.Load(); at != 0 {
		s.ReportAge = now.Sub(clock.Time(at))
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	s.Ejections = rt.ejections
	s.Reports, s.Late = rt.reportCount, rt.lateReports
	s.CacheGaps = rt.cacheEvents.gaps
	return s
}
