// Package route chooses the endpoint for each request.
//
// Load pattern: prompts share long prefixes that engines keep in limited
// caches; load reports are late, several entries read the same ones, and the
// prompt-to-output mix swings within minutes. Without this package:
//
//   - sent to the least loaded engine by the last report, the requests of all
//     entries meet on the engine that was idle a moment ago, and the next
//     report moves them all on to another (NoOwnCounts, NoTwoChoices);
//   - sent in turn, each engine prefills each prefix again, and long prompts
//     queue up behind one another while other engines idle (RoundRobin);
//   - sent by prefix alone, the engine of one hot prefix is overloaded
//     (NoBound);
//   - an endpoint that answers errors fast looks idle and draws the pool's
//     traffic (NoErrorCost, NoEjection), and a common fault ejects a whole
//     pool (NoMaxOut);
//   - several entries fill every queue that looked empty in the last report,
//     and requests wait where admission can no longer refuse them (NoAhead).
//
// The choice is the lowest estimated time to the first token among few
// candidates: the two engines that rendezvous hashing prefers for the prompt's
// first pieces, unless their load is over a bound, one in turn and one drawn
// at random.
// The estimate is the queued prefill and the slots taken, from the newest
// report and what this entry sent since it was taken; plus the prefill of what
// is not believed to be cached; corrected by the endpoint's measured slowness
// and error rate and the distance of its availability zone. The grounds for
// the figures stand with the constants.
//
// What one entry has outstanding is bounded by windows that follow the waits
// it measures itself, and an engine's streams by their measured time between
// tokens.
//
// What is known of an endpoint takes 20 kB, so an entry's table should hold
// its own cell (CellOf) and no others once there are several. A Table is built
// by the control goroutine and published through an atomic pointer. Traffic
// goroutines share counters by atomics; a decision takes no lock and allocates
// nothing.
package route
