package route

import (
	"time"

	"fescuestand/internal/policy/limit"
)

// The defaults of Config and the reasons for them.
const (
	// defaultPieceTokens is the size of one block of an engine's prefix cache.
	defaultPieceTokens = 2000
	// defaultCrossZoneCost is one round trip between availability zones at 1.5 ms one way: the
	// request crosses once and its first token once.
	defaultCrossZoneCost = 3 * time.Millisecond
	// defaultMaxReportAge is the age above which a load report is less accurate than this entry's
	// own counts. Reports come every half second with up to two seconds of lag, so a report is up
	// to two and a half seconds old before the next one arrives, and one report may be lost.
	defaultMaxReportAge = 4 * time.Second
	// defaultOvercommit is the ratio of requests to slots up to which an engine is sent work.
	// Admission can't reorder or refuse requests that wait at the engine, but a few must wait there
	// to cover the report lag.
	defaultOvercommit = 1.05
	// defaultTargetPrefillWait is the wait for prefill at an engine that the prefill window aims
	// for. With a shorter one, engines idle between the requests of several entries, and long
	// prompts are refused below capacity. With a longer one, prompts miss their first-token target
	// under overload. Of 0.6, 1.5, 2.5 and 3.5 s this value gave the most on-time answers over
	// loads of 0.9 and 3 times the capacity together.
	defaultTargetPrefillWait = 2500 * time.Millisecond
	// defaultTargetUrgentPrefillWait is the same for urgent requests: one step of a long prompt's
	// prefill, which can't be interrupted, plus a margin.
	defaultTargetUrgentPrefillWait = 375 * time.Millisecond
	// defaultLoadBound is the ratio to the mean load up to which an engine stays preferred for its
	// prefixes. 1.25 is a common choice for consistent hashing with bounded loads: it keeps most of
	// the affinity, and no engine's queue exceeds the mean by more than a quarter.
	defaultLoadBound = 1.25
	// defaultAffinityCredit is the share of the prefill time of uncached tokens that is subtracted
	// from the score of the preferred engine, because later requests with the same prefix will save
	// it.
	defaultAffinityCredit = 0.5
	// defaultSlowFactor is the ratio to the peers' median latency above which an endpoint is
	// ejected. Healthy pools stay below a ratio of two.
	defaultSlowFactor = 3.0
	// defaultMaxErrorRate is the error rate from which an endpoint is ejected.
	defaultMaxErrorRate = 0.5
	// defaultErrorCost is added to an endpoint's score in proportion to its error rate. It is the
	// time that a retry on another endpoint costs the caller.
	defaultErrorCost = time.Second
	// defaultMaxEjectedShare is the share of a pool that may be ejected at once: one of three plain
	// services, four of twelve engines, or one zone of three.
	defaultMaxEjectedShare = 0.34
	// defaultBaseEjectionTime is the length of the first ejection; each further one doubles it. An
	// ejection that is mistaken or outlasts its cause costs the pool an engine, while a probe of a
	// bad engine costs a few callers a retry. Of base and maximum times of 5 and 60, 5 and 20, 3
	// and 10, and 2 and 5 s, shorter ones lost fewer answers.
	defaultBaseEjectionTime = 3 * time.Second
	// defaultMaxEjectionTime bounds the doubling. A plain service that fails its commits is probed
	// with real commits, so probes must not come every few seconds.
	defaultMaxEjectionTime = 15 * time.Second
	// defaultSlowStart is the time over which the share of a returning endpoint grows from a tenth
	// to its full share, because its caches are cold.
	defaultSlowStart = 5 * time.Second
	// defaultStuckTimeout is part of the time without progress after which an endpoint with
	// requests in flight is ejected (see firstTokenTimeout). It exceeds five times the first-token
	// target.
	defaultStuckTimeout = 2 * time.Second
	// defaultKVBandwidth is the bandwidth of a KV cache transfer in bytes per second: 10 Gbit/s.
	defaultKVBandwidth     = 1.25e9
	defaultKVBytesPerToken = 128 << 10
	// defaultKVTransferOverhead is the fixed time of exporting and importing a KV cache.
	defaultKVTransferOverhead = 5 * time.Millisecond
)

// Guards disables single mechanisms, so that tests and benchmarks can show the effect of each.
type Guards struct {
	NoTwoChoices      bool // scan all endpoints for the lowest score instead of comparing two choices
	NoLocalCounts     bool // use load reports without this entry's own counts
	NoEjection        bool
	NoErrorCost       bool
	NoMaxEjectedShare bool
	NoSlowStart       bool
	NoLoadBound       bool
	NoAffinity        bool
	NoPrefillWindow   bool // send regardless of the queue at the engine
	NoGapReset        bool // keep the cache view after a gap in cache events
	NoSlownessPenalty bool // don't raise the scores of slow endpoints
	RoundRobin        bool // choose in round-robin order, as a baseline
}

// Config configures a Router. Zero fields take the defaults.
type Config struct {
	Zone                    string // this entry's availability zone
	Entries                 int    // number of entries that share the endpoints
	Cells                   int
	PieceTokens             int
	CrossZoneCost           time.Duration
	MaxReportAge            time.Duration
	Overcommit              float64
	TargetPrefillWait       time.Duration
	TargetUrgentPrefillWait time.Duration
	BetweenTokensObjective  time.Duration // zero for none
	StrictRoles             bool          // engines in role Decode never prefill
	LoadBound               float64
	AffinityCredit          float64
	SlowFactor              float64
	MaxErrorRate            float64
	ErrorCost               time.Duration
	MaxEjectedShare         float64
	BaseEjectionTime        time.Duration
	MaxEjectionTime         time.Duration
	SlowStart               time.Duration
	StuckTimeout            time.Duration
	KVBandwidth             float64 // bytes per second
	KVBytesPerToken         int
	KVTransferOverhead      time.Duration
	Limit                   limit.Config // of this entry's concurrency at one endpoint
	Disabled                Guards
}

func (c Config) withDefaults() Config {
	orInt(&c.Entries, 1)
	orInt(&c.Cells, 1)
	orInt(&c.PieceTokens, defaultPieceTokens)
	orDuration(&c.CrossZoneCost, defaultCrossZoneCost)
	orDuration(&c.MaxReportAge, defaultMaxReportAge)
	orFloat(&c.Overcommit, defaultOvercommit)
	orDuration(&c.TargetPrefillWait, defaultTargetPrefillWait)
	orDuration(&c.TargetUrgentPrefillWait, defaultTargetUrgentPrefillWait)
	orFloat(&c.LoadBound, defaultLoadBound)
	orFloat(&c.AffinityCredit, defaultAffinityCredit)
	orFloat(&c.SlowFactor, defaultSlowFactor)
	orFloat(&c.MaxErrorRate, defaultMaxErrorRate)
	orDuration(&c.ErrorCost, defaultErrorCost)
	orFloat(&c.MaxEjectedShare, defaultMaxEjectedShare)
	orDuration(&c.BaseEjectionTime, defaultBaseEjectionTime)
	orDuration(&c.MaxEjectionTime, defaultMaxEjectionTime)
	orDuration(&c.SlowStart, defaultSlowStart)
	orDuration(&c.StuckTimeout, defaultStuckTimeout)
	orFloat(&c.KVBandwidth, defaultKVBandwidth)
	orInt(&c.KVBytesPerToken, defaultKVBytesPerToken)
	orDuration(&c.KVTransferOverhead, defaultKVTransferOverhead)
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
