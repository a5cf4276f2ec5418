package usage

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

const (
	// period is the time between two looks for windows to report.
	period = 300 * time.Millisecond
	// settle is how long after its end a window is decided: the totals of all VMs
	// have been told at least twice.
	settle = 1500 * time.Millisecond
	// giveUp is how long before it is due a window that could not be reported is
	// given up.
	giveUp = 100 * time.Millisecond
	// callTimeout bounds a call; a report must have left within the time that the
	// authority counts a call as under way.
	callTimeout = 800 * time.Millisecond
)

// Records keeps the windows that are decided, where each holder of the duty sees them.
type Records interface {
	// Decided returns the newest windows that are decided, and the version of the
	// records.
	Decided(ctx context.Context) (decided []Totals, version int64, err error)
	// Decide adds a window if the records still have that version.
	Decide(ctx context.Context, t Totals, version int64) error
}

// Billing takes reports.
type Billing interface {
	// ReportUsage reports a window. A report that is repeated with the same counts
	// changes nothing.
	ReportUsage(ctx context.Context, t Totals, fence int64) error
}

// Reporter reports each window while its process holds the duty. It is a kernel unit.
//
// The counts of a window are decided by a record that is written under a condition
// before the first report: holders that follow each other, or that don't know whether
// their writing or their report arrived, report the same counts.
type Reporter struct {
	Ledger  *Ledger
	Records Records
	Billing Billing
	Clock   clock.Clock
	// TrueTime returns the time of day at a reading of the clock.
	TrueTime func(clock.Time) time.Time
	// MayAct returns the fencing token to act with, and whether this process may act.
	MayAct func() (fence int64, ok bool)
	// Gather takes over what other VMs know, when this one comes to act.
	Gather func(ctx context.Context)
	// Window is the length of a window, and ReportDeadline how long after its end it must have
	// been reported.
	Window, ReportDeadline time.Duration

	acting   bool
	reported map[int64]bool
	missed   int64 // newest window that was given up
}

// WindowOf returns the number of the window of a time of day.
func WindowOf(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// Name implements kernel.Unit.
func (r *Reporter) Name() string { return "usage" }

// Run implements kernel.Runner.
func (r *Reporter) Run(ctx context.Context) error {
	r.reported = map[int64]bool{}
	return clock.Every(ctx, period, func() { r.look(ctx) })
}

// look reports the windows that are due, the oldest first.
func (r *Reporter) look(ctx context.Context) {
	if _, ok := r.MayAct(); !ok {
		r.acting = false
		return
	}
	if !r.acting {
		r.Gather(ctx)
		r.acting = true
	}
	now := r.TrueTime(r.Clock.Now())
	first := WindowOf(now.Add(giveUp-r.ReportDeadline), r.Window)
	r.forget(first)
	for w := first; w < WindowOf(now.Add(-settle), r.Window); w++ {
		if r.reported[w] {
			continue
		}
		if !r.report(ctx, w) {
			return // the next look begins with it
		}
	}
}

// forget drops what is known of windows before first, and logs those that were missed.
func (r *Reporter) forget(first int64) {
	for w := first - keptWindows/2; w < first; w++ {
		if !r.reported[w] && w > r.missed && len(r.Ledger.Sum(w)) > 0 {
			log.WithField("window", w).Warn("usage not reported in time")
			r.missed = w
		}
	}
	maps.DeleteFunc(r.reported, func(w int64, _ bool) bool { return w < first-keptWindows })
}

// report decides and reports one window, and returns whether that is done.
func (r *Reporter) report(ctx context.Context, window int64) bool {
	t, ok := r.decide(ctx, window)
	if !ok {
		return false
	}
	if len(t.Counts) == 0 {
		return true // nobody knows of any request
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

// decide returns the counts of a window as the records have them, where they are put
// if they aren't there yet. A window without requests isn't decided.
func (r *Reporter) decide(ctx context.Context, window int64) (Totals, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	decided, version, err := r.Records.Decided(ctx)
	if err != nil {
		log.WithError(err).WithField("window", window).Warn("usage records not read")
		return Totals{}, false
	}
	if i := slices.IndexFunc(decided, func(t Totals) bool { return t.Window == window }); i >= 0 {
		return decided[i], true
	}
	t := Totals{window, r.Ledger.Sum(window)}
	if len(t.Counts) == 0 {
		return t, true
	}
	if err := r.Records.Decide(ctx, t, version); err != nil {
		log.WithError(err).WithField("window", window).Warn("usage not decided")
		return Totals{}, false
	}
	log.WithField("window", window).WithField("requests", t.requests()).Info("usage decided")
	return t, true
}

func (t *Totals) requests() (sum uint32) {
	for _, n := range t.Counts {
		sum += n
	}
	return sum
}
