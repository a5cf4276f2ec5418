package loadtest

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Policy is one of the policies under comparison. Admission and Routing are called once for each
// entry, Roles once for each planner. Split sets the initial roles; if Roles is nil, they don't
// change.
type Policy struct {
	Name      string
	Admission func(Setup) Admission
	Routing   func(Setup) Routing
	Roles     func(Setup) RolePlanner
	Split     func(engines int) []Role
}

// Setup is the data that a policy gets before the run. Only a clairvoyant planner may read
// Requests.
type Setup struct {
	Config   Config
	Index    int // of this entry or planner
	Seed     uint64
	Requests []*Request
}

// Refusal is a request that admission has refused.
type Refusal struct {
	Request *Request
	Code    code.Code
}

// Admission is the admission control and request queue of one entry.
type Admission interface {
	// Arrive queues the request or refuses it with a code; zero means queued.
	Arrive(now clock.Time, r *Request, v *View) code.Code
	// Next removes and returns the request to dispatch next, nil if none may be dispatched now,
	// and the queued requests that it now refuses.
	Next(now clock.Time, v *View) (*Request, []Refusal)
	// Requeue puts back a request that no engine could take, that an engine returned without
	// having started it, or whose attempt failed.
	Requeue(now clock.Time, r *Request)
	// Done records the end of an attempt.
	Done(now clock.Time, o Outcome)
}

// Routing picks the engines for the requests of one entry.
type Routing interface {
	// Pick returns the engine that prefills r. If it is mixed, it also decodes r.
	Pick(now clock.Time, r *Request, v *View) (engine int, ok bool)
	// PickDecode returns the engine that decodes r after engine from has prefilled it.
	PickDecode(now clock.Time, r *Request, from int, v *View) (engine int, ok bool)
	// Done records the end of an attempt.
	Done(now clock.Time, o Outcome)
}

// RolePlanner reassigns engines between roles.
type RolePlanner interface {
	Plan(now clock.Time, v *View) []RoleChange
}

// RoleChange is an order to an engine to change its role.
type RoleChange struct {
	Engine int
	To     Role
}

// Outcome describes the end of one attempt. Engine is the engine on which it ended.
type Outcome struct {
	Request    *Request
	Engine     int
	OK         bool
	FirstToken time.Duration // since the request's arrival; zero if there was none
	Total      time.Duration // since the request's arrival
}

// View is the state that one process has of the engines: delayed reports, and exact counts of its
// own requests.
type View struct {
	Engines  []EngineView
	Arrivals Arrivals
}

// EngineView is the state that one process has of one engine.
type EngineView struct {
	ID     int
	Zone   int
	Role   Role
	State  State
	Report Report
	// Outstanding counts this entry's unfinished attempts on the engine. SentSinceReport counts
	// those dispatched to it after the report was measured.
	Outstanding, SentSinceReport Load

	dispatches []dispatch // since the report was measured
}

// Load is an amount of work.
type Load struct {
	Requests     int
	PromptTokens int
}

type dispatch struct {
	at     clock.Time
	prompt int
}

// Report is an engine's latest load report. MeasuredAt is zero if none has arrived.
type Report struct {
	MeasuredAt           clock.Time
	Role                 Role
	State                State
	Running              int // streams in the batch
	WaitingDecode        int // prefilled streams that wait for a place in the batch
	WaitingPrefill       int // requests that wait for prefill
	WaitingPrefillTokens int
	StepTime             time.Duration
	CachedPrefixes       []CachedPrefix
}

// Arrivals is the demand that the entries measured over the last second, including refused
// requests. OutputTokens is estimated from finished answers of the same class. UncachedShare is
// the share of prompt tokens that weren't in a prefix cache.
type Arrivals struct {
	At            clock.Time
	Requests      float64 // a second
	PromptTokens  float64 // a second
	OutputTokens  float64 // a second
	UncachedShare float64
}

// CachedTokens returns the number of tokens of the request's prefix that the engine has cached
// according to its report.
func (v *EngineView) CachedTokens(r *Request) int {
	for _, c := range v.Report.CachedPrefixes {
		if c.Key == r.Key {
			return min(c.Blocks*BlockTokens, r.Prefix)
		}
	}
	return 0
}

func (v *EngineView) recordDispatch(now clock.Time, r *Request) {
	v.Outstanding.Requests++
	v.Outstanding.PromptTokens += r.Prompt
	v.SentSinceReport.Requests++
	v.SentSinceReport.PromptTokens += r.Prompt
	v.dispatches = append(v.dispatches, dispatch{at: now, prompt: r.Prompt})
}

func (v *EngineView) recordEnd(r *Request) {
	v.Outstanding.Requests--
	v.Outstanding.PromptTokens -= r.Prompt
}

// applyReport replaces the current report by r unless r is older.
func (v *EngineView) applyReport(r Report) {
	if r.MeasuredAt < v.Report.MeasuredAt {
		return
	}
	v.Report = r
	v.Role = r.Role
	v.State = r.State
	v.SentSinceReport = Load{}
	kept := v.dispatches[:0]
	for _, d := range v.dispatches {
		if d.at <= r.MeasuredAt {
			continue
		}
		kept = append(kept, d)
		v.SentSinceReport.Requests++
		v.SentSinceReport.PromptTokens += d.prompt
	}
	v.dispatches = kept
}
