package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/clock"
)

// Recorder keeps one entry's account. It is safe for concurrent use; its memory
// is fixed by the number of objectives.
type Recorder struct {
	mu      sync.RWMutex // guards the list, not the accounts in it
	held    []*account
	unknown uint64
}

type account struct {
	Objective
	mu    sync.Mutex
	ring  ring
	waits latencies
	timed bool
}

// NewRecorder returns a recorder of the objectives.
func NewRecorder(objectives []Objective) (*Recorder, error) {
	r := &Recorder{}
	return r, r.SetObjectives(objectives)
}

// SetObjectives takes over the objectives of a newer sheet. Accounts of objectives that
// stay as they are go on; a changed limit or target starts anew, since the old
// counts answer another question.
func (r *Recorder) SetObjectives(objectives []Objective) error {
	for _, o := range objectives {
		if err := o.check(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]*account, 0, len(objectives))
	for _, o := range objectives {
		a := r.find(o.Class, o.Signal)
		if a == nil || a.Objective != o {
			a = &account{Objective: o, timed: o.Signal != Commits}
		}
		next = append(next, a)
	}
	r.held = next
	return nil
}

func (r *Recorder) find(class string, s Signal) *account {
	for _, a := range r.held {
		if a.Class == class && a.Signal == s {
			return a
		}
	}
	return nil
}

// RecordFirstToken records the wait for an answer's first token.
func (r *Recorder) RecordFirstToken(now clock.Time, class string, d time.Duration) {
	r.latency(now, class, FirstToken, d)
}

// RecordTokenGap records one gap between two tokens.
func (r *Recorder) RecordTokenGap(now clock.Time, class string, d time.Duration) {
	r.latency(now, class, BetweenTokens, d)
}

// RecordAnswer records the end of a request: whether the whole answer was on time,
// and how long it took.
func (r *Recorder) RecordAnswer(now clock.Time, class string, onTime bool, took time.Duration) {
	r.record(class, OnTime, func(a *account) { a.add(now, onTime, took) })
}

// RecordRefused records a request that was not served.
func (r *Recorder) RecordRefused(now clock.Time, class string) {
	r.record(class, OnTime, func(a *account) { a.count(now, false) })
}

// RecordCommit records the end of a non-idempotent request and whether its outcome is
// known.
func (r *Recorder) RecordCommit(now clock.Time, class string, known bool) {
	r.record(class, Commits, func(a *account) { a.count(now, known) })
}

func (r *Recorder) latency(now clock.Time, class string, s Signal, d time.Duration) {
	r.record(class, s, func(a *account) { a.add(now, d <= a.Limit, d) })
}

// record runs fn on the account. Events of a class without an objective are
// counted, so that a misspelt class in a sheet shows.
func (r *Recorder) record(class string, s Signal, fn func(*account)) {
	r.mu.RLock()
	a := r.find(class, s)
	r.mu.RUnlock()
	if a == nil {
		r.mu.Lock()
		r.unknown++
		r.mu.Unlock()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fn(a)
}

func (a *account) add(now clock.Time, good bool, d time.Duration) {
	a.count(now, good)
	a.waits.record(now, d)
}

func (a *account) count(now clock.Time, good bool) {
	c := a.ring.at(now)
	if good {
		c.Good++
		return
	}
	c.Bad++
}

// Report returns the account as of now.
func (r *Recorder) Report(now clock.Time, vm, zone string) (Report, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := Report{VM: vm, Zone: zone, Unknown: r.unknown}
	for _, a := range r.held {
		l, err := a.report(now)
		if err != nil {
			return Report{}, err
		}
		out.Lines = append(out.Lines, l)
	}
	return out, nil
}

func (a *account) report(now clock.Time) (Line, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := Line{
		Class:   a.Class,
		Signal:  a.Signal,
		Target:  a.Target,
		LimitMS: a.Limit.Milliseconds(),
		Windows: a.ring.windows(now),
		Series:  a.ring.series(now),
	}
	if !a.timed {
		return l, nil
	}
	var err error
	l.Waits, err = a.waits.merged(now).Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return l, err
}
