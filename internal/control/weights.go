package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
)

// weightStore is what is known of the weight store.
type weightStore struct {
	rate   int64
	sizes  map[driver.Loaded]int64
	asking map[driver.Loaded]bool
	failed bool // the newest question was not answered
}

const (
	weightTimeout = 2 * time.Second
	// blindLoad is the time that a load is taken to need while the store
	// doesn't tell sizes.
	blindLoad = 5 * time.Second
)

// mayLoad reports whether the weight store has room for a load. Its size is
// asked for first, so that the engines of a whole availability zone that come
// back empty don't all pass before the first size is known.
func (s *state) mayLoad(now clock.Time, l driver.Loaded) bool {
	if s.opt.Weights == nil {
		return true
	}
	if _, known := s.weights.sizes[l]; !known {
		s.askSize(l)
		return s.weights.failed && s.pacer.Free(now)
	}
	return s.pacer.Free(now)
}

func (s *state) askSize(l driver.Loaded) {
	w := &s.weights
	if w.sizes == nil {
		w.sizes, w.asking = map[driver.Loaded]int64{}, map[driver.Loaded]bool{}
	}
	if w.asking[l] {
		return
	}
	w.asking[l] = true
	s.c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, weightTimeout)
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
		_ = s.c.postWait(s.ctx, sized{l, size, rate, err})
	})
}

// sized carries what the weight store says.
type sized struct {
	load driver.Loaded
	size int64
	rate int64
	err  error
}

func (e sized) apply(s *state) {
	delete(s.weights.asking, e.load)
	s.weights.failed = e.err != nil
	if e.err != nil {
		log.WithError(e.err).WithField("model", e.load.Model).Warn("weight store")
		return
	}
	s.weights.sizes[e.load], s.weights.rate = e.size, e.rate
}

// reserve counts a load against this process's share of the store's rate, a
// pool's share of all pools, from the begin of the drain for it. Counted only
// with the order, every engine that drains meanwhile would pass as well.
func (s *state) reserve(e *engine, l driver.Loaded) {
	if s.opt.Weights == nil || e.reserved == l {
		return
	}
	e.reserved = l
	pools := map[string]bool{}
	for _, e := range s.held() {
		pools[e.pool] = true
	}
	share := s.weights.rate * int64(len(pools)) / int64(max(1, len(s.pools)))
	size := s.weights.sizes[l]
	if size == 0 || share == 0 {
		share = 1 << 30
		size = int64(blindLoad.Seconds()) * share
	}
	s.pacer.Took(s.now(), size, share)
}

// firstLoad returns the load that an engine lacks first, none if it needs
// something else first.
func firstLoad(w *reconcile.Want, st *driver.EngineState) (driver.Loaded, bool) {
	orders := reconcile.Diff(w, st, false)
	if len(orders) == 0 || orders[0].Kind != driver.OrderLoad {
		return driver.Loaded{}, false
	}
	return orders[0].Load, true
}
