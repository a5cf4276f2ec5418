package httpdriver

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

type engine struct{ *client }

var _ driver.Engine = (*engine)(nil)

// State implements driver.Engine.
func (e *engine) State(ctx context.Context) (driver.EngineState, error) {
	var s driver.EngineState
	err := e.get(ctx, httpapi.PathState, nil, &s, "incarnation")
	return s, err
}

// Report implements driver.Engine.
func (e *engine) Report(ctx context.Context) (driver.LoadReport, error) {
	return e.report(ctx)
}

func (c *client) report(ctx context.Context) (driver.LoadReport, error) {
	var r httpapi.Report
	err := c.get(ctx, httpapi.PathReport, nil, &r, "running")
	return r.LoadReport(), err
}

// CacheEvents implements driver.Engine.
func (e *engine) CacheEvents(ctx context.Context, after uint64) ([]driver.CacheEvent, error) {
	var ev httpapi.CacheEvents
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := e.get(ctx, httpapi.PathCacheEvents, q, &ev, "events")
	return ev.Events, err
}

// Prefill implements driver.Engine.
func (e *engine) Prefill(ctx context.Context, req *driver.GenerateRequest) (driver.KVHandle, error) {
	var h driver.KVHandle
	resp, err := e.post(ctx, httpapi.PathPrefill, req.Attempt, generateBody(req), &h, "id")
	if err != nil {
		return driver.KVHandle{}, err
	}
	if got := resp.Header.Get(httpapi.HeaderAttempt); got != req.Attempt {
		return driver.KVHandle{}, wrongAttempt(req.Attempt, got)
	}
	return h, nil
}

// Generate implements driver.Engine.
func (e *engine) Generate(ctx context.Context, req *driver.GenerateRequest) (driver.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.post(ctx, httpapi.PathGenerate, req.Attempt, generateBody(req), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	if got := resp.Header.Get(httpapi.HeaderAttempt); got != req.Attempt {
		cancel()
		_ = resp.Body.Close()
		return nil, wrongAttempt(req.Attempt, got)
	}
	return newTokenStream(req, resp.Body, cancel), nil
}

// Export implements driver.Engine.
func (e *engine) Export(ctx context.Context, attempt string) (driver.KVHandle, error) {
	var h driver.KVHandle
	_, err := e.post(ctx, httpapi.PathExport, attempt, httpapi.Export{Attempt: attempt}, &h, "id")
	return h, err
}

// Order implements driver.Engine.
func (e *engine) Order(ctx context.Context, o driver.Order, permit driver.Permit) error {
	return sendOrder(ctx, e.client, o, permit)
}

func generateBody(req *driver.GenerateRequest) *httpapi.Generate {
	return &httpapi.Generate{
		Attempt:       req.Attempt,
		Model:         req.Model,
		Version:       req.Version,
		Adapter:       req.Adapter,
		Prompt:        req.Prompt,
		MaxTokens:     req.MaxTokens,
		Seed:          req.Seed,
		FirstPosition: req.FirstPosition,
		PriorOutput:   req.PriorOutput,
		Priority:      req.Priority,
		KV:            req.KV,
	}
}

func wrongAttempt(want, got string) error {
	return fmt.Errorf("%w: it is for attempt %q, not %q", driver.ErrBadAnswer, got, want)
}
