// Package roles splits a fixed pool of engines between prefill and decode.
//
// The load pattern it answers: the prompt-to-output mix shifts within minutes,
// so that the role that was short of engines has too many of them and the other
// is overloaded, while no engine can be added. Without it a split that suits
// the mean of the day serves neither end of the swing: callers of long prompts
// wait for a first token while decode engines idle, and later streams wait for
// a place in a batch while prefill engines idle.
//
// A change is not free. The engine drains, is away for some seconds and comes
// back with an empty cache. So a change has to win more work than it loses by
// a price that the sheet sets for each deployment. The planner weighs, in
// engine seconds of served work:
//
//	gain  = (served after - served now) * Payback
//	loss  = (served now - served while away) * time away
//	move if gain - loss > Price, raised as the hourly ceiling is used up
//
// where the served share of the demand is that of the role that is shortest.
//
// Reports are late, and several control processes plan for the same pool, each
// with orders for a part of its engines. The guards against acting twice on one
// cause:
//
//   - A queue grows while an engine drains or is down. More engines of that role
//     would come too late and be too many once it is back, so the planner waits
//     for it, up to CrashGrace.
//   - A report measured before the last change shows the old queue. The planner
//     waits until every engine has reported after the change, and Settle more.
//   - Two planners see the same shortage. Only the holder whose turn it is acts,
//     which all derive from the same claims and roles, and nobody acts while
//     a change is seen in flight.
//
// The package is pure: time and measurements come in, changes and their reasons
// go out.
package roles
