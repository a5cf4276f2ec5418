package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"fescuestand/internal/driver"
)

// script defines how the endpoints of one test answer each attempt.
type script struct {
	attempts atomic.Int64
	// open returns the error that ends an attempt's stream, or the error that refuses the attempt.
	open func(n int64, r *driver.GenerateRequest) (end error, refuse error)
	call func(n int64) ([]byte, error)
}

var scripts sync.Map // by address

type fakeEngine struct{ s *script }

func init() {
	driver.Engines.Register("fake", func(t driver.Target) (driver.Engine, error) {
		s, _ := scripts.Load(t.Address)
		return &fakeEngine{s.(*script)}, nil
	})
	driver.Services.Register("fake", func(t driver.Target) (driver.Service, error) {
		s, _ := scripts.Load(t.Address)
		return &fakeService{s.(*script)}, nil
	})
}

func (e *fakeEngine) State(context.Context) (driver.EngineState, error) {
	return driver.EngineState{Incarnation: "1", Role: driver.RoleMixed}, nil
}

func (e *fakeEngine) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]driver.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Prefill(context.Context, *driver.GenerateRequest) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (e *fakeEngine) Generate(ctx context.Context, r *driver.GenerateRequest) (driver.TokenStream, error) {
	end, refuse := e.s.open(e.s.attempts.Add(1), r)
	if refuse != nil {
		return nil, refuse
	}
	ctx, cancel := context.WithCancel(ctx)
	return &fakeStream{ctx: ctx, cancel: cancel, r: r, pos: r.FirstPosition, end: end}, nil
}

func (e *fakeEngine) Export(context.Context, string) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (e *fakeEngine) Order(context.Context, driver.Order, driver.Permit) error { return nil }
func (e *fakeEngine) Close() error                                             { return nil }

// errHang as a stream's end makes the stream send nothing more.
var errHang = errors.New("hang")

// fakeStream sends two tokens, then its end error; without one it sends all MaxTokens.
type fakeStream struct {
	ctx    context.Context
	cancel func()
	r      *driver.GenerateRequest
	pos    int
	end    error
}

func (s *fakeStream) Next() (driver.Token, error) {
	if s.pos >= s.r.MaxTokens {
		return driver.Token{}, io.EOF
	}
	if s.end != nil && s.pos >= s.r.FirstPosition+2 {
		if errors.Is(s.end, errHang) {
			<-s.ctx.Done()
			return driver.Token{}, driver.ErrConnectionLost
		}
		return driver.Token{}, s.end
	}
	s.pos++
	return driver.Token{Attempt: s.r.Attempt, Pos: s.pos - 1, Text: fmt.Appendf(nil, "%d ", s.pos-1)}, nil
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}

type fakeService struct{ s *script }

func (f *fakeService) Call(context.Context, *driver.Call) ([]byte, error) {
	return f.s.call(f.s.attempts.Add(1))
}
func (f *fakeService) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{}, nil
}
func (f *fakeService) Close() error { return nil }
