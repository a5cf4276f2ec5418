// Package admit decides, for one pool at one entry, which requests are taken,
// who waits, who is refused and who is dropped from the queue.
//
// Load pattern: no engine can be added for a peak, and long prompts give way
// to short questions and back within minutes. Without this package:
//
//   - a first-in-first-out queue under overload grows until every request
//     that is served is already late, and goodput falls to nothing although
//     the engines are busy (NoFeasibility, NoShedding);
//   - one caller's burst fills the queue and all others wait behind it
//     (NoFairness); many requests for one key do the same (NoKeyLimit);
//   - long prompts hold all slots for seconds, and commits and short questions
//     miss their deadlines behind them (NoPriority, NoLongShare);
//   - refused callers who are told the same time come back as one burst
//     (NoSpread).
//
// A request's cost is its time in a slot: uncached prompt tokens at the
// measured prefill rate and the class's measured output length at the measured
// decode rate. A request is refused at once if its flow's backlog, at the
// flow's share of the slots, leaves it too little time. What was taken is
// ordered by strict priority, then by start-time fair queueing over classes,
// workspaces and callers; it is dropped as soon as it can't end in time. The
// grounds for the figures stand with the constants.
package admit
