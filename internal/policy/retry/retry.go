// Package retry decides whether a failed attempt is repeated.
//
// Load pattern: when endpoints fail or are full, every caller's request fails
// at once. Repeating them all multiplies the load on the endpoints that are
// left, whose answers then get late and are repeated in turn: the fleet does
// nothing but repeats, long after the cause is gone. So repeats are a bounded
// share of the successes, per pool and per caller, and nothing is repeated that
// may have run and isn't idempotent, or that can't end before its deadline.
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

// The defaults and their grounds.
const (
	// defaultRatio lets repeats add a tenth to the load: a pool that has lost
	// a tenth of its endpoints loses no request, and one that has lost all
	// sees 1.1 times the usual load rather than a multiple.
	defaultRatio = 0.1
	// defaultBurst is how many repeats a pool may make at once after a long
	// time without any: the streams of one lost engine.
	defaultBurst = 50.0
	// defaultCallerBurst keeps one caller from spending a pool's budget.
	defaultCallerBurst = 10.0
	// defaultMaxTries counts the first one.
	defaultMaxTries = 3
	// defaultBackoff is the mean wait before the third try; the second goes
	// to another endpoint at once.
	defaultBackoff = 25 * time.Millisecond
	// notSentCost is the price of repeating what no endpoint has received:
	// it costs them nothing but the next attempt itself.
	notSentCost = 0.1
	// maxCallers bounds the callers whose budgets are remembered.
	maxCallers = 10_000
)

// Config sets a Policy. Zero fields take the defaults.
type Config struct {
	Ratio       float64 // repeats per success
	Burst       float64 // repeats saved up by a pool
	CallerBurst float64 // repeats saved up by a caller
	MaxTries    int
	Backoff     time.Duration
	HedgeRatio  float64 // hedges per success; zero turns hedging off
	NoBudget    bool    // turns the budget off, for comparison
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

// Attempt is a failed one.
type Attempt struct {
	Pool       string
	Caller     string
	Idempotent bool
	Tries      int           // made so far
	Deadline   clock.Time    // of the request
	ExpectedDuration     time.Duration // that another attempt takes
	Err        *code.Error   // of the attempt; its Run says what is known
}

// Decision says whether to repeat. When Retry is false, Err is the request's
// final answer.
type Decision struct {
	Retry bool
	Delay time.Duration
	Err   *code.Error
}

// Policy decides for one entry.
type Policy struct {
	cfg Config

	mu      sync.Mutex
	rng     *rand.Rand
	pools   map[string]*budget
	callers map[string]*budget
	stats   Stats
}

// Stats are the policy's figures for expvar.
type Stats struct {
	Retries, Hedges             int64
	OverBudget, TooLate, Unsafe int64
	OutOfTries, Final           int64
}

// New returns a policy with full budgets.
func New(cfg Config, seed uint64) *Policy {
	return &Policy{
		cfg:     cfg.withDefaults(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		pools:   map[string]*budget{},
		callers: map[string]*budget{},
	}
}

// RecordSuccess earns budget for the pool and the caller.
func (p *Policy) RecordSuccess(pool, caller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(pool).earn(p.cfg)
	p.caller(caller).earn(p.cfg)
}

// DecideRetry decides whether the attempt is repeated.
func (p *Policy) DecideRetry(now clock.Time, a Attempt) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !a.Err.Code.Info().Again:
		p.stats.Final++
		return Decision{Err: a.Err}
	case a.Err.Run == code.Ran, a.Err.Run == code.Unknown && !a.Idempotent:
		// A second run of an unlock or a commit is worse than no answer.
		p.stats.Unsafe++
		return Decision{Err: a.Err}
	case a.Tries >= p.cfg.MaxTries:
		p.stats.OutOfTries++
		return Decision{Err: a.Err}
	}
	after := p.backoff(a.Tries)
	if now.Add(after+a.ExpectedDuration) > a.Deadline {
		p.stats.TooLate++
		return Decision{Err: code.Wrap(code.DeadlineInfeasible, a.Err, "another try needs %s, has %s",
			after+a.ExpectedDuration, a.Deadline.Sub(now)).WithRun(a.Err.Run)}
	}
	if !p.spend(a) {
		p.stats.OverBudget++
		return Decision{Err: code.Wrap(code.RetryBudgetSpent, a.Err, "repeats are limited to %.0f%% of successes",
			100*p.cfg.Ratio).WithRun(a.Err.Run).WithRetryAfter(a.Err.RetryAfter)}
	}
	p.stats.Retries++
	return Decision{Retry: true, Delay: after}
}

// AllowHedge says whether a second attempt may be sent while the first still runs.
// It is off unless HedgeShare is set: a hedge costs a whole prefill, and the
// slowness it hides is what ejection measures.
func (p *Policy) AllowHedge(a Attempt) bool {
	if p.cfg.HedgeRatio == 0 || !a.Idempotent || a.Tries > 1 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.pool(a.Pool)
	if b.hedges < 1 {
		return false
	}
	b.hedges--
	p.stats.Hedges++
	return true
}

// Snapshot returns the policy's figures.
func (p *Policy) Snapshot() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// backoff is zero before the second try, then doubles, with jitter that keeps
// the requests of one lost endpoint from returning together.
func (p *Policy) backoff(tries int) time.Duration {
	if tries < 2 {
		return 0
	}
	mean := p.cfg.Backoff << (tries - 2)
	return mean/2 + time.Duration(p.rng.Int64N(int64(mean)))
}

func (p *Policy) spend(a Attempt) bool {
	if p.cfg.NoBudget {
		return true
	}
	cost := 1.0
	if a.Err.Run == code.NotRun {
		cost = notSentCost
	}
	pool, caller := p.pool(a.Pool), p.caller(a.Caller)
	if pool.tokens < cost || caller.tokens < cost {
		return false
	}
	pool.tokens -= cost
	caller.tokens -= cost
	return true
}

// budget is a token bucket that successes fill.
type budget struct {
	tokens, most float64
	hedges       float64
}

func (b *budget) earn(c Config) {
	b.tokens = min(b.tokens+c.Ratio, b.most)
	b.hedges = min(b.hedges+c.HedgeRatio, 1)
}

func (p *Policy) pool(name string) *budget {
	b := p.pools[name]
	if b == nil {
		b = &budget{tokens: p.cfg.Burst, most: p.cfg.Burst}
		p.pools[name] = b
	}
	return b
}

func (p *Policy) caller(name string) *budget {
	b := p.callers[name]
	if b == nil {
		if len(p.callers) >= maxCallers {
			// Forgotten callers start with a full budget again; the pool's
			// still holds.
			clear(p.callers)
		}
		b = &budget{tokens: p.cfg.CallerBurst, most: p.cfg.CallerBurst}
		p.callers[name] = b
	}
	return b
}
