// Package burn measures how fast the fleet spends its error budgets.
//
// An objective sets the share of one class's events that must be good: first tokens and gaps between
// tokens within a limit, complete answers on time, commits with a known outcome. The burn rate over a
// window is the share of bad events divided by the share that the objective allows; at a rate of 1
// the budget is spent exactly as fast as it accrues. An alert needs two windows: the longer one shows
// that the spent budget is significant, the shorter one that the problem still persists.
//
// Each entry process records events in bounded memory and reports on request. Merge adds up the
// reports of all VMs and lists the VMs that did not answer. A sum without them would show a healthy
// fleet just when its failing part does not answer.
//
// A VM that restarts begins with empty windows. On a day with many restarts the long window therefore
// covers fewer events than were served. This hardly changes the burn rate, which is a share, but the
// counts of events must not be read as traffic.
//
// All times in a report are ages, so that the clocks of different VMs are never compared.
package burn
