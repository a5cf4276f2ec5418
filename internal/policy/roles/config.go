package roles

import "time"

// Config is the configuration of one pool, from the sheet and the settings.
type Config struct {
	// Self is the name of this control process, as in Engine.Holder.
	Self string
	// ChangeCost is the work in engine seconds by which the gain of a change has
	// to exceed its loss.
	ChangeCost float64
	// MaxChangesPerHour limits the changes of the pool in an hour; zero forbids
	// changes.
	MaxChangesPerHour int
	// MaxUnavailableShare is the share of the pool that may be unavailable at
	// once, for whatever reason.
	MaxUnavailableShare float64
	// ChangeDuration is how long an engine is unavailable during a change,
	// draining included.
	ChangeDuration time.Duration
	// Disabled disables single guards. Only tests set it, to show what a guard
	// prevents.
	Disabled Guards
}

// Guards selects the guards to disable.
type Guards struct {
	NoSettleTime        bool // also act on reports from before the last change
	NoDesignatedPlanner bool // act even if another process is the designated planner
	NoCrashGrace        bool // treat a crash of seconds as a permanent loss of the engine
}

const (
	// MaxPrefillUtilization is the share of its rate up to which a prefill
	// engine serves on time. Its queue is ordered by priority, so it may grow
	// long before callers notice.
	MaxPrefillUtilization = 0.85

	// MaxDecodeUtilization is the same for a decode engine. It is lower because
	// a full batch alone takes nine tenths of the objective between tokens, so
	// that a stream that waits for its place in a batch soon misses it.
	MaxDecodeUtilization = 0.70

	// PaybackWindow is how long a change is expected to be of use. The mix
	// holds for minutes: with a shorter window no change outweighs its loss,
	// and with a longer one each swing of half a minute justifies a change.
	PaybackWindow = 60 * time.Second

	// Warmup is how long an engine that returns with an empty cache serves
	// little: entries raise its share step by step.
	Warmup = 10 * time.Second

	// MaxPaybackWindow bounds the payback window of a shortage that has lasted,
	// since the mix may shift back within minutes.
	MaxPaybackWindow = 4 * time.Minute

	// fastWindow and slowWindow are the time constants of the two averages of
	// demand whose difference gives the trend. With about four long prompts a
	// second, the arrivals of ten seconds scatter by a sixth; a ramp of two
	// minutes is detected after the slow window.
	fastWindow = 10 * time.Second
	slowWindow = 40 * time.Second

	// SettleTime is how long after a change its effect on the queues appears in
	// the reports: a report is up to two seconds late, one may be lost, and a
	// queue takes some seconds to change.
	SettleTime = 4 * time.Second

	// OrderTimeout is when an order without visible effect counts as lost.
	OrderTimeout = 15 * time.Second

	// MaxReportAge is the age above which a report is ignored: the longest
	// usual lag of two seconds and four lost reports.
	MaxReportAge = 5 * time.Second

	// MaxStaleShare is the share of the pool without fresh reports above which
	// the planner orders no change.
	MaxStaleShare = 1.0 / 3

	// CrashGrace is how long a crash or a drain counts as the cause of a queue.
	// An engine that restarts is back within half a minute; one that isn't
	// counts as lost, and the remaining engines are split again.
	CrashGrace = 30 * time.Second

	// backlogWindow is the time in which queued work should be completed; it
	// adds to the demand accordingly.
	backlogWindow = 30 * time.Second
)
