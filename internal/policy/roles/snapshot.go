package roles

import (
	"fmt"
	"time"
)

// Role is the part of the work that an engine takes.
type Role int

// The roles. A mixed engine takes both parts; the planner never moves it.
const (
	Mixed Role = iota
	Prefill
	Decode
)

func (r Role) String() string {
	switch r {
	case Mixed:
		return "mixed"
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	}
	return fmt.Sprintf("role(%d)", int(r))
}

func (r Role) other() Role {
	if r == Prefill {
		return Decode
	}
	return Prefill
}

// State is what an engine is doing.
type State int

// The states of an engine.
const (
	Ready    State = iota
	Changing       // drains for a role change or is away for it
	Draining       // drains for any other planned reason
	Down           // crashed, cut off or withdrawn
)

func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Changing:
		return "changing"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return fmt.Sprintf("state(%d)", int(s))
}

// Snapshot is one pool as a control process knows it.
type Snapshot struct {
	Pool     string
	Engines  []Engine
	Arrivals Arrivals
	Queues   Queues
	Rates    Rates
	// ChangesLastHour is the count of the pool's role changes in the folded
	// log; zero leaves the planner with those that it has seen itself.
	ChangesLastHour int
}

// Engine is one engine of the pool.
type Engine struct {
	Name   string
	Holder string // the control process with authority over it
	Role   Role
	State  State
	// Running and Queued count streams and waiting requests, CachedPieces the
	// pieces of prefix cache that a change would lose.
	Running      int
	Queued       int
	CachedPieces int
	// ReportAge is the time since the newest report was measured; negative
	// means that there is none.
	ReportAge time.Duration
}

// Arrivals is the demand that callers offer, refused requests included: a split
// that is judged by what it let in would never learn what it turns away.
type Arrivals struct {
	PromptTokensPerSec float64 // that no cache holds
	OutputTokensPerSec float64 // estimated from finished answers
	Age                time.Duration
}

// Queues is the work that waits, at entries and engines.
type Queues struct {
	PromptTokens float64
	OutputTokens float64
}

// Rates are what one engine of a role serves when it is busy, measured.
type Rates struct {
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64
}

// Change is one order to an engine.
type Change struct {
	Engine string
	From   Role
	To     Role
	Reason Reason
}

// Reason explains a change in figures, for the log.
type Reason struct {
	Pool          string
	PrefillDemand float64 // engines' worth of work, forecast
	DecodeDemand  float64
	PrefillReady  int
	DecodeReady   int
	Gain          float64 // engine seconds
	Loss          float64
	Price         float64
	Running       int  // streams that drain first
	Empty         bool // the role had no engine left, so the price was not asked
}

// String returns key=value pairs.
func (r Reason) String() string {
	return fmt.Sprintf("pool=%s prefill_demand=%.2f decode_demand=%.2f prefill_ready=%d decode_ready=%d gain_s=%.1f loss_s=%.1f price_s=%.1f running=%d empty=%t",
		r.Pool, r.PrefillDemand, r.DecodeDemand, r.PrefillReady, r.DecodeReady, r.Gain, r.Loss, r.Price, r.Running, r.Empty)
}
