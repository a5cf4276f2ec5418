// Package admit implements admission control for one pool at one entry. It decides which requests are
// queued, refused or dropped from the queue, and in which order they are dispatched.
//
// Load pattern: no engine can be added for a peak, and the mix shifts from long prompts to short
// questions and back within minutes. Without this package (in parentheses the Guards that disable the
// protection):
//
//   - under overload, a first-in-first-out queue grows until every request that is served is late, and
//     goodput falls to zero although the engines are busy (NoFeasibility, NoShedding);
//   - one caller's burst fills the queue and delays all other callers (NoFairness), and so do many
//     requests for one key (NoKeyLimit);
//   - long prompts occupy all slots for seconds, so that commits and short questions behind them miss
//     their deadlines (NoPriority, NoLongShare);
//   - refused callers that all get the same Retry-After delay retry in one burst (NoSpread).
//
// Approach: the cost of a request is its time in a slot, estimated from the uncached prompt tokens at
// the measured prefill rate and from the class's measured output length at the measured decode rate. A
// request is refused at once if the backlog of its flow, at the flow's share of the slots, leaves too
// little time before the deadline. Queued requests are ordered by strict priority, then by start-time
// fair queueing over classes, workspaces and callers. A queued request is dropped as soon as it can't
// end before its deadline. The constants state the reasons for their values.
package admit
