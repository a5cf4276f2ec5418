package roles

import "time"

// Config is what the sheet and the settings say about one pool.
type Config struct {
	// Self is the name of this control process, as in Engine.Holder.
	Self string
	// ChangeCost is the work in engine seconds that a change has to win beyond what
	// it loses.
	ChangeCost float64
	// MaxChangesPerHour is the ceiling of the pool's changes in an hour; zero forbids
	// changes.
	MaxChangesPerHour int
	// MaxUnavailableShare is the share of the pool that may be away at once, for
	// whatever reason.
	MaxUnavailableShare float64
	// ChangeDuration is how long a change takes an engine away, draining included.
	ChangeDuration time.Duration
	// Guards switches single guards off. Only tests do, to show what a guard
	// prevents.
	Guards Guards
}

// Guards names the guards that are off.
type Guards struct {
	NoSettle bool // act again on reports from before the last change
	NoTurn   bool // act whether or not it is this process's turn
	NoGrace  bool // treat a crash of seconds as an engine lost for good
}

const (
	// PrefillUse is the share of its rate up to which a prefill engine serves
	// on time. Its queue is ordered by priority, so it may run long before
	// callers notice.
	PrefillUse = 0.85

	// DecodeUse is the same of a decode engine. A stream that waits for its
	// place in a batch misses the objective between tokens soon, since a full
	// batch alone takes nine tenths of it.
	DecodeUse = 0.70

	// Payback is how long a change is expected to serve. The mix holds for
	// minutes; a window shorter than that makes no change worth its loss, and
	// a longer one makes each swing of half a minute worth one.
	Payback = 60 * time.Second

	// Warmup is how long an engine that comes back with an empty cache serves
	// little: entries raise its share step by step.
	Warmup = 10 * time.Second

	// MaxPayback bounds it for a shortage that has lasted: mixes turn within
	// minutes.
	MaxPayback = 4 * time.Minute

	// fastWindow and slowWindow are the time constants of the two averages of
	// demand whose difference gives the trend. With some four long prompts
	// a second, ten seconds of arrivals scatter by a sixth; a ramp of two
	// minutes is seen after the slow window.
	fastWindow = 10 * time.Second
	slowWindow = 40 * time.Second

	// Settle is the wait after a change before its effect on the queues can be
	// read: a report is up to two seconds late, one may be lost, and a queue
	// takes some seconds to move.
	Settle = 4 * time.Second

	// OrderTimeout is when an order without visible effect counts as lost.
	OrderTimeout = 15 * time.Second

	// MaxReportAge is the age at which a report says nothing any more: the
	// longest ordinary lag of two seconds and four reports lost.
	MaxReportAge = 5 * time.Second

	// StaleShare is the share of the pool without fresh reports above which the
	// planner holds.
	StaleShare = 1.0 / 3

	// CrashGrace is how long a crash or a drain explains a queue. An engine
	// that restarts is back within half a minute; one that isn't counts as
	// lost, and the rest is split anew.
	CrashGrace = 30 * time.Second

	// backlogWindow is the time in which waiting work should be worked off; it
	// adds to the demand accordingly.
	backlogWindow = 30 * time.Second
)
