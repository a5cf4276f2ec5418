package roles

import (
	"fmt"
	"time"
)

// Role is the part of a request that an engine executes.
type Role int

// The roles. A mixed engine executes both parts; the planner never moves it.
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

// State is the state of an engine.
type State int

// The states of an engine.
const (
	Ready    State = iota
	Changing       // drains for a role change or is executing it
	Draining       // drains for any other planned reason
	Down           // crashed, unreachable or withdrawn
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

// Snapshot is the state of one pool as a control process has it.
type Snapshot struct {
	Pool     string
	Engines  []Engine
	Arrivals Arrivals
	Queues   Queues
	Rates    Rates
	// ChangesLastHour is the count of the pool's role changes in the folded
	// log. With zero the planner counts only the changes that it has observed.
	ChangesLastHour int
}

// Engine is one engine of the pool.
type Engine struct {
	Name   string
	Holder string // the control process that holds the claim to order changes on it
	Role   Role
	State  State
	// Running counts streams, Queued waiting requests, and CachedBlocks the
	// blocks of prefix cache that a change would lose.
	Running      int
	Queued       int
	CachedBlocks int
	// ReportAge is the time since the newest report was measured, negative if
	// there is no report.
	ReportAge time.Duration
}

// Arrivals is the load that callers offer, including refused requests: with the
// admitted load alone, the planner would not see the demand that the present
// split refuses.
type Arrivals struct {
	PromptTokensPerSec float64 // without tokens that are in a cache
	OutputTokensPerSec float64 // estimated from finished answers
	Age                time.Duration
}

// Queues is the work queued at entries and engines.
type Queues struct {
	PromptTokens float64
	OutputTokens float64
}

// Rates are the measured throughputs of one busy engine of each role.
type Rates struct {
	PrefillTokensPerSec float64
	DecodeTokensPerSec  float64
}

// Change is an order to an engine to change its role.
type Change struct {
	Engine string
	From   Role
	To     Role
	Reason Reason
}

// Reason holds the figures that justify a change, for the log.
type Reason struct {
	Pool          string
	PrefillDemand float64 // forecast, in engines
	DecodeDemand  float64
	PrefillReady  int
	DecodeReady   int
	Gain          float64 // engine seconds, as Loss and ChangeCost
	Loss          float64
	ChangeCost    float64
	Running       int  // streams that drain first
	EmptyRole     bool // the role had no ready engine, so the cost was ignored
}

// String returns key=value pairs.
func (r Reason) String() string {
	return fmt.Sprintf("pool=%s prefill_demand=%.2f decode_demand=%.2f prefill_ready=%d decode_ready=%d gain_s=%.1f loss_s=%.1f price_s=%.1f running=%d empty=%t",
		r.Pool, r.PrefillDemand, r.DecodeDemand, r.PrefillReady, r.DecodeReady, r.Gain, r.Loss, r.ChangeCost, r.Running, r.EmptyRole)
}
