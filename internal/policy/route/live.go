package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
)

// Recent changes by this entry are kept in time buckets, to determine which of them a late load
// report does not include. 128 buckets of 50 ms cover 6.4 s, longer than MaxReportAge by default.
const (
	bucketCount = 128
	bucketWidth = 50 * time.Millisecond
)

// Report is the load that an engine reports, read through its driver.
type Report struct {
	TakenAt       clock.Time // on this entry's clock: time of arrival minus the reported age
	Running       int
	Waiting       int
	PrefillTokens int           // queued and not yet processed
	StepTime      time.Duration // of the batch, zero if unknown
}

// endpointRuntime is the mutable state that the router keeps for one endpoint across tables. Traffic
// goroutines use the atomics; mu guards the fields declared directly below it.
type endpointRuntime struct {
	// Read for every endpoint of a cell by each decision, so kept together for cache locality.
	requests           atomic.Int64 // reported, plus changes by this entry since the report
	ownRequests        atomic.Int64
	ejectedUntil       atomic.Int64 // zero if never ejected
	reportTakenAt      atomic.Int64 // when the newest report was taken; zero without a report
	queuedPrefillNanos atomic.Int64 // queued prefill, updated like requests
	ownPrefillNanos    [lanes]atomic.Int64
	meanOthersRequests atomic.Int64  // mean of other entries' requests per endpoint of the peer group
	serviceNanos       atomic.Int64  // nominal time a request spends at the endpoint
	othersBusyPermille atomic.Int64  // permille of the endpoint's time spent on other entries' prefill, estimated
	batchLimitBits     atomic.Uint64 // bits of the maximum number of streams, zero until measured
	slowStartFrom      atomic.Int64  // start of the slow start; zero if there was none
	limiter            *limit.Limiter

	firstTokenRatio    ewma         // measured over expected time to the first token
	stepRatio          ewma         // measured over nominal time between tokens
	errorRate          ewma         // share of failed outcomes
	awaitingFirstToken atomic.Int64 // requests of this entry without a first token
	firstTokenDueAt    atomic.Int64 // when the next first token is overdue

	mu              sync.Mutex
	cacheEvents     cacheEventStream
	ejections       int
	lastEjectionEnd clock.Time
	state           State
	reportCount     uint64
	lateReports     uint64 // dropped because an earlier one was as new

	sentPrefillNanos atomic.Int64 // total prefill that this entry has sent
	recentChanges    [bucketCount]changeBucket
	cacheView        cacheView
}

// changeBucket sums the changes by this entry within one bucketWidth.
type changeBucket struct {
	epoch        atomic.Int64 // time in units of bucketWidth
	requests     atomic.Int64
	prefillNanos atomic.Int64
}

// recordChange records requests that this entry sent, or that ended if requests is negative, with
// their prefill work.
func (rt *endpointRuntime) recordChange(now clock.Time, requests, prefillNanos int64, ln lane) {
	rt.requests.Add(requests)
	rt.ownRequests.Add(requests)
	rt.ownPrefillNanos[ln].Add(prefillNanos)
	if prefillNanos > 0 {
		// Queued prefill is reduced by elapsed time, not when a request ends.
		rt.queuedPrefillNanos.Add(prefillNanos)
		rt.sentPrefillNanos.Add(prefillNanos)
	}
	epoch := int64(now) / int64(bucketWidth)
	b := &rt.recentChanges[epoch%bucketCount]
	if old := b.epoch.Load(); old != epoch && b.epoch.CompareAndSwap(old, epoch) {
		// A concurrent change between the swap and the stores is lost from the bucket. The error
		// disappears with the second report after it.
		b.requests.Store(0)
		b.prefillNanos.Store(0)
	}
	b.requests.Add(requests)
	b.prefillNanos.Add(max(prefillNanos, 0))
}

// applyReport applies a load report and adds what this entry sent after it was taken. Without that,
// an entry that reads the same late report a hundred times sends a hundred requests to the engine
// that was idle when the report was taken.
func (rt *endpointRuntime) applyReport(r Report, prefillNanosPerToken int64, ignoreOwnChanges bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if int64(r.TakenAt) <= rt.reportTakenAt.Load() {
		rt.lateReports++
		return
	}
	rt.reportCount++
	requests, prefillNanos := rt.changesSince(r.TakenAt)
	if ignoreOwnChanges {
		requests, prefillNanos = 0, 0
	}
	rt.requests.Store(max(int64(r.Running+r.Waiting)+requests, 0))
	rt.queuedPrefillNanos.Store(int64(r.PrefillTokens)*prefillNanosPerToken + prefillNanos)
	rt.reportTakenAt.Store(int64(r.TakenAt))
}

// changesSince sums the changes since t, in whole buckets.
func (rt *endpointRuntime) changesSince(t clock.Time) (requests, prefillNanos int64) {
	from := int64(t) / int64(bucketWidth)
	for i := range rt.recentChanges {
		b := &rt.recentChanges[i]
		if b.epoch.Load() >= from {
			requests += b.requests.Load()
			prefillNanos += b.prefillNanos.Load()
		}
	}
	return requests, prefillNanos
}

// totalOwnPrefillNanos returns the prefill that this entry has outstanding at the endpoint.
func (rt *endpointRuntime) totalOwnPrefillNanos() int64 {
	return rt.ownPrefillNanos[normal].Load() + rt.ownPrefillNanos[urgent].Load()
}

// hasFreshReport reports whether the newest load report is within MaxReportAge.
func (rt *endpointRuntime) hasFreshReport(now clock.Time, cfg *Config) bool {
	at := rt.reportTakenAt.Load()
	return at != 0 && int64(now)-at <= int64(cfg.MaxReportAge)
}

// estimateLoad estimates the requests of all entries at the endpoint, and the prefill queued there
// in nanoseconds.
func (r *Router) estimateLoad(now clock.Time, rt *endpointRuntime) (requests, prefillNanos int64) {
	ownRequests := rt.ownRequests.Load()
	at := rt.reportTakenAt.Load()
	age := max(int64(now)-at, 0)
	if at == 0 || age > int64(r.cfg.MaxReportAge) {
		// Without a fresh report each other entry is assumed to send as much as this one, because
		// they follow the same policy.
		n := int64(r.entryCount())
		return ownRequests * n, rt.totalOwnPrefillNanos() * n
	}
	// The engine has processed work since the report, but the other entries have sent more. Without
	// their share, an engine that is always busy would appear less loaded the older its report is.
	processedNanos := age / 1000 * (1000 - rt.othersBusyPermille.Load())
	prefillNanos = max(rt.queuedPrefillNanos.Load()-processedNanos, 0)
	requests = rt.requests.Load()
	if r.cfg.Disabled.NoLocalCounts {
		return requests, prefillNanos
	}
	// The reported requests of other entries become less accurate as those requests end: at a
	// service that answers in milliseconds, the queue of an older report has been replaced. The
	// estimate therefore moves from the report to the mean of the peer group with the report's age.
	otherRequests := max(requests-ownRequests, 0)
	serviceNanos := rt.serviceNanos.Load()
	return ownRequests + (otherRequests*serviceNanos+rt.meanOthersRequests.Load()*age+(serviceNanos+age)/2)/(serviceNanos+age), prefillNanos
}

// ewma is an exponentially weighted moving average that decays towards a neutral value with time as
// well as with samples, so that an endpoint that is avoided because of past samples gets another
// chance.
type ewma struct {
	bits atomic.Uint64 // of the float64 average
	at   atomic.Int64  // time of the last sample
	n    atomic.Int64  // samples since reset
}

const (
	// sampleWeight is the weight of a new sample; about the last five samples determine the
	// average.
	sampleWeight = 0.2
	// idleHalfLife is the time without samples after which the average has moved halfway to
	// neutral.
	idleHalfLife = 5 * time.Second
)

func (e *ewma) observe(now clock.Time, sample, neutral float64) {
	e.at.Store(int64(now))
	first := e.n.Add(1) == 1
	for {
		old := e.bits.Load()
		v := math.Float64frombits(old)
		if first && old == 0 {
			v = neutral
		}
		v += sampleWeight * (sample - v)
		if e.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// value returns the average, moved towards neutral by the time without samples.
func (e *ewma) value(now clock.Time, neutral float64) float64 {
	if e.n.Load() == 0 {
		return neutral
	}
	v := math.Float64frombits(e.bits.Load())
	idleHalfLives := float64(int64(now)-e.at.Load()) / float64(idleHalfLife)
	if idleHalfLives <= 0 {
		return v
	}
	return neutral + (v-neutral)/(1+idleHalfLives)
}

// resetHealth discards the health measurements of the endpoint.
func (rt *endpointRuntime) resetHealth() {
	rt.firstTokenRatio.reset()
	rt.stepRatio.reset()
	rt.errorRate.reset()
}

func (e *ewma) reset() {
	e.n.Store(0)
	e.bits.Store(0)
}
