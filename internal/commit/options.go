package commit

import (
	"cmp"
	"time"

	"fescuestand/internal/clock"
)

// The defaults of Options.
const (
	// DefaultDispatchWithin is how long after the start of its append an intent
	// may be dispatched. It covers a group commit of the log and its read back
	// (tens of milliseconds) with room for a slow log; a caller who hears
	// nothing for longer resends.
	DefaultDispatchWithin = 2 * time.Second
	// DefaultVoidWait is how long a caller waits for a void to reach the log
	// before it is told unknown.
	DefaultVoidWait = time.Second
	// DefaultRunningFor is how long after its intent was read a key without an
	// outcome counts as running. It is above the longest deadline of a plain
	// service call; after it the writer is taken for dead: unknown.
	DefaultRunningFor = 30 * time.Second
	// DefaultReplayWait is how long a resend waits for the outcome of a first
	// use that is under way: above a service's usual answer and two appends.
	DefaultReplayWait = 5 * time.Second
	// DefaultOutcomeDelay lets an outcome travel with the next intents instead
	// of taking an append of its own: nobody waits for it but a resend.
	DefaultOutcomeDelay = 50 * time.Millisecond
	// DefaultLogBackoff is the pause between two tries to record an outcome or
	// a void while the log is down.
	DefaultLogBackoff = 200 * time.Millisecond
	// DefaultLogRetry is when a caller should come back after a refusal for a
	// log that is down: one health check of a log client.
	DefaultLogRetry = time.Second
	// DefaultMaxPending bounds the commits of one process that wait for the
	// log or for their service: at 16 KiB each it is 32 MiB.
	DefaultMaxPending = 2048
	// DefaultMaxOutcome bounds the answer kept with an outcome. A longer one
	// reaches its own caller only.
	DefaultMaxOutcome = 64 << 10
	// RetentionMargin is added to the retention that the key window needs: the time
	// that a node takes to read the whole stream at its start.
	RetentionMargin = time.Minute
)

// Options configures a Committer. Zero fields get their defaults.
type Options struct {
	Clock  clock.Clock
	Writer string // incarnation id of this process, unique per start

	DispatchWithin time.Duration
	VoidWait       time.Duration
	RunningFor     time.Duration
	ReplayWait     time.Duration
	OutcomeDelay   time.Duration
	LogBackoff     time.Duration
	LogRetry       time.Duration
	MaxPending     int
	MaxOutcome     int

	// Window returns the sheet's commit window.
	Window func() time.Duration
	// MaxWindow caps it: see WindowFor.
	MaxWindow time.Duration

	off guardsOff
}

// guardsOff switches single guards off, so that a test shows what each is for.
type guardsOff struct {
	readBack  bool // dispatch right after the append, without the fold's verdict
	timeLimit bool // dispatch however late
	voidFirst bool // say not run before the void is in the log
	retryCut  bool // treat a cut dispatch as not sent
	window    bool // run keys of any age
	resend    bool // believe the fold also for a caller that sent the key before
}

// WindowFor returns the longest commit window that a log with this retention
// can bear: while a key may still be dispatched, no record of it may expire,
// also on a node that starts now and reads the stream from its oldest offset.
func WindowFor(retention time.Duration) time.Duration {
	return retention - MaxClockSkew - RetentionMargin
}

func (o *Options) setDefaults() {
	o.DispatchWithin = cmp.Or(o.DispatchWithin, DefaultDispatchWithin)
	o.VoidWait = cmp.Or(o.VoidWait, DefaultVoidWait)
	o.RunningFor = cmp.Or(o.RunningFor, DefaultRunningFor)
	o.ReplayWait = cmp.Or(o.ReplayWait, DefaultReplayWait)
	o.OutcomeDelay = cmp.Or(o.OutcomeDelay, DefaultOutcomeDelay)
	o.LogBackoff = cmp.Or(o.LogBackoff, DefaultLogBackoff)
	o.LogRetry = cmp.Or(o.LogRetry, DefaultLogRetry)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxOutcome = cmp.Or(o.MaxOutcome, DefaultMaxOutcome)
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}
