package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
)

// weightStoreState is what this process has read from the weight store.
type weightStoreState struct {
	bytesPerSecond  int64
	sizes           map[driver.Loaded]int64
	querying        map[driver.Loaded]bool
	lastQueryFailed bool // the newest query failed
}

const (
	weightStoreTimeout = 2 * time.Second
	// assumedLoadTime is the assumed duration of a load while the size of its weights is unknown.
	assumedLoadTime = 5 * time.Second
)

// loadAllowed reports whether the weight store has capacity for a load. It queries the size first,
// so that the engines of a whole availability zone that restart empty don't all start loading
// before the first size is known.
func (s *state) loadAllowed(now clock.Time, l driver.Loaded) bool {
	if s.opt.Weights == nil {
		return true
	}
	if _, ok := s.weights.sizes[l]; !ok {
		s.querySize(l)
		return s.weights.lastQueryFailed && s.loadPacer.Available(now)
	}
	return s.loadPacer.Available(now)
}

func (s *state) querySize(l driver.Loaded) {
	w := &s.weights
	if w.sizes == nil {
		w.sizes, w.querying = map[driver.Loaded]int64{}, map[driver.Loaded]bool{}
	}
	if w.querying[l] {
		return
	}
	w.querying[l] = true
	s.c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, weightStoreTimeout)
		defer cancel()
		name := l.Model
		if l.Adapter != "" {
			name = l.Adapter
		}
		size, err := s.opt.Weights.Size(ctx, name, l.Version)
		var rate int64
		if err == nil {
			rate, err = s.opt.Weights.Rate(ctx)
		}
		_ = s.c.postBlocking(s.ctx, weightSizeResult{l, size, rate, err})
	})
}

// weightSizeResult is the answer of the weight store to a query.
type weightSizeResult struct {
	load           driver.Loaded
	size           int64
	bytesPerSecond int64
	err            error
}

func (e weightSizeResult) apply(s *state) {
	delete(s.weights.querying, e.load)
	s.weights.lastQueryFailed = e.err != nil
	if e.err != nil {
		log.WithError(e.err).WithField("model", e.load.Model).Warn("weight store query failed")
		return
	}
	s.weights.sizes[e.load], s.weights.bytesPerSecond = e.size, e.bytesPerSecond
}

// reserveLoad reserves this process's share of the store's rate for a load. The share is the number
// of pools held divided by the number of all pools. The reservation starts with the drain for the
// load: if it started with the order, all engines that drain in the meantime would be allowed to
// load as well.
func (s *state) reserveLoad(e *engine, l driver.Loaded) {
	if s.opt.Weights == nil || e.reservedLoad == l {
		return
	}
	e.reservedLoad = l
	pools := map[string]bool{}
	for _, e := range s.heldEngines() {
		pools[e.pool] = true
	}
	share := s.weights.bytesPerSecond * int64(len(pools)) / int64(max(1, len(s.pools)))
	size := s.weights.sizes[l]
	if size == 0 || share == 0 {
		share = 1 << 30
		size = int64(assumedLoadTime.Seconds()) * share
	}
	s.loadPacer.Reserve(s.now(), size, share)
}

// firstLoad returns the load that is the engine's next order, false if the next order is something
// else.
func firstLoad(desired *reconcile.DesiredState, state *driver.EngineState) (driver.Loaded, bool) {
	orders := reconcile.Diff(desired, state, false)
	if len(orders) == 0 || orders[0].Kind != driver.OrderLoad {
		return driver.Loaded{}, false
	}
	return orders[0].Load, true
}
