package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
)

const (
	maxIdleConns = 512                   // per address
	retryDelay   = 50 * time.Millisecond // delay before another address is tried
	minRemaining = 5 * time.Millisecond  // with less time before the deadline no request is sent
)

// caller sends the mix of one run.
type caller struct {
	cfg           *Config
	client        *http.Client
	addressCaches []*addressCache
	start         time.Time
	table         *table
}

// Run sends the mix and returns the outcomes. It stops sending after cfg.For or cfg.Requests requests
// or when ctx is done, and then waits for the outstanding answers.
func Run(ctx context.Context, cfg *Config) *Report {
	c := &caller{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		}},
		start: time.Now(),
		table: newTable(cfg),
	}
	for i := range max(1, cfg.Callers) {
		c.addressCaches = append(c.addressCaches, &addressCache{
			entries: cfg.Entries, client: c.client, nextEntry: i, header: http.Header{},
		})
	}
	c.sendMix(ctx)
	c.client.CloseIdleConnections()
	rep := c.table.report(time.Since(c.start))
	c.audit(context.WithoutCancel(ctx), rep)
	return rep
}

func (c *caller) sendMix(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Duration(float64(time.Second) / c.cfg.Rate)
	for n := 0; c.cfg.Requests == 0 || n < c.cfg.Requests; n++ {
		due := time.Duration(n) * interval
		if due >= c.cfg.For || !sleepUntil(ctx, c.start.Add(due)) {
			return
		}
		r := c.cfg.request(n, due)
		wg.Go(func() { c.table.add(r, c.execute(context.WithoutCancel(ctx), n, r)) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// result is the outcome of one request for its caller.
type result struct {
	err     error // nil: complete and correct answer
	took    time.Duration
	times   streamTimes
	retries int // retries after a refusal
	resends int // retries after a cut connection
	// notRun is true if the system reported every attempt as not run.
	notRun bool
}

// execute sends the request, with retries, until it has a final outcome.
func (c *caller) execute(ctx context.Context, n int, r *request) result {
	startedAt := time.Now()
	deadline := startedAt.Add(c.cfg.deadline(r.kind))
	addresses := c.addressCaches[n%len(c.addressCaches)]
	res := result{notRun: true}
	for {
		res.times, res.err = c.attempt(ctx, addresses, r, startedAt, deadline, &res)
		res.took = time.Since(startedAt)
		delay, ok := c.retryAfter(&res)
		if !ok || time.Now().Add(delay+minRemaining).After(deadline) {
			if res.err != nil {
				log.WithFields(log.Fields{
					"event": "not-whole", "request": r.id, "kind": c.cfg.kindName(r.kind),
				}).WithError(res.err).Debug("caller")
			}
			return res
		}
		time.Sleep(delay)
		if time.Until(deadline) < minRemaining {
			return res // the machine was busy: a retry would be cut off by its own deadline
		}
	}
}

// attempt sends the request once. It drops the address from the cache if the VM did not answer.
func (c *caller) attempt(ctx context.Context, addresses *addressCache, r *request, startedAt, deadline time.Time, res *result) (streamTimes, error) {
	address, err := addresses.get(ctx)
	if err != nil {
		return streamTimes{}, errors.Join(errUnreachable, err)
	}
	times, err := c.send(ctx, address, r, startedAt, time.Until(deadline))
	if errors.Is(err, errUnreachable) || errors.Is(err, errCut) {
		addresses.drop(address)
	}
	var ref *refusal
	refusedNotRun := errors.As(err, &ref) && ref.Run == string(code.NotRun)
	if !refusedNotRun && !errors.Is(err, errUnreachable) {
		res.notRun = false
	}
	return times, err
}

// retryAfter decides whether the request is retried, and after which delay.
func (c *caller) retryAfter(res *result) (time.Duration, bool) {
	var ref *refusal
	switch {
	case errors.Is(res.err, errUnreachable):
		return retryDelay, true
	case errors.Is(res.err, errCut) && c.cfg.Resend:
		res.resends++
		return retryDelay, true
	case errors.As(res.err, &ref):
		if !c.cfg.Return || ref.Run != string(code.NotRun) || ref.RetryAfterMS <= 0 {
			return 0, false
		}
		res.retries++
		return time.Duration(ref.RetryAfterMS) * time.Millisecond, true
	}
	return 0, false
}
