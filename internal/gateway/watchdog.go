package gateway

import (
	"maps"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/place"
)

// watchdog ends an exchange whose engine shows no sign of life while another
// engine could go on with the stream.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

const (
	// silentFirst is the least time for a first event over the prediction.
	silentFirst = 400 * time.Millisecond
	// silentGap is the pause between events after which another engine takes a
	// stream over. Callers leave after two seconds.
	silentGap = 800 * time.Millisecond
	// firstFactor times the predicted time is given to a first event.
	firstFactor = 2
)

// watch starts a watchdog for an exchange with s.Endpoint. A silent engine is left
// only if another one can go on and the budget allows it; else the stream may
// still come, and ending it would cut off an answer that is being made.
func (x *execution) watch(cancel func(), t *place.Ticket, s *Send, plan *place.Plan) *watchdog {
	repeat := x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts
	others := map[string]bool{s.Endpoint.ID: true}
	maps.Copy(others, x.tried)
	w := &watchdog{gap: silentGap}
	w.timer = time.AfterFunc(silentFirst+firstFactor*(plan.Wait+plan.Fetch+plan.Work), func() {
		x.g.o.Planner.MarkUnresponsive(x.now(), t)
		switch {
		case !repeat:
		case x.another(s.Endpoint, others):
			cancel()
		default:
			w.progress() // looks again later
		}
	})
	return w
}

// continueSends is how many requests it takes to go on with a stream elsewhere: a
// prefill and the stream. Left with the budget for one, it would be cut off
// between them.
const continueSends = 2

// another tells whether an engine but those in exclude can go on with the
// stream, and takes the repeat from the budget if so.
func (x *execution) another(e *catalog.Endpoint, exclude map[string]bool) bool {
	if x.g.o.Planner.ChooseDecodeEngine(x.now(), x.open(), e, exclude) == nil {
		return false
	}
	for range continueSends {
		if !x.g.o.Budget.Take(x.now(), x.service) {
			return false
		}
	}
	x.prepaid.Store(continueSends)
	return true
}

func (w *watchdog) progress() { w.timer.Reset(w.gap) }

func (w *watchdog) stop() { w.timer.Stop() }
