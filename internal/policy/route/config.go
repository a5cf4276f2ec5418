package route

import (
	"time"

	"fescuestand/internal/policy/limit"
)

// The defaults and their grounds.
const (
	// defaultPieceTokens is the size of one piece of an engine's prefix cache.
	defaultPieceTokens = 2000
	// defaultZoneCost is one round trip between availability zones (1.5 ms
	// one way), paid by the request and again by its first token.
	defaultZoneCost = 3 * time.Millisecond
	// defaultStale is the age from which a load report says less than this
	// entry's own counts. Reports that come each half second with up to two
	// seconds of lag are two and a half seconds old before the next; one may
	// be lost.
	defaultStale = 4 * time.Second
	// defaultOvercommit is the share of an engine's slots up to which it is
	// sent work. Requests that wait at the engine are out of reach of
	// admission, but a few must wait there to cover the lag.
	defaultOvercommit = 1.05
	// defaultAhead is the wait for prefill at an engine that this entry's
	// window is kept at. Shorter, engines idle between the sends of several
	// entries and long prompts are refused below capacity; longer, they miss
	// their first token under overload. Of 0.6, 1.5, 2.5 and 3.5 s this gave
	// the most on-time answers at 0.9 and at 3 times the capacity together.
	defaultAhead = 2500 * time.Millisecond
	// defaultUrgentAhead is the same for urgent requests: one step of a
	// long prompt's prefill, which can't be interrupted, and some more.
	defaultUrgentAhead = 375 * time.Millisecond
	// defaultBound is the load over the mean up to which an engine keeps
	// being preferred for its prefixes. 1.25 is the usual choice for hashing
	// with bounded loads: it keeps most of the affinity, and no engine's
	// queue is more than a quarter over the others'.
	defaultBound = 1.25
	// defaultCredit is the share of a cold prompt's prefill time by which its
	// preferred engine is favoured, as the requests that follow will save it.
	defaultCredit = 0.5
	// defaultSlowFactor ejects an endpoint that takes three times its pool's
	// median: the spread within healthy pools stays below two.
	defaultSlowFactor = 3.0
	// defaultErrorRate ejects an endpoint that fails half of its requests.
	defaultErrorRate = 0.5
	// defaultErrorCost is added to an endpoint's score in proportion to its
	// error rate: the time that a retry elsewhere costs the caller.
	defaultErrorCost = time.Second
	// defaultMaxOut is the share of a pool that may be ejected at once: one
	// of three plain services, four of twelve engines, one zone of three.
	defaultMaxOut = 0.34
	// defaultEject is the first ejection's length; each next one doubles. A
	// mistaken or outlived ejection costs the pool an engine, a probe of a
	// bad one costs a few callers a retry: of first and longest 5 and 60, 5
	// and 20, 3 and 10, 2 and 5 s, the shorter lost fewer answers.
	defaultEject = 3 * time.Second
	// defaultEjectMax bounds the doubling. A plain service that fails its
	// commits is probed with them, so it isn't probed every few seconds.
	defaultEjectMax = 15 * time.Second
	// defaultRamp is the time in which a returning endpoint's share grows
	// from a tenth to the whole; its caches are cold.
	defaultRamp = 5 * time.Second
	// defaultStuck ejects an endpoint that has requests in flight but has
	// shown no progress: over five times the first-token target.
	defaultStuck = 2 * time.Second
	// defaultKVBandwidth is the rate of a KV transfer in bytes a second:
	// 10 Gbit/s.
	defaultKVBandwidth = 1.25e9
	// defaultKVBytes is the KV cache size of one token.
	defaultKVBytes = 128 << 10
	// defaultKVSetup is the fixed time of an export and an import.
	defaultKVSetup = 5 * time.Millisecond
)

// Guards switches single protections off, so that tests and measurements can
// show what each is for.
type Guards struct {
	NoTwoChoices  bool // scan for the lowest reported load instead
	NoOwnCounts   bool // trust load reports alone
	NoEjection    bool
	NoErrorCost   bool
	NoMaxOut      bool
	NoRamp        bool
	NoBound       bool
	NoAffinity    bool
	NoPrefillWindow       bool // send whatever the engine's queue
	NoGapRebuild  bool // keep believing cache contents after a gap in events
	NoSlownessPenalty bool // ignore measured slowness between ejections
	RoundRobin    bool // the plain baseline
}

// Config sets a Router. Zero fields take the defaults.
type Config struct {
	Zone          string // this entry's availability zone
	Entries       int    // how many entries share the endpoints
	Cells         int
	PieceTokens   int
	ZoneCost      time.Duration
	Stale         time.Duration
	Overcommit    float64
	Ahead         time.Duration
	UrgentAhead   time.Duration
	BetweenTokensObjective time.Duration // objective, zero for none
	StrictRoles   bool          // an engine in role Decode never prefills
	Bound         float64
	Credit        float64
	SlowFactor    float64
	ErrorRate     float64
	ErrorCost     time.Duration
	MaxOut        float64
	Eject         time.Duration
	EjectMax      time.Duration
	Ramp          time.Duration
	StuckTimeout         time.Duration
	KVBandwidth   float64 // bytes a second
	KVBytesPerToken       int     // of one token
	KVTransferOverhead       time.Duration
	Limit         limit.Config // of this entry's requests at one endpoint
	Disabled           Guards
}

func (c Config) withDefaults() Config {
	orInt(&c.Entries, 1)
	orInt(&c.Cells, 1)
	orInt(&c.PieceTokens, defaultPieceTokens)
	orDuration(&c.ZoneCost, defaultZoneCost)
	orDuration(&c.Stale, defaultStale)
	orFloat(&c.Overcommit, defaultOvercommit)
	orDuration(&c.Ahead, defaultAhead)
	orDuration(&c.UrgentAhead, defaultUrgentAhead)
	orFloat(&c.Bound, defaultBound)
	orFloat(&c.Credit, defaultCredit)
	orFloat(&c.SlowFactor, defaultSlowFactor)
	orFloat(&c.ErrorRate, defaultErrorRate)
	orDuration(&c.ErrorCost, defaultErrorCost)
	orFloat(&c.MaxOut, defaultMaxOut)
	orDuration(&c.Eject, defaultEject)
	orDuration(&c.EjectMax, defaultEjectMax)
	orDuration(&c.Ramp, defaultRamp)
	orDuration(&c.StuckTimeout, defaultStuck)
	orFloat(&c.KVBandwidth, defaultKVBandwidth)
	orInt(&c.KVBytesPerToken, defaultKVBytes)
	orDuration(&c.KVTransferOverhead, defaultKVSetup)
	return c
}

func orInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}

func orFloat(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

func orDuration(p *time.Duration, v time.Duration) {
	if *p == 0 {
		*p = v
	}
}
