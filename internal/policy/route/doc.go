// Package route chooses the endpoint for each request.
//
// Load pattern: prompts share long prefixes, which engines keep in limited prefix caches. Load
// reports arrive late, several entries read the same reports, and the mix of prompt and output
// lengths changes within minutes. Simpler policies fail as follows; the names in parentheses are
// the Guards that disable the remedy:
//
//   - Least loaded by the last report: the requests of all entries herd to the engine that was idle
//     a moment ago, and the next report moves them all to another (NoLocalCounts, NoTwoChoices).
//   - Round robin: each engine prefills each prefix again, and long prompts queue behind one another
//     while other engines idle (RoundRobin).
//   - Hashing by prefix alone: the engine of one hot prefix is overloaded (NoLoadBound).
//   - No outlier ejection: an endpoint that returns errors quickly looks idle and attracts the
//     pool's traffic (NoErrorCost, NoEjection). Without a limit on ejections, a common fault ejects
//     a whole pool (NoMaxEjectedShare).
//   - No bound on outstanding prefill: several entries fill every queue that was empty in the last
//     report, and requests wait where admission can no longer refuse them (NoPrefillWindow).
//
// Approach: Pick chooses the lowest estimated time to the first token among a few candidates. These
// are the two engines that rendezvous hashing prefers for the prompt's first cache blocks, unless
// their load exceeds a bound; one engine in round-robin order; and one random engine. The estimate
// adds up the queued prefill and occupied slots, from the newest report and what this entry sent
// since, and the prefill of the tokens estimated not to be cached. Penalties account for the
// endpoint's measured slowness, its error rate and a remote availability zone. The reasons for the
// parameters are documented with the constants.
//
// An entry's outstanding prefill is bounded by windows that follow the waits it measures. An
// engine's streams are bounded by their measured time between tokens.
//
// Cache blocks are called pieces in identifiers and on the wire.
//
// Memory: the state of one endpoint takes 20 kB, so in a deployment with several cells an entry's
// table should hold only the entry's own cell (see CellOf).
//
// Concurrency: a control goroutine builds each Table and publishes it through an atomic pointer.
// Traffic goroutines share counters by atomics; a decision takes no lock and allocates nothing.
package route
