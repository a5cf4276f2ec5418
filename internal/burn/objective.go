package burn

import (
	"errors"
	"fmt"
	"time"
)

// Signal is what an objective counts.
type Signal string

// The signals.
const (
	// FirstToken is the wait from arrival to the first token.
	FirstToken Signal = "first-token"
	// BetweenTokens is each gap between two tokens of an answer.
	BetweenTokens Signal = "between-tokens"
	// OnTime is whole answers by their deadline. Refused requests count as bad.
	OnTime Signal = "on-time"
	// Commits is non-idempotent requests that ended with a known outcome.
	Commits Signal = "commits"
)

// Objective is the share of good events that one class is promised.
type Objective struct {
	Class  string
	Signal Signal
	Target float64       // share of good events, above 0 and below 1
	Limit  time.Duration // of FirstToken and BetweenTokens
}

// ErrObjective marks an objective that can't be kept account of.
var ErrObjective = errors.New("bad objective")

func (o Objective) check() error {
	switch o.Signal {
	case FirstToken, BetweenTokens:
		if o.Limit <= 0 {
			return fmt.Errorf("%w: %s %s has no limit", ErrObjective, o.Class, o.Signal)
		}
	case OnTime, Commits:
	default:
		return fmt.Errorf("%w: %s has unknown signal %q", ErrObjective, o.Class, o.Signal)
	}
	if o.Target <= 0 || o.Target >= 1 {
		return fmt.Errorf("%w: %s %s has target %v, want above 0 and below 1", ErrObjective, o.Class, o.Signal, o.Target)
	}
	return nil
}

// The windows and alert thresholds. An objective of 95 in 100 can't burn faster
// than 20, so the usual thresholds for a monthly 99.9 would never fire.
const (
	// ShortWindow ends an alert soon after its cause.
	ShortWindow = 5 * time.Minute
	// MiddleWindow confirms a fast burn, and shows whether a slow one goes on.
	MiddleWindow = time.Hour
	// LongWindow confirms a slow burn.
	LongWindow = 6 * time.Hour

	// FastRate spends a day's budget in four hours.
	FastRate = 6.0
	// SlowRate spends a day's budget in half a day.
	SlowRate = 2.0
)

// Windows lists the windows from short to long.
func Windows() [3]time.Duration { return [...]time.Duration{ShortWindow, MiddleWindow, LongWindow} }

// State grades an objective.
type State string

// The states, best last.
const (
	Fast   State = "BURNING FAST"
	Slow   State = "BURNING"
	Over   State = "OVER BUDGET" // the last minutes spend faster than accrues
	Silent State = "NO TRAFFIC"
	Kept   State = "OK"
)

// grade applies the thresholds to the counts of the three windows.
func grade(target float64, w [3]Count) State {
	rate := [3]float64{}
	for i := range w {
		rate[i] = w[i].Rate(target)
	}
	switch {
	case w[2].total() == 0:
		return Silent
	case rate[0] > FastRate && rate[1] > FastRate:
		return Fast
	case rate[1] > SlowRate && rate[2] > SlowRate:
		return Slow
	case rate[0] > 1:
		return Over
	}
	return Kept
}
