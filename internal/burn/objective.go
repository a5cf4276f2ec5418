package burn

import (
	"errors"
	"fmt"
	"time"
)

// Signal is the kind of event that an objective counts.
type Signal string

// The signals.
const (
	// FirstToken is the latency from a request's arrival to the first token.
	FirstToken Signal = "first-token"
	// BetweenTokens is the gap between two successive tokens of an answer; each gap is one event.
	BetweenTokens Signal = "between-tokens"
	// OnTime counts answers that are complete by their deadline as good. Refused requests are bad.
	OnTime Signal = "on-time"
	// Commits counts non-idempotent requests that end with a known outcome as good.
	Commits Signal = "commits"
)

// Objective is a target share of good events for one class and signal.
type Objective struct {
	Class  string
	Signal Signal
	Target float64       // share of good events, above 0 and below 1
	Limit  time.Duration // highest good latency; for FirstToken and BetweenTokens only
}

// ErrObjective is wrapped by the errors for invalid objectives.
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

// The windows and alert thresholds. The burn rate of an objective of 95 in 100 is at most 20, so the
// usual thresholds for a monthly objective of 99.9 would never trigger.
const (
	// ShortWindow clears an alert soon after its cause has ended.
	ShortWindow = 5 * time.Minute
	// MiddleWindow confirms a fast burn, and shows whether a slow burn persists.
	MiddleWindow = time.Hour
	// LongWindow confirms a slow burn.
	LongWindow = 6 * time.Hour

	// FastBurnRate is the rate that spends a day's budget in four hours.
	FastBurnRate = 6.0
	// SlowBurnRate is the rate that spends a day's budget in half a day.
	SlowBurnRate = 2.0
)

// Windows lists the windows from short to long.
func Windows() [3]time.Duration { return [...]time.Duration{ShortWindow, MiddleWindow, LongWindow} }

// State is the alert state of an objective.
type State string

// The states, from worst to best.
const (
	BurningFast State = "BURNING FAST"
	Burning     State = "BURNING"
	OverBudget  State = "OVER BUDGET" // the burn rate of the short window is above 1
	NoTraffic   State = "NO TRAFFIC"
	Met         State = "OK"
)

// grade applies the thresholds to the counts of the three windows.
func grade(target float64, w [3]Count) State {
	rates := [3]float64{}
	for i := range w {
		rates[i] = w[i].BurnRate(target)
	}
	switch {
	case w[2].total() == 0:
		return NoTraffic
	case rates[0] > FastBurnRate && rates[1] > FastBurnRate:
		return BurningFast
	case rates[1] > SlowBurnRate && rates[2] > SlowBurnRate:
		return Burning
	case rates[0] > 1:
		return OverBudget
	}
	return Met
}
