package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// The engines were slow for a minute: first tokens came after three seconds,
// just in time. Now they are idle and quick again, but the forecast has learned
// the three seconds and refuses every question of the class; refused questions
// teach it nothing, so that it never ends.
func TestForecastRecoversAfterSlowTimes(t *testing.T) {
	assert.Assert(t, servedAfterSlowTimes(t, false) > 20)
}

func TestForecastWithoutProbes(t *testing.T) {
	assert.Equal(t, servedAfterSlowTimes(t, true), 0)
}

// servedAfterSlowTimes returns how many of 60 questions are served after slow
// times, one after the other.
func servedAfterSlowTimes(t *testing.T, off bool) (served int) {
	clk := &clock.Manual{T: 1}
	r := route.NewRouter(route.Config{}, 1)
	art := route.Artifact{Model: "m", Version: "1"}
	r.Publish(clk.Now(), route.NewTable(route.Config{}, []route.Endpoint{{
		Name: "e", Pool: "p", Slots: 8, PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond,
		Serves: []route.Artifact{art},
	}}))
	g := newGate(r, clk, "p", art, &sheet.Sheet{Classes: []sheet.Class{{Name: "question"}}})
	g.offProbe = off
	ask := func(deadline, first time.Duration) *code.Error {
		q := &turn{req: admit.Request{Class: "question", PromptTokens: 10, MaxOutputTokens: 10, Deadline: clk.Now().Add(deadline)}}
		if err := g.enter(context.Background(), q); err != nil {
			return err
		}
		g.placed(q)
		clk.T = clk.T.Add(first + 100*time.Millisecond)
		g.leave(q, admit.Measurement{OK: true, FirstToken: first, Step: 10 * time.Millisecond, OutputTokens: 10})
		return nil
	}
	for range 60 {
		assert.Assert(t, ask(time.Minute, 3*time.Second) == nil)
	}
	for range 60 {
		if ask(2*time.Second, 50*time.Millisecond) == nil {
			served++
		}
	}
	return served
}
