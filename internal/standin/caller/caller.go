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
	maxIdleConns = 512
	retryPause   = 50 * time.Millisecond // before another address is tried
	minLeft      = 5 * time.Millisecond  // less is not worth a request
)

// caller runs the mix.
type caller struct {
	cfg     *Config
	client  *http.Client
	callers []*addresses
	start   time.Time
	table   *table
}

// Run sends the mix and returns what callers saw. It ends with the run's time,
// its count, or ctx, and then waits for the answers that are still due.
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
		c.callers = append(c.callers, &addresses{
			entries: cfg.Entries, client: c.client, next: i, header: http.Header{},
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
	gap := time.Duration(float64(time.Second) / c.cfg.Rate)
	for n := 0; c.cfg.Requests == 0 || n < c.cfg.Requests; n++ {
		due := time.Duration(n) * gap
		if due >= c.cfg.For || !sleepUntil(ctx, c.start.Add(due)) {
			return
		}
		r := c.cfg.request(n, due)
		wg.Go(func() { c.table.add(r, c.ask(context.WithoutCancel(ctx), n, r)) })
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

// result is how one request ended for its caller.
type result struct {
	err     error // nil: whole and right
	took    time.Duration
	times   streamTimes
	returns int // times it came back after a refusal
	resends int // times it was sent again after a cut
	// notRun says that the system told so of every try.
	notRun bool
}

// ask sends the request until it has an answer that stands.
func (c *caller) ask(ctx context.Context, n int, r *request) result {
	begun := time.Now()
	deadline := begun.Add(c.cfg.deadline(r.kind))
	from := c.callers[n%len(c.callers)]
	res := result{notRun: true}
	for {
		res.times, res.err = c.try(ctx, from, r, begun, deadline, &res)
		res.took = time.Since(begun)
		pause, ok := c.again(&res)
		if !ok || time.Now().Add(pause+minLeft).After(deadline) {
			if res.err != nil {
				log.WithFields(log.Fields{
					"event": "not-whole", "request": r.id, "kind": c.cfg.kindName(r.kind),
				}).WithError(res.err).Debug("caller")
			}
			return res
		}
		time.Sleep(pause)
	}
}

func (c *caller) try(ctx context.Context, from *addresses, r *request, begun, deadline time.Time, res *result) (streamTimes, error) {
	address, err := from.get(ctx)
	if err != nil {
		return streamTimes{}, errors.Join(errUnreachable, err)
	}
	times, err := c.send(ctx, address, r, begun, time.Until(deadline))
	if errors.Is(err, errUnreachable) || errors.Is(err, errCut) {
		from.drop(address)
	}
	var ref *refusal
	told := errors.As(err, &ref) && ref.Run == string(code.NotRun)
	if !told && !errors.Is(err, errUnreachable) {
		res.notRun = false
	}
	return times, err
}

// again decides whether the caller asks again, and after which pause.
func (c *caller) again(res *result) (time.Duration, bool) {
	var ref *refusal
	switch {
	case errors.Is(res.err, errUnreachable):
		return retryPause, true
	case errors.Is(res.err, errCut) && c.cfg.Resend:
		res.resends++
		return retryPause, true
	case errors.As(res.err, &ref):
		if !c.cfg.Return || ref.Run != string(code.NotRun) || ref.RetryAfterMS <= 0 {
			return 0, false
		}
		res.returns++
		return time.Duration(ref.RetryAfterMS) * time.Millisecond, true
	}
	return 0, false
}
