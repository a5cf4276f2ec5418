package roles

import "fmt"

// HoldReason is why the planner leaves the roles as they are.
type HoldReason int

// The reasons to hold.
const (
	Acts          HoldReason = iota // it does not hold
	HoldNoDemand              // no arrivals measured yet
	HoldNoSplit               // fewer than two engines with a role of their own
	HoldCeiling               // the hour's changes are used up
	HoldAway                  // the share that may be away is used up
	HoldInFlight              // a change is under way
	HoldExplained             // a crash or drain explains the queues
	HoldStale                 // too many engines without a fresh report
	HoldSettling              // the last change can't be read from the reports yet
	HoldLast                  // the other role has one engine left
	HoldPrice                 // no change is worth its price
	HoldTurn                  // another process acts
)

var holdNames = [...]string{
	"acts", "no_demand", "no_split", "ceiling", "away", "in_flight",
	"explained", "stale", "settling", "last_engine", "price", "turn",
}

func (h HoldReason) String() string {
	if h < 0 || int(h) >= len(holdNames) {
		return fmt.Sprintf("hold(%d)", int(h))
	}
	return holdNames[h]
}
