package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/standin/oracle"
)

// start runs an engine with short step times and returns a driver connected to it.
func start(t *testing.T, cfg Config) (*Engine, driver.Engine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cfg.Address = l.Addr().String()
	assert.NilError(t, l.Close())
	if cfg.DecodeStep == 0 {
		cfg.DecodeStep = 2 * time.Millisecond
	}
	if cfg.RoleChange == 0 {
		cfg.RoleChange = 50 * time.Millisecond
	}
	cfg.Downtime = 20 * time.Millisecond
	e := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	open, err := driver.Engines.Get(httpdriver.Name)
	assert.NilError(t, err)
	d, err := open(driver.Target{Address: cfg.Address})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	waitFor(t, d, func(driver.EngineState) bool { return true })
	return e, d
}

func waitFor(t *testing.T, d driver.Engine, ok func(driver.EngineState) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := d.State(t.Context())
		if err != nil || !ok(s) {
			return poll.Continue("state %+v, error %v", s, err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func collect(s driver.TokenStream, maxTokens int) ([]byte, error) {
	var text []byte
	for range maxTokens {
		tok, err := s.Next()
		if err != nil {
			return text, err
		}
		text = append(text, tok.Text...)
	}
	return text, nil
}

func setFault(t *testing.T, e *Engine, body string) {
	t.Helper()
	resp, err := http.Post("http://"+e.cfg.Address+"/fault", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

func generateRequest(attempt string) *driver.GenerateRequest {
	return &driver.GenerateRequest{
		Attempt: attempt, Model: "m", Version: "1", Prompt: bytes.Repeat([]byte("lot "), 500), MaxTokens: 20, Seed: 7,
	}
}

func TestResumedStreamEqualsUninterruptedStream(t *testing.T) {
	_, first := start(t, Config{})
	_, second := start(t, Config{})
	req := generateRequest("a1")
	s, err := first.Generate(t.Context(), req)
	assert.NilError(t, err)
	text, err := collect(s, 5)
	assert.NilError(t, err)
	h, err := first.Export(t.Context(), "a1")
	assert.NilError(t, err)
	rest, err := collect(s, 20)
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	text = append(text, rest...)
	resumed := generateRequest("a2")
	resumed.FirstPosition, resumed.PriorOutput, resumed.KV = bytes.Count(text, []byte(" ")), text, &h
	s, err = second.Generate(t.Context(), resumed)
	assert.NilError(t, err)
	rest, err = collect(s, 21)
	assert.ErrorIs(t, err, io.EOF)
	want := oracle.New("m", "1", "", req.Prompt, 7).Text(0, 20)
	assert.Equal(t, string(append(text, rest...)), string(want))
}

func TestRoleChangeAbortsStreamsAndRefusesRequests(t *testing.T) {
	e, d := start(t, Config{})
	s, err := d.Generate(t.Context(), generateRequest("a1"))
	assert.NilError(t, err)
	_, err = collect(s, 1)
	assert.NilError(t, err)
	assert.NilError(t, d.Order(t.Context(), roleOrder("o1", 1, driver.RoleDecode), permit))
	_, err = collect(s, 30)
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	_, err = d.Generate(t.Context(), generateRequest("a2"))
	assert.ErrorIs(t, err, driver.ErrRefused)
	waitFor(t, d, func(s driver.EngineState) bool { return s.Role == driver.RoleDecode && !s.Changing })
	h := e.history.Entries()
	assert.Equal(t, len(h), 1)
	assert.Equal(t, h[0].Effect, EffectDone)
	assert.Equal(t, h[0].StreamsCut, 1)
}

func permit() error { return nil }

func roleOrder(id string, fence uint64, role driver.Role) driver.Order {
	return driver.Order{ID: id, Fence: fence, Kind: driver.OrderRole, Role: role}
}

func TestFenceIsCheckedOrIgnored(t *testing.T) {
	_, withFence := start(t, Config{ChecksFence: true})
	assert.NilError(t, withFence.Order(t.Context(), roleOrder("new", 9, driver.RoleDecode), permit))
	err := withFence.Order(t.Context(), roleOrder("old", 8, driver.RolePrefill), permit)
	assert.ErrorIs(t, err, driver.ErrStaleFence)
	e, withoutFence := start(t, Config{})
	assert.NilError(t, withoutFence.Order(t.Context(), roleOrder("new", 9, driver.RoleDecode), permit))
	assert.NilError(t, withoutFence.Order(t.Context(), roleOrder("old", 8, driver.RolePrefill), permit))
	waitFor(t, withoutFence, func(s driver.EngineState) bool { return !s.Changing })
	assert.Equal(t, e.history.Entries()[1].Effect, EffectConflict)
}

func TestOrderWithoutPermitIsNotSent(t *testing.T) {
	e, d := start(t, Config{})
	err := d.Order(t.Context(), roleOrder("o1", 1, driver.RoleDecode), func() error { return errors.New("lapsed") })
	assert.ErrorIs(t, err, driver.ErrNotSent)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(e.history.Entries()), 0)
}

func TestClosedStreamLeavesTheBatch(t *testing.T) {
	_, d := start(t, Config{DecodeStep: 20 * time.Millisecond})
	req := generateRequest("a1")
	req.MaxTokens = 1000
	s, err := d.Generate(t.Context(), req)
	assert.NilError(t, err)
	_, err = collect(s, 1)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	waitFor(t, d, func(s driver.EngineState) bool { return s.Running == 0 })
}

func TestCrashCutsStreamsAndRestartsWithAnotherIncarnation(t *testing.T) {
	e, d := start(t, Config{Poison: "mould"})
	before, err := d.State(t.Context())
	assert.NilError(t, err)
	s, err := d.Generate(t.Context(), generateRequest("a1"))
	assert.NilError(t, err)
	poison := generateRequest("a2")
	poison.Prompt = []byte("a crate with mould")
	_, err = d.Generate(t.Context(), poison)
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	_, err = collect(s, 30)
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	waitFor(t, d, func(s driver.EngineState) bool { return s.Incarnation != before.Incarnation })
	setFault(t, e, `{"name":"crash-in-change","count":1}`)
	assert.NilError(t, d.Order(t.Context(), roleOrder("o1", 1, driver.RoleDecode), permit))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h := e.history.Entries(); h[len(h)-1].Effect != EffectCrashed {
			return poll.Continue("effect %s", h[len(h)-1].Effect)
		}
		return poll.Success()
	})
	waitFor(t, d, func(s driver.EngineState) bool { return s.Role == driver.RoleMixed && !s.Changing })
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	e, d := start(t, Config{CacheBlocks: 2, EventLag: 30 * time.Millisecond})
	run := func(attempt, text string) {
		req := generateRequest(attempt)
		req.Prompt, req.MaxTokens = bytes.Repeat([]byte(text), 4500), 1
		s, err := d.Generate(t.Context(), req)
		assert.NilError(t, err)
		_, err = collect(s, 2)
		assert.ErrorIs(t, err, io.EOF)
	}
	run("a1", "lot ")
	ev, err := d.CacheEvents(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(ev), 0)
	setFault(t, e, `{"name":"drop-events","count":1000,"for":"10ms"}`)
	run("a2", "box ") // its two blocks evict those of the first prompt
	time.Sleep(60 * time.Millisecond)
	ev, err = d.CacheEvents(t.Context(), 1)
	assert.NilError(t, err)
	for _, one := range ev {
		assert.Assert(t, one.Seq > 1)
	}
	assert.Assert(t, len(ev) >= 1)
}
