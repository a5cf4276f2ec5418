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

// commitTarget is the share of commits whose outcome has to be known. The sheet
// has objectives for classes of completions only; an unknown commit makes
// somebody look at the service by hand, so that one in a thousand is much.
const commitTarget = 0.999

// account wraps the backend and keeps the service-level account and the counts
// of answers.
type account struct {
	callerapi.Backend
	clk      clock.Clock
	burn     *burn.Recorder
	refusals *refusals

	mu      sync.Mutex
	results map[result]uint64
}

// result is one kind of answer.
type result struct {
	code code.Code
	run  code.Run
}

func newAccount(b callerapi.Backend, clk clock.Clock) *account {
	r, err := burn.NewRecorder(nil)
	if err != nil {
		panic("entry: no objectives are always valid: " + err.Error())
	}
	return &account{Backend: b, clk: clk, burn: r, refusals: newRefusals(), results: map[result]uint64{}}
}

// follow takes over the objectives of a sheet.
func (a *account) follow(s *sheet.Sheet) {
	var list []burn.Objective
	for _, c := range s.Classes {
		list = append(list,
			burn.Objective{Class: c.Name, Signal: burn.FirstToken, Target: c.Objective, Limit: c.FirstToken.D()},
			burn.Objective{Class: c.Name, Signal: burn.BetweenTokens, Target: c.Objective, Limit: c.BetweenTokens.D()},
			burn.Objective{Class: c.Name, Signal: burn.OnTime, Target: c.Objective},
		)
	}
	for _, v := range s.Services {
		list = append(list, burn.Objective{Class: v.Name, Signal: burn.Commits, Target: commitTarget})
	}
	if err := a.burn.Apply(list); err != nil {
		log.WithError(err).Warn("objectives of the sheet not taken over")
	}
}

// Generate implements callerapi.Backend.
func (a *account) Generate(ctx context.Context, g *callerapi.Generate, out callerapi.Sink) error {
	began := a.clk.Now()
	timed := &timedSink{Sink: out, a: a, class: g.Class, began: began}
	err := a.Backend.Generate(ctx, g, timed)
	now := a.clk.Now()
	a.count(err)
	if err != nil {
		a.refusals.log(&g.Caller, g.Class, err)
	}
	switch {
	case err == nil:
		a.burn.Answer(now, g.Class, ctx.Err() == nil, now.Sub(began))
	case callersFault(err):
	case code.Of(err).Run == code.NotRun:
		a.burn.Refused(now, g.Class)
	default:
		a.burn.Answer(now, g.Class, false, now.Sub(began))
	}
	return err
}

// Call implements callerapi.Backend.
func (a *account) Call(ctx context.Context, c *callerapi.Call) (callerapi.Reply, error) {
	reply, err := a.Backend.Call(ctx, c)
	a.count(err)
	if err != nil {
		a.refusals.log(&c.Caller, c.Service+"/"+c.Operation, err)
	}
	if c.Key != "" && (err == nil || !callersFault(err)) {
		known := err == nil || code.Of(err).Run != code.Unknown
		a.burn.Commit(a.clk.Now(), c.Service, known)
	}
	return reply, err
}

func (a *account) count(err error) {
	r := result{code.OK, code.Ran}
	var e *code.Error
	if errors.As(err, &e) {
		r = result{e.Code, e.Run}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results[r]++
}

// Results returns the answers so far by "code/run".
func (a *account) Results() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]uint64, len(a.results))
	for r, n := range a.results {
		out[r.code.String()+"/"+string(r.run)] = n
	}
	return out
}

// timedSink records when tokens go to the caller.
type timedSink struct {
	callerapi.Sink
	a       *account
	class   string
	began   clock.Time
	last    clock.Time
	flushed bool // since the last token
}

// Token implements callerapi.Sink. Tokens of one write leave together, so that
// the clock, a system call, is read once for them.
func (s *timedSink) Token(t driver.Token) error {
	switch {
	case s.last == 0:
		s.last = s.a.clk.Now()
		s.a.burn.FirstToken(s.last, s.class, s.last.Sub(s.began))
	case s.flushed:
		now := s.a.clk.Now()
		s.a.burn.BetweenTokens(now, s.class, max(now.Sub(s.last), time.Nanosecond))
		s.last = now
	default:
		s.a.burn.BetweenTokens(s.last, s.class, time.Nanosecond)
	}
	s.flushed = false
	return s.Sink.Token(t)
}

// Flush implements callerapi.Sink.
func (s *timedSink) Flush() error {
	s.flushed = true
	return s.Sink.Flush()
}
