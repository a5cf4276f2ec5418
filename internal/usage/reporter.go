package usage

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

const (
	// checkPeriod is the time between two checks for windows to report.
	checkPeriod = 300 * time.Millisecond
	// settleTime is how long after its end a window is decided: by then all VMs have sent their
	// totals at least twice.
	settleTime = 1500 * time.Millisecond
	// abandonMargin is how long before its deadline a window that couldn't be reported is abandoned.
	abandonMargin = 100 * time.Millisecond
	// callTimeout bounds a call. A report must end within the time for which the authority assumes a
	// permitted call to be in flight.
	callTimeout = 800 * time.Millisecond
)

// Records stores the decided counts of windows, where each leader can read them.
type Records interface {
	// Decided returns the newest decided windows, and the version of the records.
	Decided(ctx context.Context) (decided []Totals, version era.Position, err error)
	// Decide adds a window, on the condition that the records still have the given version. It fails
	// if the store's era isn't that of the version.
	Decide(ctx context.Context, t Totals, version era.Position) error
}

// Billing is the platform's receiver of reports.
type Billing interface {
	// ReportUsage reports a window. It is idempotent for equal counts. fence is the leader's fencing
	// token.
	ReportUsage(ctx context.Context, t Totals, fence int64) error
}

// Reporter reports each window while its process is the leader. It is a kernel unit.
//
// The counts of a window are decided by a conditional write of a record before the first report. So
// successive leaders, and a leader that doesn't know whether its write or its report arrived, report
// the same counts.
//
// A restore of the store may undo a record whose counts were reported. So leaders remember what they
// have decided and tell their successors. A window that may have been decided in an earlier era is
// reported only with remembered counts.
type Reporter struct {
	Ledger  *Ledger
	Records Records
	Billing Billing
	Clock   clock.Clock
	Eras    *era.Tracker // of the store
	// TrueTime returns the time of day at a reading of Clock.
	TrueTime func(clock.Time) time.Time
	// MayAct returns the fencing token to act with, and whether this process may act as leader.
	MayAct func() (fence int64, ok bool)
	// Gather merges the totals that other VMs have, when this process becomes leader.
	Gather func(ctx context.Context)
	// Window is the length of a window, and ReportDeadline the time after its end within which it
	// must be reported.
	Window, ReportDeadline time.Duration

	leading    bool
	reported   map[int64]bool
	lastMissed int64 // newest window that was abandoned
}

// WindowOf returns the number of the window that contains a time of day.
func WindowOf(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// Name implements kernel.Unit.
func (r *Reporter) Name() string { return "usage" }

// Run implements kernel.Runner.
func (r *Reporter) Run(ctx context.Context) error {
	r.reported = map[int64]bool{}
	return clock.Every(ctx, checkPeriod, func() { r.reportDue(ctx) })
}

// reportDue reports the windows that are due, the oldest first.
func (r *Reporter) reportDue(ctx context.Context) {
	if _, ok := r.MayAct(); !ok {
		r.leading = false
		return
	}
	if !r.leading {
		r.Gather(ctx)
		r.leading = true
	}
	now := r.TrueTime(r.Clock.Now())
	first := WindowOf(now.Add(abandonMargin-r.ReportDeadline), r.Window)
	r.evictBefore(first)
	for w := first; w < WindowOf(now.Add(-settleTime), r.Window); w++ {
		if r.reported[w] || !r.hasKnownDecision(w) {
			continue
		}
		if !r.report(ctx, w) {
			return // the next check retries it first
		}
	}
}

// maxTimeError bounds the difference between the true times that two VMs estimate.
const maxTimeError = time.Second

// hasKnownDecision reports whether the decision on a window is remembered, or can't have been made
// before the store's current era.
func (r *Reporter) hasKnownDecision(window int64) bool {
	if _, remembered := r.Ledger.Decided(window); remembered {
		return true
	}
	e, since := r.Eras.Since()
	if e == era.None {
		return true
	}
	windowEnd := time.Unix(0, (window+1)*int64(r.Window))
	return !r.TrueTime(since).After(windowEnd.Add(settleTime - maxTimeError))
}

// evictBefore logs windows before first that weren't reported, and deletes the state of old ones.
func (r *Reporter) evictBefore(first int64) {
	for w := first - maxWindows/2; w < first; w++ {
		if !r.reported[w] && w > r.lastMissed && len(r.Ledger.Sum(w)) > 0 {
			log.WithField("window", w).Warn("usage report missed its deadline")
			r.lastMissed = w
		}
	}
	maps.DeleteFunc(r.reported, func(w int64, _ bool) bool { return w < first-maxWindows })
}

// report decides and reports one window, and returns whether it is done.
func (r *Reporter) report(ctx context.Context, window int64) bool {
	t, ok := r.decide(ctx, window)
	if !ok {
		return false
	}
	if len(t.Counts) == 0 {
		return true // no VM has counted a request
	}
	fence, ok := r.MayAct()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Billing.ReportUsage(ctx, t, fence)
	log.WithError(err).WithField("window", window).WithField("workspaces", len(t.Counts)).WithField("requests", t.requests()).
		WithField("fence", fence).Info("usage reported")
	r.reported[window] = err == nil
	return err == nil
}

// decide returns the decided counts of a window. If neither this process nor the records have any, it
// writes the sum of all totals to the records first, unless the window has no requests.
func (r *Reporter) decide(ctx context.Context, window int64) (Totals, bool) {
	if t, ok := r.Ledger.Decided(window); ok {
		return t, true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	decided, version, err := r.Records.Decided(ctx)
	if err != nil {
		log.WithError(err).WithField("window", window).Warn("usage records read failed")
		return Totals{}, false
	}
	if !r.hasKnownDecision(window) {
		log.WithField("window", window).WithField("era", uint64(version.Era)).Warn("usage may have been decided before the store was restored")
		return Totals{}, false
	}
	if i := slices.IndexFunc(decided, func(t Totals) bool { return t.Window == window }); i >= 0 {
		r.Ledger.SetDecided(decided[i])
		return decided[i], true
	}
	t := Totals{window, r.Ledger.Sum(window)}
	if len(t.Counts) == 0 {
		return t, true
	}
	if err := r.Records.Decide(ctx, t, version); err != nil {
		log.WithError(err).WithField("window", window).Warn("usage decision failed")
		return Totals{}, false
	}
	log.WithField("window", window).WithField("requests", t.requests()).WithField("era", uint64(version.Era)).WithField("offset", version.Offset).Info("usage decided")
	r.Ledger.SetDecided(t)
	return t, true
}

func (t *Totals) requests() (sum uint32) {
	for _, n := range t.Counts {
		sum += n
	}
	return sum
}
