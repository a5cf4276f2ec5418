package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/driver"
)

// script defines how the endpoints of one test answer each attempt.
type script struct {
	attempts atomic.Int64
	// open returns the error that ends an attempt's stream, or the error that refuses the attempt.
	open func(n int64, r *driver.GenerateRequest) (end error, refuse error)
	// openAt is used instead of open if it is set.
	openAt func(engine string, n int64) (end error, refuse error)
	call   func(n int64) ([]byte, error)
	onCall func(c *driver.Call) // nil if nothing observes calls
	// export returns the error of an export; nil ends the exported attempt. Without it, engines
	// refuse exports.
	export func() error
	step   time.Duration // time between two tokens
	// prefillers is the number of engines that only prefill, if it isn't 0. The others then only decode.
	prefillers int
	prefills   atomic.Int64
	// prefill returns errHang for a prefill that is left unanswered.
	prefill func(engine string, n int64) error
	// stateless makes engines leave requests for their state unanswered.
	stateless atomic.Bool
	// cutStates is the number of answers to the next requests for the state that are cut off.
	cutStates atomic.Int64

	mu      sync.Mutex             // held while the functions of the script are called
	streams map[string]*fakeStream // by attempt
}

func (s *script) outcome(engine string, r *driver.GenerateRequest) (end error, refuse error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.attempts.Add(1)
	if s.openAt != nil {
		return s.openAt(engine, n)
	}
	return s.open(n, r)
}

func (s *script) hangsAtPrefill(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.prefills.Add(1)
	return s.prefill != nil && errors.Is(s.prefill(engine, n), errHang)
}

var scripts sync.Map // by address

type fakeEngine struct {
	s    *script
	name string
	role driver.Role
}

func init() {
	driver.Engines.Register("fake", func(t driver.Target) (driver.Engine, error) {
		s, _ := scripts.Load(t.Address)
		return &fakeEngine{s.(*script), t.Options["name"], driver.Role(t.Options["role"])}, nil
	})
	driver.Services.Register("fake", func(t driver.Target) (driver.Service, error) {
		s, _ := scripts.Load(t.Address)
		return &fakeService{s.(*script)}, nil
	})
}

func (e *fakeEngine) State(ctx context.Context) (driver.EngineState, error) {
	if e.s.stateless.Load() {
		<-ctx.Done()
		return driver.EngineState{}, driver.ErrConnectionLost
	}
	if e.s.cutStates.Add(-1) >= 0 {
		return driver.EngineState{}, driver.ErrConnectionLost
	}
	return driver.EngineState{Incarnation: "1", Role: e.role}, nil
}

func (e *fakeEngine) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]driver.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Prefill(ctx context.Context, r *driver.GenerateRequest) (driver.KVHandle, error) {
	if e.role != driver.RolePrefill {
		return driver.KVHandle{}, driver.ErrRefused
	}
	if e.s.hangsAtPrefill(e.name) {
		<-ctx.Done()
		return driver.KVHandle{}, driver.ErrConnectionLost
	}
	return driver.KVHandle{ID: r.Attempt}, nil
}

func (e *fakeEngine) Generate(ctx context.Context, r *driver.GenerateRequest) (driver.TokenStream, error) {
	end, refuse := e.s.outcome(e.name, r)
	if errors.Is(refuse, errHang) {
		<-ctx.Done()
		return nil, driver.ErrConnectionLost
	}
	if refuse != nil {
		return nil, refuse
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &fakeStream{ctx: ctx, cancel: cancel, r: r, pos: r.FirstPosition, end: end, step: e.s.step}
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if e.s.streams == nil {
		e.s.streams = map[string]*fakeStream{}
	}
	e.s.streams[r.Attempt] = stream
	return stream, nil
}

func (e *fakeEngine) Export(_ context.Context, attempt string) (driver.KVHandle, error) {
	if e.s.export == nil {
		return driver.KVHandle{}, driver.ErrRefused
	}
	if err := e.s.export(); err != nil {
		return driver.KVHandle{}, err
	}
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	e.s.streams[attempt].cancel()
	return driver.KVHandle{ID: attempt}, nil
}

func (e *fakeEngine) Order(context.Context, driver.Order, driver.Permit) error { return nil }
func (e *fakeEngine) Close() error                                             { return nil }

var (
	// errHang as a stream's end makes the stream send nothing more. As a refusal it makes the engine
	// leave the request unanswered.
	errHang = errors.New("hang")
	// errHangAtOnce as a stream's end makes the stream send nothing.
	errHangAtOnce = errors.New("hang before the first token")
)

// pauseError as a stream's end makes the stream pause and then send the rest.
type pauseError time.Duration

func (pauseError) Error() string { return "pause" }

// fakeStream sends two tokens, then its end error; without one it sends all MaxTokens.
type fakeStream struct {
	ctx    context.Context
	cancel func()
	r      *driver.GenerateRequest
	pos    int
	end    error
	step   time.Duration
}

func (s *fakeStream) Next() (driver.Token, error) {
	if errors.Is(s.end, errHangAtOnce) {
		<-s.ctx.Done()
		return driver.Token{}, driver.ErrConnectionLost
	}
	if s.pos >= s.r.MaxTokens {
		return driver.Token{}, io.EOF
	}
	if s.end != nil && s.pos >= s.r.FirstPosition+2 {
		var pause pauseError
		switch {
		case errors.Is(s.end, errHang):
			<-s.ctx.Done()
		case errors.As(s.end, &pause):
			s.end = nil
			sleep(s.ctx, time.Duration(pause))
		default:
			return driver.Token{}, s.end
		}
	}
	if s.step > 0 {
		sleep(s.ctx, s.step)
	}
	if s.ctx.Err() != nil {
		return driver.Token{}, driver.ErrConnectionLost
	}
	s.pos++
	return driver.Token{Attempt: s.r.Attempt, Pos: s.pos - 1, Text: fmt.Appendf(nil, "%d ", s.pos-1)}, nil
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}

type fakeService struct{ s *script }

func (f *fakeService) Call(_ context.Context, c *driver.Call) ([]byte, error) {
	n := f.s.attempts.Add(1)
	if f.s.onCall != nil {
		f.s.onCall(c)
	}
	return f.s.call(n)
}
func (f *fakeService) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{}, nil
}
func (f *fakeService) Close() error { return nil }
