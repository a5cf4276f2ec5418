package commit

import (
	"cmp"
	"time"

	"fescuestand/internal/clock"
)

// The defaults of Options.
const (
	// DefaultDispatchWithin is how long after the start of its append an intent may be dispatched.
	// It covers a group commit of the log and the read back (tens of milliseconds) with a margin
	// for a slow log. A caller without an answer for longer than this retries.
	DefaultDispatchWithin = 2 * time.Second
	// DefaultVoidTimeout is how long a caller waits for a void to reach the log before its request
	// is answered unknown.
	DefaultVoidTimeout = time.Second
	// DefaultRunningTimeout is how long after its intent was read a key without an outcome counts
	// as running. It is longer than the longest deadline of a plain service call. After it the
	// writer is assumed to have failed, and the execution is unknown.
	DefaultRunningTimeout = 30 * time.Second
	// DefaultReplayTimeout is how long a retry waits for the outcome of the first use while that is
	// running. It is longer than a service's usual answer and two appends.
	DefaultReplayTimeout = 5 * time.Second
	// DefaultOutcomeDelay lets an outcome be appended together with the next intents instead of in
	// an append of its own. Only a retry waits for the outcome record.
	DefaultOutcomeDelay = 50 * time.Millisecond
	// DefaultLogBackoff is the delay between attempts to append an outcome or a void while the log
	// is down.
	DefaultLogBackoff = 200 * time.Millisecond
	// DefaultLogRetryAfter is the Retry-After delay of refusals while the log is down: the interval
	// of a log client's health checks.
	DefaultLogRetryAfter = time.Second
	// DefaultMaxPending bounds the number of commits of one process that wait for the log or for
	// their service. At 16 KiB each they take 32 MiB.
	DefaultMaxPending = 2048
	// DefaultMaxOutcomeBytes bounds the answer recorded with an outcome. A longer answer is
	// returned to its own caller only; a retry only gets the information that the commit ran.
	DefaultMaxOutcomeBytes = 64 << 10
	// RetentionMargin is added to the retention that the key window needs: the time that a node
	// takes at startup to read the whole stream.
	RetentionMargin = time.Minute
)

// Options configures a Committer. Zero fields get their defaults.
type Options struct {
	Clock  clock.Clock
	Writer string // incarnation ID of this process, unique per start

	DispatchWithin  time.Duration
	VoidTimeout     time.Duration
	RunningTimeout  time.Duration
	ReplayTimeout   time.Duration
	OutcomeDelay    time.Duration
	LogBackoff      time.Duration
	LogRetryAfter   time.Duration
	MaxPending      int
	MaxOutcomeBytes int

	// Window returns the commit window of the sheet.
	Window func() time.Duration
	// MaxWindow caps the commit window; see WindowFor.
	MaxWindow time.Duration

	disabled guards
}

// guards has a flag for each guard. Tests set it in Options.disabled to show that the guard is
// needed; the comments say what the committer then does.
type guards struct {
	readBack        bool // dispatch immediately after the append, without the fold's verdict
	timeLimit       bool // dispatch any time after the append
	voidFirst       bool // answer not-run before the void is in the log
	cutIsUnknown    bool // treat a cut dispatch as not executed
	window          bool // run keys of any age
	resendIsUnknown bool // answer not-run to a refused retry
}

// WindowFor returns the longest commit window that a log with this retention supports. While a key
// may still be dispatched, none of its records may expire, even on a node that starts now and reads
// the stream from its oldest offset.
func WindowFor(retention time.Duration) time.Duration {
	return retention - MaxClockSkew - RetentionMargin
}

func (o *Options) setDefaults() {
	o.DispatchWithin = cmp.Or(o.DispatchWithin, DefaultDispatchWithin)
	o.VoidTimeout = cmp.Or(o.VoidTimeout, DefaultVoidTimeout)
	o.RunningTimeout = cmp.Or(o.RunningTimeout, DefaultRunningTimeout)
	o.ReplayTimeout = cmp.Or(o.ReplayTimeout, DefaultReplayTimeout)
	o.OutcomeDelay = cmp.Or(o.OutcomeDelay, DefaultOutcomeDelay)
	o.LogBackoff = cmp.Or(o.LogBackoff, DefaultLogBackoff)
	o.LogRetryAfter = cmp.Or(o.LogRetryAfter, DefaultLogRetryAfter)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxOutcomeBytes = cmp.Or(o.MaxOutcomeBytes, DefaultMaxOutcomeBytes)
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}
