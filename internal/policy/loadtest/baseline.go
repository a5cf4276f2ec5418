package loadtest

import (
	"math"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// FIFORoundRobin dispatches each request immediately, to the ready engines in round robin.
func FIFORoundRobin(split func(int) []Role) Policy {
	return Policy{
		Name:      "fifo + round robin + static",
		Admission: func(Setup) Admission { return &FIFO{} },
		Routing:   func(s Setup) Routing { return &roundRobin{next: s.Index} },
		Split:     split,
	}
}

// LeastLoaded dispatches each request immediately, to the ready engine with the least work
// according to its latest report and what the entry has sent since.
func LeastLoaded(split func(int) []Role) Policy {
	return Policy{
		Name:      "fifo + least loaded + static",
		Admission: func(Setup) Admission { return &FIFO{} },
		Routing:   func(Setup) Routing { return LeastLoadedRouting{} },
		Split:     split,
	}
}

// SplitShare returns a split that assigns the given share of the engines to prefill, the others to
// decode, and at least one engine to each role.
func SplitShare(prefill float64) func(int) []Role {
	return func(engines int) []Role {
		n := int(math.Round(prefill * float64(engines)))
		n = min(max(n, 1), engines-1)
		roles := make([]Role, engines)
		for i := range roles {
			roles[i] = Decode
			if i < n {
				roles[i] = Prefill
			}
		}
		return roles
	}
}

// AllMixed is a split in which every engine does prefill and decode.
func AllMixed(engines int) []Role { return make([]Role, engines) }

// FIFO is an unbounded queue that refuses no request.
type FIFO struct{ queue []*Request }

// Arrive implements Admission.
func (f *FIFO) Arrive(_ clock.Time, r *Request, _ *View) code.Code {
	f.queue = append(f.queue, r)
	return code.OK
}

// Next implements Admission.
func (f *FIFO) Next(clock.Time, *View) (*Request, []Refusal) {
	if len(f.queue) == 0 {
		return nil, nil
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	return r, nil
}

// Requeue implements Admission.
func (f *FIFO) Requeue(_ clock.Time, r *Request) {
	f.queue = append([]*Request{r}, f.queue...)
}

// Done implements Admission.
func (f *FIFO) Done(clock.Time, Outcome) {}

type roundRobin struct{ next int }

func (r *roundRobin) Pick(_ clock.Time, _ *Request, v *View) (int, bool) {
	return r.nextEngine(v, Prefill)
}

func (r *roundRobin) PickDecode(_ clock.Time, _ *Request, _ int, v *View) (int, bool) {
	return r.nextEngine(v, Decode)
}

// nextEngine returns the next ready engine that can do the work of role.
func (r *roundRobin) nextEngine(v *View, role Role) (int, bool) {
	for range v.Engines {
		r.next++
		e := &v.Engines[r.next%len(v.Engines)]
		if e.State == Ready && (e.Role == role || e.Role == Mixed) {
			return e.ID, true
		}
	}
	return 0, false
}

func (r *roundRobin) Done(clock.Time, Outcome) {}

// LeastLoadedRouting picks the engine with the least reported work plus the work that this entry
// has sent to it since the report.
type LeastLoadedRouting struct{}

// Pick implements Routing.
func (LeastLoadedRouting) Pick(_ clock.Time, _ *Request, v *View) (int, bool) {
	return leastLoaded(v, Prefill, func(e *EngineView) int {
		return e.Report.WaitingPrefillTokens + e.SentSinceReport.PromptTokens
	})
}

// PickDecode implements Routing.
func (LeastLoadedRouting) PickDecode(_ clock.Time, _ *Request, _ int, v *View) (int, bool) {
	return leastLoaded(v, Decode, func(e *EngineView) int {
		return e.Report.Running + e.Report.WaitingDecode + e.SentSinceReport.Requests
	})
}

// Done implements Routing.
func (LeastLoadedRouting) Done(clock.Time, Outcome) {}

func leastLoaded(v *View, role Role, load func(*EngineView) int) (int, bool) {
	best, lowest := -1, math.MaxInt
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State != Ready || e.Role != role && e.Role != Mixed {
			continue
		}
		if n := load(e); n < lowest {
			best, lowest = i, n
		}
	}
	return best, best >= 0
}
