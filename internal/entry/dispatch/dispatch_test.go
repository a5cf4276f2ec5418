package dispatch

import (
	"context"
	"fmt"
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

func bounded() *retry.Policy { return retry.New(retry.Config{}, 1) }

// unlimited is the twin of the retry budget.
func unlimited() *retry.Policy {
	return retry.New(retry.Config{NoBudget: true, MaxTries: maxAttempts}, 1)
}

// start runs a dispatcher over n engines and n endpoints of one script.
func start(t *testing.T, s *script, n int, p *retry.Policy) *Dispatcher {
	t.Helper()
	scripts.Store(t.Name(), s)
	sh := &sheet.Sheet{
		Classes:  []sheet.Class{{Name: "c"}},
		Services: []sheet.Service{{Name: "svc", Driver: "fake"}},
		Pools:    []sheet.Pool{{Name: "p", Model: "m", Version: "1"}},
	}
	for i := range n {
		name := fmt.Sprint("e", i)
		sh.Engines = append(sh.Engines, sheet.Engine{Name: name, Driver: "fake", Address: t.Name()})
		sh.Pools[0].Engines = append(sh.Pools[0].Engines, name)
		sh.Services[0].Endpoints = append(sh.Services[0].Endpoints, sheet.ServiceEndpoint{Name: fmt.Sprint("s", i), Address: t.Name()})
	}
	f := fleet.New(route.Config{}, clock.Boot{}, 1)
	d := New(Options{
		Fleet: f, Clock: clock.Boot{}, Writer: "w", Retries: p, Suspects: suspect.NewRegister(),
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

// sink gathers a stream's text.
type sink struct{ text string }

func (s *sink) Token(t driver.Token) error {
	s.text += string(t.Text)
	return nil
}
func (s *sink) Flush() error { return nil }

func generate(d *Dispatcher, tokens int, patience time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out := &sink{}
	err := d.Generate(ctx, &callerapi.Generate{
		Caller: callerapi.Caller{Deadline: time.Now().Add(patience), Name: "caller"},
		Model:  "m", Prompt: []byte("x"), MaxTokens: tokens, Class: "c",
	}, out)
	return out.text, err
}

// An engine's connection breaks after two tokens, each time. The stream goes on
// from engine to engine and is whole in the end.
func TestStreamGoesOnThroughManyBreaks(t *testing.T) {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return driver.ErrCut, nil }}
	d := start(t, s, 3, bounded())
	text, err := generate(d, 10, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 3 4 5 6 7 8 9 ")
}

// An engine stops in the middle of a stream without closing its connection,
// like a frozen machine. The caller sees a pause, then the rest.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	s := &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
		if n == 1 {
			return errHang, nil
		}
		return nil, nil
	}}
	d := start(t, s, 2, bounded())
	text, err := generate(d, 4, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 3 ")
}

// Every engine fails every request, say after a bad weight push. Retries must
// not multiply the load on what is left: they stay a tenth of the requests.
func TestRetriesStayInTheirBudget(t *testing.T) {
	attempts := storm(t, bounded())
	assert.Assert(t, attempts <= stormSize+callerBurst, "%d attempts for %d requests", attempts, stormSize)
}

func TestRetriesWithoutBudget(t *testing.T) {
	attempts := storm(t, unlimited())
	assert.Assert(t, attempts > 5*stormSize, "%d attempts for %d requests", attempts, stormSize)
}

const (
	stormSize   = 40
	callerBurst = 10 // retries that the policy saves up for one caller
)

func storm(t *testing.T, p *retry.Policy) int64 {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return nil, driver.ErrCut }}
	d := start(t, s, 3, p)
	var wg sync.WaitGroup
	for range stormSize {
		wg.Go(func() {
			_, err := generate(d, 3, 5*time.Second)
			assert.Check(t, code.Of(err).Run == code.Unknown, "%v", err)
		})
	}
	wg.Wait()
	return s.attempts.Load()
}

// What a caller is told of a failure follows from how far the work got.
func TestRunSaysHowFarTheWorkGot(t *testing.T) {
	tests := []struct {
		name   string
		end    error
		refuse error
		code   code.Code
		run    code.Run
	}{
		{"refused", nil, driver.ErrRefused, code.EndpointRefused, code.NotRun},
		{"not sent", nil, driver.ErrNotSent, code.EndpointRefused, code.NotRun},
		{"cut", nil, driver.ErrCut, code.EndpointCut, code.Unknown},
		{"failed", nil, driver.ErrFailed, code.EndpointFailed, code.Ran},
		{"silent", errHang, nil, code.DeadlineMissed, code.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return tt.end, tt.refuse }}
			d := start(t, s, 1, bounded())
			_, err := generate(d, 9, 1500*time.Millisecond)
			assert.Equal(t, code.Of(err).Code, tt.code, "%v", err)
			assert.Equal(t, code.Of(err).Run, tt.run)
		})
	}
}

// A lookup may be asked of another endpoint after any failure; a commit only
// while no endpoint can have it.
func TestOnlyLookupsAreRepeatedAfterACut(t *testing.T) {
	fails := func(first error) *script {
		return &script{call: func(n int64) ([]byte, error) {
			if n == 1 {
				return nil, first
			}
			return []byte("ok"), nil
		}}
	}
	call := &callerapi.Call{Service: "svc", Operation: "op"}
	s := fails(driver.ErrCut)
	d := start(t, s, 2, bounded())
	body, err := d.Lookup(context.Background(), call)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")

	permit := func() error { return nil }
	for _, first := range []error{driver.ErrNotSent, driver.ErrRefused} {
		s.attempts.Store(0)
		s.call = fails(first).call
		body, err = d.Dispatch(context.Background(), &commit.Call{Service: "svc"}, permit)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
	for _, first := range []error{driver.ErrCut, driver.ErrFailed, driver.ErrBadAnswer} {
		s.attempts.Store(0)
		s.call = fails(first).call
		_, err = d.Dispatch(context.Background(), &commit.Call{Service: "svc"}, permit)
		assert.ErrorIs(t, err, first)
		assert.Equal(t, s.attempts.Load(), int64(1))
	}
}

// A control process that is about to change an engine asks what is in flight
// there. An answer of none must hold: no request that had chosen the engine
// before may still come. And if the control process dies, the engine is not
// lost for ever.
func TestDirectiveClosesTheEngine(t *testing.T) {
	s := &script{open: func(int64, *driver.GenerateRequest) (error, error) { return nil, nil }}
	d := start(t, s, 1, bounded())
	ctx := context.Background()
	drain := &wire.Directive{Engine: "e0", Fence: 2, Seq: 1, Phase: wire.Phase_PHASE_DRAIN}
	assert.Equal(t, d.fleet.Direct(ctx, drain), 0)
	_, ok := d.fleet.Engine("e0").Hold()
	assert.Assert(t, !ok)
	_, err := generate(d, 3, time.Second)
	assert.Equal(t, code.Of(err).Code, code.NoEndpoint, "%v", err)
	assert.Equal(t, code.Of(err).Run, code.NotRun)
	for _, stale := range []*wire.Directive{
		{Engine: "e0", Fence: 1, Seq: 7, Phase: wire.Phase_PHASE_OPEN},
		{Engine: "e0", Fence: 2, Seq: 0, Phase: wire.Phase_PHASE_OPEN},
	} {
		d.fleet.Direct(ctx, stale)
		_, ok = d.fleet.Engine("e0").Hold()
		assert.Assert(t, !ok, "opened by %v", stale)
	}
	d.fleet.Direct(ctx, &wire.Directive{Engine: "e0", Fence: 3, Seq: 1, Phase: wire.Phase_PHASE_OPEN})
	text, err := generate(d, 3, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, text, "0 1 2 ")
}
