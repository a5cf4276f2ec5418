package engine

import (
	"context"
	"slices"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// idleCheck bounds how long an idle engine waits between looks at its queue.
const idleCheck = 50 * time.Millisecond

// work is what one step of the batch does.
type work struct {
	prefill []*sequence // in order, sharing tokens
	tokens  float64     // prompt tokens to prefill in this step
	decode  []*sequence
}

// loop runs batch steps until the run ends.
func (r *run) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.freeze(ctx)
		w, took := r.plan()
		if took == 0 {
			select {
			case <-r.wake:
			case <-time.After(idleCheck):
			case <-ctx.Done():
			}
			continue
		}
		if !sleep(ctx, took) {
			return
		}
		r.apply(w)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) freeze(ctx context.Context) {
	if f, on := r.faults.Take(FaultFreeze, ""); on {
		sleep(ctx, f.Delay.D())
	}
}

// plan picks the next step's work and how long it takes.
func (r *run) plan() (work, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropCancelled()
	r.fill()
	var w work
	for _, s := range r.batch {
		if s.prefillLeft > 0 {
			w.prefill = append(w.prefill, s)
		} else {
			w.decode = append(w.decode, s)
		}
	}
	took := time.Duration(0)
	if len(w.prefill) > 0 {
		w.tokens = r.chunk(w)
		took += time.Duration(w.tokens / r.cfg.PrefillRate * float64(time.Second))
	}
	if n := len(w.decode); n > 0 {
		took += r.cfg.DecodeStep + time.Duration(n-1)*r.cfg.DecodePerSeq
		r.step = took
	}
	if f, on := r.faults.Take(FaultSlow, ""); on {
		took = time.Duration(float64(took) * f.Factor)
	}
	return w, took
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
func (r *run) fill() {
	slices.SortStableFunc(r.queue, (*sequence).before)
	for len(r.queue) > 0 && len(r.batch) < r.cfg.MaxBatch {
		s := r.queue[0]
		r.queue = r.queue[1:]
		r.start(s)
		r.batch = append(r.batch, s)
	}
}

// start works out what is left to prefill after cache hits and KV import.
func (r *run) start(s *sequence) {
	s.started = true
	cached := r.cache.hits(s.pieces) * httpapi.PieceTokens
	left := float64(s.promptTokens() - cached)
	if s.req.KV != nil && r.fetchable[s] {
		imported := float64(s.req.KV.Bytes) / float64(r.cfg.KVRate) * r.cfg.PrefillRate
		left = min(left, imported)
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
