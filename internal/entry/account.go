package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/burn"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/sheet"
)

// commitOutcomeTarget is the objective for the share of commits that end with a known outcome. The
// sheet has objectives for classes of completions only. Operators have to check each commit of
// unknown outcome at the service by hand, so that even one in a thousand is too many.
const commitOutcomeTarget = 0.999

// instrumentedBackend wraps a backend. It records service-level indicators, counts answers by
// result, and logs refusals.
type instrumentedBackend struct {
	callerapi.Backend
	clk      clock.Clock
	burn     *burn.Recorder
	refusals *refusalLogger

	mu      sync.Mutex
	results map[result]uint64
}

// result is a kind of answer: its code and whether the request was executed.
type result struct {
	code code.Code
	run  code.Run
}

func newInstrumentedBackend(b callerapi.Backend, clk clock.Clock) *instrumentedBackend {
	r, err := burn.NewRecorder(nil)
	if err != nil {
		panic("entry: an empty list of objectives was rejected: " + err.Error())
	}
	return &instrumentedBackend{Backend: b, clk: clk, burn: r, refusals: newRefusalLogger(), results: map[result]uint64{}}
}

// setObjectives applies the objectives of a sheet.
func (b *instrumentedBackend) setObjectives(s *sheet.Sheet) {
	var list []burn.Objective
	for _, c := range s.Classes {
		list = append(list,
			burn.Objective{Class: c.Name, Signal: burn.FirstToken, Target: c.Objective, Limit: c.FirstToken.D()},
			burn.Objective{Class: c.Name, Signal: burn.BetweenTokens, Target: c.Objective, Limit: c.BetweenTokens.D()},
			burn.Objective{Class: c.Name, Signal: burn.OnTime, Target: c.Objective},
		)
	}
	for _, v := range s.Services {
		list = append(list, burn.Objective{Class: v.Name, Signal: burn.Commits, Target: commitOutcomeTarget})
	}
	if err := b.burn.SetObjectives(list); err != nil {
		log.WithError(err).Warn("cannot apply the objectives of the sheet")
	}
}

// Generate implements callerapi.Backend.
func (b *instrumentedBackend) Generate(ctx context.Context, g *callerapi.Generate, out callerapi.Sink) error {
	startedAt := b.clk.Now()
	timed := &timedSink{Sink: out, b: b, class: g.Class, startedAt: startedAt}
	err := b.Backend.Generate(ctx, g, timed)
	now := b.clk.Now()
	b.count(err)
	if err != nil {
		b.refusals.log(&g.Caller, g.Class, err)
	}
	switch {
	case err == nil:
		b.burn.RecordAnswer(now, g.Class, ctx.Err() == nil, now.Sub(startedAt))
	case isCallerFault(err):
	case code.Of(err).Run == code.NotRun:
		b.burn.RecordRefused(now, g.Class)
	default:
		b.burn.RecordAnswer(now, g.Class, false, now.Sub(startedAt))
	}
	return err
}

// Call implements callerapi.Backend.
func (b *instrumentedBackend) Call(ctx context.Context, c *callerapi.Call) (callerapi.Reply, error) {
	reply, err := b.Backend.Call(ctx, c)
	b.count(err)
	if err != nil {
		b.refusals.log(&c.Caller, c.Service+"/"+c.Operation, err)
	}
	if c.Key != "" && (err == nil || !isCallerFault(err)) {
		outcomeKnown := err == nil || code.Of(err).Run != code.Unknown
		b.burn.RecordCommit(b.clk.Now(), c.Service, outcomeKnown)
	}
	return reply, err
}

func (b *instrumentedBackend) count(err error) {
	r := result{code.OK, code.Ran}
	var e *code.Error
	if errors.As(err, &e) {
		r = result{e.Code, e.Run}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results[r]++
}

// Results returns the counts of answers since the start by "code/run".
func (b *instrumentedBackend) Results() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]uint64, len(b.results))
	for r, n := range b.results {
		out[r.code.String()+"/"+string(r.run)] = n
	}
	return out
}

// timedSink records the times of the tokens sent to the caller.
type timedSink struct {
	callerapi.Sink
	b           *instrumentedBackend
	class       string
	startedAt   clock.Time
	lastTokenAt clock.Time
	flushed     bool // since the last token
}

// Token implements callerapi.Sink. It reads the clock, which is a system call, once for all tokens
// that are sent in one write.
func (s *timedSink) Token(t driver.Token) error {
	switch {
	case s.lastTokenAt == 0:
		s.lastTokenAt = s.b.clk.Now()
		s.b.burn.RecordFirstToken(s.lastTokenAt, s.class, s.lastTokenAt.Sub(s.startedAt))
	case s.flushed:
		now := s.b.clk.Now()
		s.b.burn.RecordTokenGap(now, s.class, max(now.Sub(s.lastTokenAt), time.Nanosecond))
		s.lastTokenAt = now
	default:
		s.b.burn.RecordTokenGap(s.lastTokenAt, s.class, time.Nanosecond)
	}
	s.flushed = false
	return s.Sink.Token(t)
}

// Flush implements callerapi.Sink.
func (s *timedSink) Flush() error {
	s.flushed = true
	return s.Sink.Flush()
}
