package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	goleak.VerifyTestMain(m)
}

// withBudget returns the default retry policy.
func withBudget() *retry.Policy { return retry.New(retry.Config{}, 1) }

// withoutBudget returns the same policy with the retry budget disabled.
func withoutBudget() *retry.Policy {
	return retry.New(retry.Config{NoBudget: true, MaxTries: maxAttempts}, 1)
}

// startDispatcher runs a Dispatcher over n engines and n service endpoints that follow one script.
func startDispatcher(t *testing.T, s *script, n int, p *retry.Policy) *Dispatcher {
	t.Helper()
	return startDispatcherAt(t, clock.Boot{}, s, n, p)
}

func startDispatcherAt(t *testing.T, clk clock.Clock, s *script, n int, p *retry.Policy) *Dispatcher {
	t.Helper()
	scripts.Store(t.Name(), s)
	sh := &sheet.Sheet{
		Classes:  []sheet.Class{{Name: "c"}},
		Services: []sheet.Service{{Name: "svc", Driver: "fake"}},
		Pools:    []sheet.Pool{{Name: "p", Model: "m", Version: "1"}},
	}
	for i := range n {
		name := fmt.Sprint("e", i)
		role := driver.RoleMixed
		if s.prefillers > 0 {
			role = driver.RoleDecode
		}
		if i < s.prefillers {
			role = driver.RolePrefill
		}
		sh.Engines = append(sh.Engines, sheet.Engine{
			Name: name, Driver: "fake", Address: t.Name(), Options: map[string]string{"name": name, "role": string(role)},
		})
		sh.Pools[0].Engines = append(sh.Pools[0].Engines, name)
		sh.Services[0].Endpoints = append(sh.Services[0].Endpoints,
			sheet.ServiceEndpoint{Name: fmt.Sprint("s", i), Address: t.Name()})
	}
	f := fleet.New(route.Config{StrictRoles: s.prefillers > 0}, clk, 1)
	d := New(Options{
		Fleet: f, Clock: clk, Writer: "w", Retries: p, Suspects: suspect.NewRegister(),
		ExchangeEvidence: func(context.Context) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.Run(ctx) })
	wg.Go(func() { _ = d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	f.SetSheet(ctx, sh, 1)
	for len(f.Router().Table().Endpoints()) < 2*n {
		time.Sleep(time.Millisecond)
	}
	return d
}

// sink collects a stream's text and the attempts that it came from, in order.
type sink struct {
	text     string
	attempts []string
}

func (s *sink) Token(t driver.Token) error {
	s.text += string(t.Text)
	if n := len(s.attempts); n == 0 || s.attempts[n-1] != t.Attempt {
		s.attempts = append(s.attempts, t.Attempt)
	}
	return nil
}
func (s *sink) Flush() error { return nil }

func generate(d *Dispatcher, tokens int, timeout time.Duration) (string, error) {
	out, err := generateTo(d, tokens, timeout)
	return out.text, err
}

func generateTo(d *Dispatcher, tokens int, timeout time.Duration) (*sink, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out := &sink{}
	err := d.Generate(ctx, &callerapi.Generate{
		Caller: callerapi.Caller{Deadline: time.Now().Add(timeout), Name: "caller"},
		Model:  "m", Prompt: []byte("x"), MaxTokens: tokens, Class: "c",
	}, out)
	return out, err
}

// Guards against a stream being cut when its engines' connections break repeatedly. Each attempt's
// connection breaks after two tokens; the stream must resume on another engine each time and be
// complete in the end.
func TestStreamResumesAfterRepeatedBreaks(t *testing.T) {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return driver.ErrConnectionLost, nil }}
	d := startDispatcher(t, s, 3, withBudget())
	text, err := generate(d, 10, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 3 4 5 6 7 8 9 ")
}

// Guards against a stream that hangs with its engine. The engine, such as on a frozen machine,
// stops sending tokens without closing its connection; the stream must resume on another engine.
func TestStalledStreamResumesOnAnotherEngine(t *testing.T) {
	s := &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
		if n == 1 {
			return errHang, nil
		}
		return nil, nil
	}}
	d := startDispatcher(t, s, 2, withBudget())
	text, err := generate(d, 4, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 3 ")
}

// Guards against a retry storm. Every engine fails every request, for example after bad weights
// were deployed; the retries must stay within a tenth of the requests, so that they don't multiply
// the load on the engines that are left.
func TestRetriesStayWithinBudget(t *testing.T) {
	attempts := attemptsOfFailingRequests(t, withBudget())
	assert.Assert(t, attempts <= failingRequests+callerBurst, "%d attempts for %d requests", attempts, failingRequests)
}

// The same test with the retry budget disabled.
func TestRetriesWithoutBudget(t *testing.T) {
	attempts := attemptsOfFailingRequests(t, withoutBudget())
	assert.Assert(t, attempts > 5*failingRequests, "%d attempts for %d requests", attempts, failingRequests)
}

const (
	failingRequests = 40
	callerBurst     = 10 // retries that the policy lets one caller save up
)

// attemptsOfFailingRequests returns the number of attempts that engines receive for requests that
// all fail.
func attemptsOfFailingRequests(t *testing.T, p *retry.Policy) int64 {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return nil, driver.ErrConnectionLost }}
	d := startDispatcher(t, s, 3, p)
	var wg sync.WaitGroup
	for range failingRequests {
		wg.Go(func() {
			_, err := generate(d, 3, 5*time.Second)
			assert.Check(t, code.Of(err).Run == code.Unknown, "%v", err)
		})
	}
	wg.Wait()
	return s.attempts.Load()
}

// The execution state in a caller's error must match how far the work got, or callers would repeat
// work that ran or give up work that didn't.
func TestErrorStatesWhetherWorkRan(t *testing.T) {
	tests := []struct {
		name   string
		end    error
		refuse error
		code   code.Code
		run    code.Run
	}{
		{"refused", nil, driver.ErrRefused, code.EndpointRefused, code.NotRun},
		{"not sent", nil, driver.ErrNotSent, code.EndpointRefused, code.NotRun},
		{"cut", nil, driver.ErrConnectionLost, code.EndpointCut, code.Unknown},
		{"cut before the answer", nil, fmt.Errorf("%w: %w", driver.ErrConnectionLost, io.EOF), code.EndpointCut, code.Unknown},
		{"failed", nil, driver.ErrFailed, code.EndpointFailed, code.Ran},
		{"silent", errHang, nil, code.DeadlineMissed, code.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return tt.end, tt.refuse }}
			d := startDispatcher(t, s, 1, withBudget())
			_, err := generate(d, 9, 1500*time.Millisecond)
			assert.Equal(t, code.Of(err).Code, tt.code, "%v", err)
			assert.Equal(t, code.Of(err).Run, tt.run)
		})
	}
}

// Guards against a commit being executed twice. An idempotent call may be retried on another
// endpoint after any failure, a commit only if no endpoint can have received it.
func TestOnlyLookupsAreRetriedAfterACut(t *testing.T) {
	failFirst := func(firstErr error) *script {
		return &script{call: func(n int64) ([]byte, error) {
			if n == 1 {
				return nil, firstErr
			}
			return []byte("ok"), nil
		}}
	}
	call := &callerapi.Call{Service: "svc", Operation: "op"}
	s := failFirst(driver.ErrConnectionLost)
	d := startDispatcher(t, s, 2, withBudget())
	body, err := d.Lookup(context.Background(), call)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")

	permit := func() error { return nil }
	for _, firstErr := range []error{driver.ErrNotSent, driver.ErrRefused} {
		s.attempts.Store(0)
		s.call = failFirst(firstErr).call
		body, err = d.Dispatch(context.Background(), &commit.Call{Service: "svc"}, permit)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
	for _, firstErr := range []error{driver.ErrConnectionLost, driver.ErrFailed, driver.ErrBadAnswer} {
		s.attempts.Store(0)
		s.call = failFirst(firstErr).call
		_, err = d.Dispatch(context.Background(), &commit.Call{Service: "svc"}, permit)
		assert.ErrorIs(t, err, firstErr)
		assert.Equal(t, s.attempts.Load(), int64(1))
	}
}

// Guards against a request that the end of the VM's shutdown takes for one whose caller has left, and a lookup that panics
// as it isn't retried then.
func TestRequestsEndedByAShutdownAreRefusedAsLeaving(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	s := &script{call: func(int64) ([]byte, error) {
		cancel(code.New(code.Leaving, "the shutdown ends"))
		return nil, driver.ErrConnectionLost
	}}
	d := startDispatcher(t, s, 2, withBudget())
	_, err := d.Lookup(ctx, &callerapi.Call{Service: "svc", Operation: "op"})
	assert.Equal(t, code.Of(err).Code, code.Leaving)
	assert.Equal(t, code.Of(err).Run, code.Unknown)
	waiting := contextEndError(ctx)
	assert.Equal(t, waiting.Code, code.Leaving)
	assert.Equal(t, waiting.Run, code.NotRun)
}

// Guards against a commit that runs twice: a service sends its refusal again, late, when the commit has come back to it,
// and only the id of the attempt tells that answer from the one that is due.
func TestEachCallOfACommitIsAnAttemptOfItsOwn(t *testing.T) {
	seen := map[string]bool{}
	s := &script{
		call: func(int64) ([]byte, error) { return nil, driver.ErrRefused },
		onCall: func(c *driver.Call) {
			assert.Check(t, !seen[c.Attempt], "attempt %q again", c.Attempt)
			seen[c.Attempt] = true
		},
	}
	d := startDispatcher(t, s, 1, withBudget())
	_, err := d.Dispatch(t.Context(), &commit.Call{Service: "svc", Attempt: "w.1"}, func() error { return nil })
	assert.ErrorIs(t, err, driver.ErrRefused)
	assert.Assert(t, len(seen) > 1)
	assert.Assert(t, seen["w.1"])
}

// Guards against the answer to a lookup that is taken for that of a commit: the process numbers both, and gave them the
// same ids.
func TestLookupsAndCommitsShareNoAttempt(t *testing.T) {
	seen := map[string]bool{}
	s := &script{
		call: func(int64) ([]byte, error) { return nil, nil },
		onCall: func(c *driver.Call) {
			assert.Check(t, !seen[c.Attempt], "attempt %q again", c.Attempt)
			seen[c.Attempt] = true
		},
	}
	d := startDispatcher(t, s, 1, withBudget())
	_, err := d.Dispatch(t.Context(), &commit.Call{Service: "svc", Attempt: "w.1"}, func() error { return nil })
	assert.NilError(t, err)
	_, err = d.Lookup(t.Context(), &callerapi.Call{Service: "svc", Operation: "op"})
	assert.NilError(t, err)
	assert.Equal(t, len(seen), 2)
}

// Before a control process changes an engine, it asks what is in flight there. If the answer is
// none, no request that chose the engine earlier may still reach it; otherwise the change would
// interrupt it. A newer control process must be able to reopen the engine after the first one died,
// and stale directives must not.
func TestDirectiveClosesTheEngine(t *testing.T) {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return nil, nil }}
	d := startDispatcher(t, s, 1, withBudget())
	ctx := context.Background()
	drain := &wire.Directive{Engine: "e0", Fence: 2, Seq: 1, Phase: wire.Phase_PHASE_DRAIN}
	assert.Equal(t, d.fleet.ApplyDirective(ctx, drain), 0)
	_, ok := d.fleet.Engine("e0").Acquire()
	assert.Assert(t, !ok)
	_, err := generate(d, 3, time.Second)
	assert.Equal(t, code.Of(err).Code, code.NoEndpoint, "%v", err)
	assert.Equal(t, code.Of(err).Run, code.NotRun)
	for _, stale := range []*wire.Directive{
		{Engine: "e0", Fence: 1, Seq: 7, Phase: wire.Phase_PHASE_OPEN},
		{Engine: "e0", Fence: 2, Seq: 0, Phase: wire.Phase_PHASE_OPEN},
	} {
		d.fleet.ApplyDirective(ctx, stale)
		_, ok = d.fleet.Engine("e0").Acquire()
		assert.Assert(t, !ok, "opened by %v", stale)
	}
	d.fleet.ApplyDirective(ctx, &wire.Directive{Engine: "e0", Fence: 3, Seq: 1, Phase: wire.Phase_PHASE_OPEN})
	text, err := generate(d, 3, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 ")
}
