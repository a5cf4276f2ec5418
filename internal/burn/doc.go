// Package burn tells how fast the fleet spends its error budgets.
//
// An objective says which share of one class's events has to be good: first
// tokens and gaps between tokens within a limit, whole answers on time, commits
// with a known outcome. The burn rate over a window is the share of bad events
// over the share that the objective allows; at 1 the budget is spent just as
// fast as it accrues. Two windows together decide an alert: the longer one shows
// that enough was spent to matter, the shorter one that it still goes on.
//
// Each entry records into bounded memory and reports on request. Merge adds the
// reports of all VMs, and keeps the VMs that did not answer in sight: a fleet
// that seems well because its sick part is silent is the report's own failure.
// A VM that restarts begins with empty windows, so on a day of many restarts the
// long window rests on fewer events than were served; the burn rate, a share,
// is hardly moved by it, and counts of events are not to be read as traffic.
// All times in a report are ages, so that no two VMs' clocks are compared.
package burn
