package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/clock"
)

// Recorder counts the events of one entry process for each objective. It is safe for concurrent use.
// Its memory depends only on the number of objectives.
type Recorder struct {
	mu                 sync.RWMutex // guards the fields below, but not the contents of stats
	stats              []*objectiveStats
	unknownClassEvents uint64
}

// objectiveStats holds the counts and latencies of one objective.
type objectiveStats struct {
	Objective
	mu         sync.Mutex
	ring       ring
	latencies  latencyHistograms
	hasLatency bool // false for commits, which are counted without a latency
}

// NewRecorder returns a recorder for the objectives.
func NewRecorder(objectives []Objective) (*Recorder, error) {
	r := &Recorder{}
	return r, r.SetObjectives(objectives)
}

// SetObjectives replaces the objectives by those of a newer sheet. Unchanged objectives keep their
// counts. An objective with a changed limit or target begins with empty counts, since the old ones
// were compared with another limit or target.
func (r *Recorder) SetObjectives(objectives []Objective) error {
	for _, o := range objectives {
		if err := o.check(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]*objectiveStats, 0, len(objectives))
	for _, o := range objectives {
		a := r.find(o.Class, o.Signal)
		if a == nil || a.Objective != o {
			a = &objectiveStats{Objective: o, hasLatency: o.Signal != Commits}
		}
		next = append(next, a)
	}
	r.stats = next
	return nil
}

func (r *Recorder) find(class string, s Signal) *objectiveStats {
	for _, a := range r.stats {
		if a.Class == class && a.Signal == s {
			return a
		}
	}
	return nil
}

// RecordFirstToken records the latency of a request's first token.
func (r *Recorder) RecordFirstToken(now clock.Time, class string, d time.Duration) {
	r.recordLatency(now, class, FirstToken, d)
}

// RecordTokenGap records one gap between two successive tokens of an answer.
func (r *Recorder) RecordTokenGap(now clock.Time, class string, d time.Duration) {
	r.recordLatency(now, class, BetweenTokens, d)
}

// RecordAnswer records the end of a request: whether the complete answer was on time, and how long it
// took.
func (r *Recorder) RecordAnswer(now clock.Time, class string, onTime bool, duration time.Duration) {
	r.record(class, OnTime, func(a *objectiveStats) { a.add(now, onTime, duration) })
}

// RecordRefused records a refused request, which counts as not on time.
func (r *Recorder) RecordRefused(now clock.Time, class string) {
	r.record(class, OnTime, func(a *objectiveStats) { a.count(now, false) })
}

// RecordCommit records the end of a non-idempotent request and whether its outcome is known.
func (r *Recorder) RecordCommit(now clock.Time, class string, outcomeKnown bool) {
	r.record(class, Commits, func(a *objectiveStats) { a.count(now, outcomeKnown) })
}

func (r *Recorder) recordLatency(now clock.Time, class string, s Signal, d time.Duration) {
	r.record(class, s, func(a *objectiveStats) { a.add(now, d <= a.Limit, d) })
}

// record calls fn with the stats of the objective. It counts events without an objective, so that a
// misspelt class in a sheet is noticed.
func (r *Recorder) record(class string, s Signal, fn func(*objectiveStats)) {
	r.mu.RLock()
	a := r.find(class, s)
	r.mu.RUnlock()
	if a == nil {
		r.mu.Lock()
		r.unknownClassEvents++
		r.mu.Unlock()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fn(a)
}

func (a *objectiveStats) add(now clock.Time, good bool, d time.Duration) {
	a.count(now, good)
	a.latencies.record(now, d)
}

func (a *objectiveStats) count(now clock.Time, good bool) {
	c := a.ring.at(now)
	if good {
		c.Good++
		return
	}
	c.Bad++
}

// Report returns the counts and latencies as of now.
func (r *Recorder) Report(now clock.Time, vm, zone string) (Report, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := Report{VM: vm, Zone: zone, UnknownClassEvents: r.unknownClassEvents}
	for _, a := range r.stats {
		l, err := a.report(now)
		if err != nil {
			return Report{}, err
		}
		out.Objectives = append(out.Objectives, l)
	}
	return out, nil
}

func (a *objectiveStats) report(now clock.Time) (ObjectiveReport, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := ObjectiveReport{
		Class:   a.Class,
		Signal:  a.Signal,
		Target:  a.Target,
		LimitMS: a.Limit.Milliseconds(),
		Windows: a.ring.windows(now),
		Series:  a.ring.series(now),
	}
	if !a.hasLatency {
		return l, nil
	}
	var err error
	l.LatencyHistogram, err = a.latencies.merged(now).Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return l, err
}
