package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
)

// The recent past of what this entry sent is kept in buckets, to tell what a
// late report has not seen yet. 128 buckets of 50 ms cover 6.4 s, more
// than the age at which a report counts as stale.
const (
	buckets     = 128
	bucketWidth = 50 * time.Millisecond
)

// Report is an engine's own account of its load, read through its driver.
type Report struct {
	TakenAt       clock.Time // on this entry's clock: time of arrival less the stated age
	Running       int
	Waiting       int
	PrefillTokens int           // queued and not yet processed
	StepTime          time.Duration // of the batch, zero if unknown
}

// live is what is known of one endpoint beyond its table entry. It survives
// changes of the table. Traffic goroutines use the atomics; mu guards the rest.
type live struct {
	// Read for every endpoint of a cell by each decision, so kept together.
	runs       atomic.Int64 // reported, and changes by this entry since the report
	ownRuns    atomic.Int64
	outUntil   atomic.Int64 // ejected until
	takenAt    atomic.Int64 // when the newest report was taken; zero without any
	work       atomic.Int64 // nanoseconds of queued prefill, kept like runs
	ownWork    [lanes]atomic.Int64
	othersRuns atomic.Int64  // mean of other entries' requests at the pool's endpoints
	stay       atomic.Int64  // nanoseconds that a request stays at the endpoint
	others     atomic.Int64  // thousandths of its time that other entries' prefill takes
	batch      atomic.Uint64 // bits of the number of streams it may run, zero until measured
	rampFrom   atomic.Int64  // full share again at rampFrom + Ramp
	lim        *limit.Limiter

	first    ewma // measured over expected time to the first token
	step     ewma // measured over nominal time between tokens
	errs     ewma
	awaiting atomic.Int64 // requests of this entry without a first token
	dueAt    atomic.Int64 // when the next first token is overdue

	mu        sync.Mutex
	seq       cacheSeq
	ejections int
	ejectedAt clock.Time
	state     State
	reports   uint64
	late      uint64 // reports older than one already seen

	sentWork atomic.Int64 // nanoseconds of prefill that this entry ever sent
	recent   [buckets]bucket
	cache    cacheView
}

type bucket struct {
	epoch atomic.Int64
	runs  atomic.Int64
	work  atomic.Int64
}

// change counts work that this entry sent or that ended.
func (l *live) change(now clock.Time, runs, work int64, in lane) {
	l.runs.Add(runs)
	l.ownRuns.Add(runs)
	l.ownWork[in].Add(work)
	if work > 0 {
		// Reported work runs down with time, not when a request ends.
		l.work.Add(work)
		l.sentWork.Add(work)
	}
	epoch := int64(now) / int64(bucketWidth)
	b := &l.recent[epoch%buckets]
	if old := b.epoch.Load(); old != epoch && b.epoch.CompareAndSwap(old, epoch) {
		// A concurrent change between the swap and the stores is lost from
		// the bucket; the next report but one corrects it.
		b.runs.Store(0)
		b.work.Store(0)
	}
	b.runs.Add(runs)
	b.work.Add(max(work, 0))
}

// report takes a load report and adds what was sent after it was taken. Without
// that, an entry that reads the same late report a hundred times sends a
// hundred requests to the engine that was idle when the report was taken.
func (l *live) report(r Report, prefillNanos int64, trustOnly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(r.TakenAt) <= l.takenAt.Load() {
		l.late++
		return
	}
	l.reports++
	runs, work := l.since(r.TakenAt)
	if trustOnly {
		runs, work = 0, 0
	}
	l.runs.Store(max(int64(r.Running+r.Waiting)+runs, 0))
	l.work.Store(int64(r.PrefillTokens)*prefillNanos + work)
	l.takenAt.Store(int64(r.TakenAt))
}

// since sums the changes after t.
func (l *live) since(t clock.Time) (runs, work int64) {
	from := int64(t) / int64(bucketWidth)
	for i := range l.recent {
		b := &l.recent[i]
		if b.epoch.Load() >= from {
			runs += b.runs.Load()
			work += b.work.Load()
		}
	}
	return runs, work
}

// ownPrefill is the prefill that this entry has outstanding here.
func (l *live) ownPrefill() int64 { return l.ownWork[normal].Load() + l.ownWork[urgent].Load() }

// fresh says whether there is a load report that is not stale.
func (l *live) fresh(now clock.Time, cfg *Config) bool {
	at := l.takenAt.Load()
	return at != 0 && int64(now)-at <= int64(cfg.Stale)
}

// load returns the requests at the endpoint and the prefill queued there in
// nanoseconds, by all entries as well as can be told.
func (r *Router) load(now clock.Time, l *live) (runs, work int64) {
	own := l.ownRuns.Load()
	at := l.takenAt.Load()
	age := max(int64(now)-at, 0)
	if at == 0 || age > int64(r.cfg.Stale) {
		// Without a usable report the other entries are taken to send as
		// much as this one: they follow the same policy.
		n := int64(r.sharers())
		return own * n, l.ownPrefill() * n
	}
	// The engine has worked since the report, but the other entries have gone
	// on sending. Without their part an engine that is always busy would look
	// idle by the age of its report.
	drained := age / 1000 * (1000 - l.others.Load())
	work = max(l.work.Load()-drained, 0)
	runs = l.runs.Load()
	if r.cfg.Disabled.NoOwnCounts {
		return runs, work
	}
	// What the report says of the others is worth less the more of their
	// requests have ended since: at a service that answers in milliseconds,
	// an older report tells of another queue. The estimate goes over to the
	// mean of the pool with the report's age.
	others := max(runs-own, 0)
	stay := l.stay.Load()
	return own + (others*stay+l.othersRuns.Load()*age+(stay+age)/2)/(stay+age), work
}

// ewma is an exponentially weighted mean that forgets with time as well as
// with samples, so that an endpoint which is avoided for its past gets another
// chance.
type ewma struct {
	bits atomic.Uint64
	at   atomic.Int64
	n    atomic.Int64
}

const (
	// sampleWeight lets about five samples decide.
	sampleWeight = 0.2
	// halfLife is the time in which an old finding loses half of its weight.
	halfLife = 5 * time.Second
)

func (e *ewma) add(now clock.Time, x, neutral float64) {
	e.at.Store(int64(now))
	first := e.n.Add(1) == 1
	for {
		old := e.bits.Load()
		v := math.Float64frombits(old)
		if first && old == 0 {
			v = neutral
		}
		v += sampleWeight * (x - v)
		if e.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// value returns the mean, drawn towards neutral by the time without samples.
func (e *ewma) value(now clock.Time, neutral float64) float64 {
	if e.n.Load() == 0 {
		return neutral
	}
	v := math.Float64frombits(e.bits.Load())
	idle := float64(int64(now)-e.at.Load()) / float64(halfLife)
	if idle <= 0 {
		return v
	}
	return neutral + (v-neutral)/(1+idle)
}

// clean forgets all that was measured of the endpoint's health.
func (l *live) clean() {
	l.first.reset()
	l.step.reset()
	l.errs.reset()
}

func (e *ewma) reset() {
	e.n.Store(0)
	e.bits.Store(0)
}
