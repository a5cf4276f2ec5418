package roles

import "fmt"

// HoldReason is why the planner orders no change.
type HoldReason int

// The reasons to order no change.
const (
	NoHold            HoldReason = iota // changes may be ordered
	HoldNoDemand                        // no arrivals measured yet
	HoldTooFewEngines                   // fewer than two ready engines with a prefill or decode role
	HoldHourlyLimit                     // MaxChangesPerHour is used up
	HoldUnavailable                     // MaxUnavailableShare is used up
	HoldInFlight                        // a change is in flight
	HoldRecentOutage                    // a recent crash or drain explains the queues
	HoldStaleReports                    // too many engines without a fresh report
	HoldSettling                        // the reports don't reflect the last change yet
	HoldLastEngine                      // the other role has one engine left
	HoldChangeCost                      // no change gains more than it costs
	HoldOtherPlanner                    // another process may move the engines
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
