package engine

import (
	"context"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// idle is how long an engine without work waits to be woken.
const idle = time.Hour

// work is what one step of the batch does.
type work struct {
	prefill []*sequence // in order, sharing tokens
	tokens  float64     // prompt tokens to prefill in this step
	decode  []*sequence
	took    time.Duration
	wait    time.Duration // until there may be work, if took is 0
}

// loop runs batch steps until the run ends.
func (r *run) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.freeze(ctx)
		w := r.plan(time.Now())
		if w.took == 0 {
			r.awaitWork(ctx, w.wait)
			continue
		}
		if !clock.Sleep(ctx, w.took) {
			return
		}
		r.apply(w)
	}
}

func (r *run) awaitWork(ctx context.Context, longest time.Duration) {
	t := time.NewTimer(longest)
	defer t.Stop()
	select {
	case <-r.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *run) freeze(ctx context.Context) {
	if f, on := r.faults.Take(FaultFreeze, ""); on {
		clock.Sleep(ctx, f.Delay.D())
	}
}

// plan picks the next step's work and how long it takes.
func (r *run) plan(now time.Time) work {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropCancelled()
	r.fill(now)
	w := work{wait: idle}
	for _, s := range r.batch {
		switch {
		case s.imported.After(now):
			w.wait = min(w.wait, s.imported.Sub(now))
		case s.prefillLeft > 0:
			w.prefill = append(w.prefill, s)
		default:
			w.decode = append(w.decode, s)
		}
	}
	if len(w.prefill) > 0 {
		w.tokens = r.chunk(w)
		w.took += time.Duration(w.tokens / r.cfg.PrefillRate * float64(time.Second))
	}
	if n := len(w.decode); n > 0 {
		w.took += r.cfg.DecodeStep + time.Duration(n-1)*r.cfg.DecodePerSeq
		r.step = w.took
	}
	if f, on := r.faults.Take(FaultSlow, ""); on && f.Factor > 0 {
		w.took = time.Duration(float64(w.took) * f.Factor)
	}
	return w
}

// chunk returns how many prompt tokens to prefill before the next decode step.
// A prefill engine has nothing to delay and takes more at once.
func (r *run) chunk(w work) float64 {
	limit := float64(r.cfg.PrefillChunk)
	if len(w.decode) == 0 {
		limit = defaultPrefillBatch
	}
	left := 0.0
	for _, s := range w.prefill {
		left += s.prefillLeft
	}
	return min(limit, left)
}

// fill moves queued sequences into the batch, the most urgent first.
func (r *run) fill(now time.Time) {
	slices.SortStableFunc(r.queue, (*sequence).before)
	for len(r.queue) > 0 && len(r.batch) < r.cfg.MaxBatch {
		s := r.queue[0]
		r.queue = r.queue[1:]
		r.start(s, now)
		r.batch = append(r.batch, s)
	}
}

// start works out what is left to prefill after cache hits. A KV cache is
// imported beside the batch's work if that is quicker than computing it.
func (r *run) start(s *sequence, now time.Time) {
	cached := r.cache.hits(s.pieces) * httpapi.BlockTokens
	left := float64(s.promptTokens() - cached)
	compute := left / r.cfg.PrefillRate
	transfer := float64(kvBytes(s.req)) / float64(r.cfg.KVRate)
	if r.fetchable[s] && transfer < compute {
		s.imported = now.Add(time.Duration(transfer * float64(time.Second)))
		left = 0
	}
	// The last prompt token is always computed, since it gives the first answer.
	s.prefillLeft = max(1, left)
	delete(r.fetchable, s)
}

func (r *run) dropCancelled() {
	gone := func(s *sequence) bool {
		if s.ctx.Err() == nil {
			return false
		}
		delete(r.fetchable, s)
		s.leave(cut)
		return true
	}
	r.queue = slices.DeleteFunc(r.queue, gone)
	r.batch = slices.DeleteFunc(r.batch, gone)
}

// apply books the work that a step has done.
func (r *run) apply(w work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, drop := r.faults.Take(FaultDropEvents, "")
	for _, s := range w.prefill {
		done := min(s.prefillLeft, w.tokens)
		s.prefillLeft -= done
		w.tokens -= done
		if s.prefillLeft == 0 {
			r.cache.add(s.pieces, drop)
		}
	}
	for _, s := range w.decode {
		s.emit()
	}
	r.batch = slices.DeleteFunc(r.batch, (*sequence).finish)
}

// emit makes the next token. A sequence that has left in the meantime, with a
// role change for example, makes none.
func (s *sequence) emit() {
	select {
	case <-s.done:
		return
	default:
	}
	if s.pos < s.req.MaxTokens {
		s.tokens <- driver.Token{Attempt: s.req.Attempt, Pos: s.pos, Text: s.completion.Token(s.pos)}
		s.pos++
	}
}

// finish lets the sequence leave if its work is done.
func (s *sequence) finish() bool {
	if s.prefillLeft > 0 {
		return false
	}
	if !s.prefillOnly && s.pos < s.req.MaxTokens {
		return false
	}
	s.leave(finished)
	return true
}

func kvBytes(req *httpapi.Generate) int64 {
	if req.KV == nil {
		return 0
	}
	return req.KV.Bytes
}
