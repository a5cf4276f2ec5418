package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// Guards against a forecast that stays too pessimistic. The engines were slow, with first tokens
// after three seconds, just in time, and are fast and idle again. Without probes the forecast
// refuses every request of the class and gets no measurements from refused requests to correct
// itself.
func TestForecastRecoversAfterSlowPeriod(t *testing.T) {
	assert.Assert(t, servedAfterSlowPeriod(t, false) > 20)
}

// The same test with probes disabled.
func TestForecastWithoutProbes(t *testing.T) {
	assert.Equal(t, servedAfterSlowPeriod(t, true), 0)
}

// servedAfterSlowPeriod returns how many of 60 consecutive requests are served after a slow period.
func servedAfterSlowPeriod(t *testing.T, noProbe bool) (served int) {
	clk := &clock.Manual{T: 1}
	r := route.NewRouter(route.Config{}, 1)
	art := route.Artifact{Model: "m", Version: "1"}
	r.Publish(clk.Now(), route.NewTable(route.Config{}, []route.Endpoint{{
		Name: "e", Pool: "p", Slots: 8, PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond,
		Serves: []route.Artifact{art},
	}}))
	q := newPoolQueue(r, clk, "p", art, &sheet.Sheet{Classes: []sheet.Class{{Name: "question"}}})
	q.noProbe = noProbe
	request := func(deadline, firstToken time.Duration) *code.Error {
		a := &admission{req: admit.Request{
			Class: "question", PromptTokens: 10, MaxOutputTokens: 10, Deadline: clk.Now().Add(deadline),
		}}
		if err := q.acquire(context.Background(), a); err != nil {
			return err
		}
		q.markDispatched(a)
		clk.T = clk.T.Add(firstToken + 100*time.Millisecond)
		q.release(a, admit.Measurement{OK: true, FirstToken: firstToken, Step: 10 * time.Millisecond, OutputTokens: 10})
		return nil
	}
	for range 60 {
		assert.Assert(t, request(time.Minute, 3*time.Second) == nil)
	}
	for range 60 {
		if request(2*time.Second, 50*time.Millisecond) == nil {
			served++
		}
	}
	return served
}

// Guards against refusing a request whose deadline passed before any of its work was sent without
// saying when its caller may come back.
func TestDeadlinePassedBeforeAnyWorkHasARetryDelay(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	<-ctx.Done()
	r := route.NewRouter(route.Config{}, 1)
	art := route.Artifact{Model: "m", Version: "1"}
	r.Publish(1, route.NewTable(route.Config{}, []route.Endpoint{{Name: "e", Pool: "p", Slots: 8, Serves: []route.Artifact{art}}}))
	q := newPoolQueue(r, &clock.Manual{T: 1}, "p", art, &sheet.Sheet{Classes: []sheet.Class{{Name: "question"}}})
	for name, err := range map[string]*code.Error{
		"in the queue":          contextEndError(ctx),
		"before the connection": codeError(ctx, driver.ErrNotSent, false, false),
		"before the queue":      q.acquire(t.Context(), &admission{req: admit.Request{Class: "question", PromptTokens: 10}}),
	} {
		assert.Equal(t, err.Code, code.DeadlinePassed, name)
		assert.Equal(t, err.Run, code.NotRun, name)
		assert.Assert(t, err.RetryAfter > 0, name)
	}
}
