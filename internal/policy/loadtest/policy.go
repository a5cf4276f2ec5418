package loadtest

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Policy is a set of decisions under comparison. Admission and routing are made
// once for each entry, the role plan once for each planner; nil means roles
// stay as Split set them.
type Policy struct {
	Name      string
	Admission func(Setup) Admission
	Routing   func(Setup) Routing
	Roles     func(Setup) RolePlanner
	Split     func(engines int) []Role
}

// Setup is what a policy may know before the run. Requests is for a clairvoyant
// plan only.
type Setup struct {
	Config   Config
	Index    int // of this entry or planner
	Seed     uint64
	Requests []*Request
}

// Refusal is a request that will not be served.
type Refusal struct {
	Request *Request
	Code    code.Code
}

// Admission holds one entry's queue.
type Admission interface {
	// Arrive queues the request or refuses it with a code; zero means queued.
	Arrive(now clock.Time, r *Request, v *View) code.Code
	// Next takes the request to dispatch next, nil if none may be dispatched
	// now, and those given up.
	Next(now clock.Time, v *View) (*Request, []Refusal)
	// Requeue puts back a request that no engine could take or that an engine
	// gave back without having begun.
	Requeue(now clock.Time, r *Request)
	// Done tells the end of an attempt.
	Done(now clock.Time, o Outcome)
}

// Routing picks engines for one entry.
type Routing interface {
	// Pick returns the engine to prefill on; a mixed one decodes there as well.
	Pick(now clock.Time, r *Request, v *View) (engine int, ok bool)
	// PickDecode returns the engine that decodes what from has prefilled.
	PickDecode(now clock.Time, r *Request, from int, v *View) (engine int, ok bool)
	// Done tells the end of an attempt.
	Done(now clock.Time, o Outcome)
}

// RolePlanner moves engines between roles.
type RolePlanner interface {
	Plan(now clock.Time, v *View) []RoleChange
}

// RoleChange orders an engine to another role.
type RoleChange struct {
	Engine int
	To     Role
}

// Outcome is the end of one attempt. Engine is the one that it ended on.
type Outcome struct {
	Request    *Request
	Engine     int
	OK         bool
	FirstToken time.Duration // since the arrival; zero if there was none
	Total      time.Duration
}

// View is what one process knows: lagged reports, and its own counts, which are
// exact.
type View struct {
	Engines  []EngineView
	Arrivals Arrivals
}

// EngineView is what one process knows of one engine.
type EngineView struct {
	ID     int
	Zone   int
	Role   Role
	State  State
	Report Report
	// Outstanding counts this entry's attempts that the engine holds now, SentSinceReport
	// those sent there after the report was measured.
	Outstanding, SentSinceReport Load

	sent []sent
}

// Load counts work.
type Load struct {
	Requests     int
	PromptTokens int
}

type sent struct {
	at     clock.Time
	prompt int
}

// Report is what an engine last told; MeasuredAt is zero if it never did.
type Report struct {
	MeasuredAt    clock.Time
	Role          Role
	State         State
	Running       int // streams in the batch
	WaitingDecode         int // prefilled streams that wait for a place in the batch
	WaitingPrefill       int // requests that wait for prefill
	WaitingPrefillTokens int
	StepTime      time.Duration
	CachedPrefixes        []CachedPrefix
}

// Arrivals is the demand that the entries measured over the last second,
// refused requests included. OutputTokens is an estimate from finished answers
// of the same class, and ComputedShare the share of prompt tokens that no cache
// held.
type Arrivals struct {
	At            clock.Time
	Requests      float64 // a second
	PromptTokens  float64 // a second
	OutputTokens  float64 // a second
	UncachedShare float64
}

// CachedTokens returns the tokens of the request's prefix that the engine is
// reported to hold.
func (v *EngineView) CachedTokens(r *Request) int {
	for _, c := range v.Report.CachedPrefixes {
		if c.Key == r.Key {
			return min(c.Blocks*BlockTokens, r.Prefix)
		}
	}
	return 0
}

func (v *EngineView) dispatched(now clock.Time, r *Request) {
	v.Outstanding.Requests++
	v.Outstanding.PromptTokens += r.Prompt
	v.SentSinceReport.Requests++
	v.SentSinceReport.PromptTokens += r.Prompt
	v.sent = append(v.sent, sent{at: now, prompt: r.Prompt})
}

func (v *EngineView) ended(r *Request) {
	v.Outstanding.Requests--
	v.Outstanding.PromptTokens -= r.Prompt
}

func (v *EngineView) received(r Report) {
	if r.MeasuredAt < v.Report.MeasuredAt {
		return
	}
	v.Report = r
	v.Role = r.Role
	v.State = r.State
	v.SentSinceReport = Load{}
	kept := v.sent[:0]
	for _, s := range v.sent {
		if s.at <= r.MeasuredAt {
			continue
		}
		kept = append(kept, s)
		v.SentSinceReport.Requests++
		v.SentSinceReport.PromptTokens += s.prompt
	}
	v.sent = kept
}
