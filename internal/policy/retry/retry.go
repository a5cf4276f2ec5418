// Package retry decides whether a failed attempt is retried, within a retry budget.
//
// Load pattern: when endpoints fail or are full, the requests of all callers fail at once. Retrying
// all of them multiplies the load on the remaining endpoints, whose answers then become late and
// are retried as well. This retry storm keeps the fleet overloaded long after its cause is gone.
//
// Approach: retries are limited to a share of the successes, per pool and per caller. An attempt is
// not retried if it may have run and isn't idempotent, or if a retry can't end before the deadline.
//
// A Policy is safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

const (
	// defaultRatio lets retries add a tenth to the load: a pool that has lost a tenth of its
	// endpoints loses no request, and one that has lost all of them gets 1.1 times its usual
	// load rather than a multiple.
	defaultRatio = 0.1
	// defaultBurst is the number of retries that a pool may make at once after a long time
	// without any: as many as one lost engine had streams.
	defaultBurst = 50.0
	// defaultCallerBurst keeps one caller from spending the whole budget of a pool.
	defaultCallerBurst = 10.0
	// defaultMaxTries includes the first attempt.
	defaultMaxTries = 3
	// defaultBackoff is the mean delay before the third attempt; the second one is sent to
	// another endpoint at once.
	defaultBackoff = 25 * time.Millisecond
	// notRunCost is the budget cost of retrying an attempt that no endpoint has received or
	// run. It has cost the endpoints nothing, so that the retry is their only load.
	notRunCost = 0.1
	// maxCallers bounds the number of callers whose budgets are kept.
	maxCallers = 10_000
)

// Config configures a Policy. Zero fields take the defaults.
type Config struct {
	Ratio       float64       // retries earned per success
	Burst       float64       // maximum number of retries saved up by a pool
	CallerBurst float64       // maximum number of retries saved up by a caller
	MaxTries    int           // attempts per request, including the first
	Backoff     time.Duration // mean delay before the third attempt
	HedgeRatio  float64       // hedges earned per success; zero disables hedging
	NoBudget    bool          // disables the budget, for comparison
}

func (c Config) withDefaults() Config {
	if c.Ratio == 0 {
		c.Ratio = defaultRatio
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	if c.CallerBurst == 0 {
		c.CallerBurst = defaultCallerBurst
	}
	if c.MaxTries == 0 {
		c.MaxTries = defaultMaxTries
	}
	if c.Backoff == 0 {
		c.Backoff = defaultBackoff
	}
	return c
}

// Attempt describes an attempt that failed, or one for which a hedge is considered.
type Attempt struct {
	Pool             string
	Caller           string
	Idempotent       bool
	Tries            int           // attempts made so far, including this one
	Deadline         clock.Time    // of the request
	ExpectedDuration time.Duration // of another attempt
	Err              *code.Error   // of the attempt; its Run says whether the attempt has run, as far as that is known
}

// Decision says whether and when to retry. If Retry is false, Err is the final answer to the
// request.
type Decision struct {
	Retry bool
	Delay time.Duration // before the retry
	Err   *code.Error
}

// Policy makes the retry decisions of one entry.
type Policy struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	pools   map[string]*budget
	callers map[string]*budget
	stats   Stats
}

// Stats are the counters that a Policy exports through expvar.
type Stats struct {
	Retries, Hedges             int64
	OverBudget, TooLate, Unsafe int64
	OutOfTries, Final           int64
}

// New returns a Policy whose budgets are full. The seed determines the jitter.
func New(cfg Config, seed uint64) *Policy {
	return &Policy{
		cfg:     cfg.withDefaults(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		pools:   map[string]*budget{},
		callers: map[string]*budget{},
	}
}

// RecordSuccess adds to the retry budgets of the pool and the caller.
func (p *Policy) RecordSuccess(pool, caller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(pool).earn(p.cfg)
	p.caller(caller).earn(p.cfg)
}

// DecideRetry decides whether to retry the failed attempt a. A retry is charged to the budgets of the
// pool and the caller.
func (p *Policy) DecideRetry(now clock.Time, a Attempt) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !a.Err.Code.Info().Retryable:
		p.stats.Final++
		return Decision{Err: a.Err}
	case a.Err.Run == code.Ran, a.Err.Run == code.Unknown && !a.Idempotent:
		// Running a non-idempotent request twice is worse than not answering it.
		p.stats.Unsafe++
		return Decision{Err: a.Err}
	case a.Tries >= p.cfg.MaxTries:
		p.stats.OutOfTries++
		return Decision{Err: a.Err}
	}
	delay := p.backoff(a.Tries)
	if now.Add(delay+a.ExpectedDuration) > a.Deadline {
		p.stats.TooLate++
		return Decision{Err: code.Wrap(code.DeadlineInfeasible, a.Err, "another try needs %s, has %s",
			delay+a.ExpectedDuration, a.Deadline.Sub(now)).WithRun(a.Err.Run)}
	}
	if !p.spendBudget(a) {
		p.stats.OverBudget++
		return Decision{Err: code.Wrap(code.RetryBudgetSpent, a.Err, "repeats are limited to %.0f%% of successes",
			100*p.cfg.Ratio).WithRun(a.Err.Run).WithRetryAfter(a.Err.RetryAfter)}
	}
	p.stats.Retries++
	return Decision{Retry: true, Delay: delay}
}

// AllowHedge reports whether a second attempt may be sent while the first one is running, and takes
// a hedge from the budget of the pool. Hedging is disabled unless HedgeRatio is set: a hedge costs a
// whole prefill, and it hides the slowness that outlier ejection measures.
func (p *Policy) AllowHedge(a Attempt) bool {
	if p.cfg.HedgeRatio == 0 || !a.Idempotent || a.Tries > 1 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.pool(a.Pool)
	if b.hedgeTokens < 1 {
		return false
	}
	b.hedgeTokens--
	p.stats.Hedges++
	return true
}

// Snapshot returns a copy of the counters.
func (p *Policy) Snapshot() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// backoff returns the delay after the given number of attempts: zero before the second attempt, then
// an exponential delay whose jitter spreads the retries of requests that failed together at one
// endpoint.
func (p *Policy) backoff(tries int) time.Duration {
	if tries < 2 {
		return 0
	}
	mean := p.cfg.Backoff << (tries - 2)
	return mean/2 + time.Duration(p.rng.Int64N(int64(mean)))
}

func (p *Policy) spendBudget(a Attempt) bool {
	if p.cfg.NoBudget {
		return true
	}
	cost := 1.0
	if a.Err.Run == code.NotRun {
		cost = notRunCost
	}
	pool, caller := p.pool(a.Pool), p.caller(a.Caller)
	if pool.tokens < cost || caller.tokens < cost {
		return false
	}
	pool.tokens -= cost
	caller.tokens -= cost
	return true
}

// budget is a token bucket that is refilled by successes.
type budget struct {
	tokens, maxTokens float64
	hedgeTokens       float64
}

func (b *budget) earn(c Config) {
	b.tokens = min(b.tokens+c.Ratio, b.maxTokens)
	b.hedgeTokens = min(b.hedgeTokens+c.HedgeRatio, 1)
}

func (p *Policy) pool(name string) *budget {
	b := p.pools[name]
	if b == nil {
		b = &budget{tokens: p.cfg.Burst, maxTokens: p.cfg.Burst}
		p.pools[name] = b
	}
	return b
}

func (p *Policy) caller(name string) *budget {
	b := p.callers[name]
	if b == nil {
		if len(p.callers) >= maxCallers {
			// Evicted callers start with a full budget again; the budget of the pool
			// still limits them.
			clear(p.callers)
		}
		b = &budget{tokens: p.cfg.CallerBurst, maxTokens: p.cfg.CallerBurst}
		p.callers[name] = b
	}
	return b
}
