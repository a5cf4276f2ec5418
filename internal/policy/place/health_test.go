package place

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// failing plays calls of a service with three endpoints, of which the first
// fails a share of its calls, and returns how many callers met a failure.
func failing(t *testing.T, share int, kind Outcome) (failures, calls int) {
	t.Helper()
	w := newWorld(t, engine("a", catalog.Whole), engine("b", catalog.Whole), engine("c", catalog.Whole))
	now := clock.Time(0)
	for i := range 2000 {
		now = now.Add(10 * ms)
		e := w.p.ChooseEndpoint(now, w.open, nil)
		tk := w.p.Begin(now, e, Job{})
		o := Success
		if e.ID == "a" && i*37%100 < share {
			o = kind
			failures++
		}
		w.p.End(now, tk, o)
	}
	return failures, 2000
}

// One of three endpoints fails all its calls while its own health check is
// good. A third of the callers would meet it.
func TestAnEndpointThatFailsIsLeftOut(t *testing.T) {
	for _, kind := range []Outcome{ErrorAnswer, ExchangeFailed} {
		failures, calls := failing(t, 100, kind)
		assert.Assert(t, failures < calls/20, "%d of %d", failures, calls)
	}
}

// An endpoint answers one call in seven with a failure: that is how the service
// is. Leaving endpoints out would only load the others.
func TestAFewFailuresLeaveNobodyOut(t *testing.T) {
	failures, calls := failing(t, 15, ErrorAnswer)
	assert.Assert(t, failures > calls/50, "%d of %d", failures, calls)
}

func TestWhenMostEndpointsFailAllAreTried(t *testing.T) {
	w := newWorld(t, engine("a", catalog.Whole), engine("b", catalog.Whole))
	for _, e := range w.open {
		w.p.MarkStale(0, e)
	}
	assert.Assert(t, w.p.ChooseEndpoint(0, w.open, nil) != nil)
	assert.Assert(t, w.p.ChooseEndpoint(0, w.open, map[string]bool{"a": true, "b": true}) == nil)
}

// Five engines prefill and one decodes, after the others were lost. Two streams in a
// row break off at it, as its callers' connections are cut. Left out as one bad
// engine of six, it left every prompt without an engine to run at, and callers were
// refused while it was idle.
func TestTheLastDecodeEngineIsNotLeftOut(t *testing.T) {
	w := newWorld(t, split(5, 1)...)
	for range 2 * inRow {
		w.p.End(0, w.p.Begin(0, w.open[0], Job{}), ExchangeFailed)
	}
	assert.Equal(t, w.open[0].Stage, catalog.Decode)
	assert.Equal(t, w.plan(t, 0, prompt(1, 5000, 7000)).Engine.ID, w.open[0].ID)
	assert.Equal(t, w.p.ChooseDecodeEngine(0, w.open, w.open[1], nil).ID, w.open[0].ID)
}

// An engine answers that it isn't the one that is asked for: it has restarted,
// and the entries don't show it yet. Asked again by each request, each would be
// turned away.
func TestAnEngineThatMovedIsLeftOutForAWhile(t *testing.T) {
	w := newWorld(t, split(0, 3)...)
	moved := w.plan(t, 0, prompt(1, 100, 100)).Engine
	w.p.MarkStale(0, moved)
	assert.Assert(t, w.plan(t, 0, prompt(1, 100, 100)).Engine.ID != moved.ID)
}

func TestCallsGoToTheLeastLoaded(t *testing.T) {
	w := newWorld(t, engine("a", catalog.Whole), engine("b", catalog.Whole))
	a := w.p.ChooseEndpoint(0, w.open, nil)
	w.p.Begin(0, a, Job{})
	b := w.p.ChooseEndpoint(0, w.open, nil)
	assert.Assert(t, a.ID != b.ID)
	w.p.ReceiveReport(0, "peer", []Report{{Endpoint: Key(b.ID), Running: 5}}, Demand{})
	assert.Equal(t, w.p.ChooseEndpoint(0, w.open, nil).ID, a.ID)
}
