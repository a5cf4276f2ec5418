// Package roles plans how a fixed pool of engines is split between prefill and decode.
//
// Load pattern: the ratio of prompt tokens to output tokens shifts within minutes, so that the
// role that was short of engines has too many of them and the other is overloaded, while no
// engine can be added. A static split that suits the mean of the day serves neither extreme:
// callers of long prompts wait for a first token while decode engines idle, and later streams
// wait for a place in a batch while prefill engines idle.
//
// A role change has a cost. The engine drains, is unavailable for some seconds and returns with
// an empty cache. The planner therefore orders a change only if the work that it gains exceeds
// the work that it loses by more than a cost that the sheet sets for each deployment. In engine
// seconds of work served on time:
//
//	gain  = (served after - served now) * PaybackWindow
//	loss  = (served now - served during the change) * duration of the change
//	order the change if gain - loss > ChangeCost, raised as the hourly limit is used up
//
// The loss also includes the work that the engine itself would have served until its cache is
// warm again. The share of the demand that is served is that of the role with the smaller share,
// since each request needs both roles.
//
// Reports are late, and several control processes plan for the same pool, each with authority
// over a part of its engines. These guards prevent two reactions to the same cause:
//
//   - A queue grows while an engine drains or is down. Additional engines of that role would
//     come too late and be too many once it is back, so the planner waits for it, up to
//     CrashGrace.
//   - A report measured before the last change shows the old queue. The planner waits until
//     every engine has reported after the change, and SettleTime longer.
//   - Two planners see the same shortage. Only the designated process acts, which every process
//     derives from the same claims and roles, and no process acts while it sees a change in
//     flight.
//
// The package does no I/O and reads no clock: the caller passes in time and measurements, and
// receives changes and their reasons.
package roles
