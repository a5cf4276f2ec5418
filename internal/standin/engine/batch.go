package engine

import (
	"context"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// idleWait is how long the batch loop waits for a wake-up when there is no work.
const idleWait = time.Hour

// batchStep is the work of one step of the batch.
type batchStep struct {
	prefill  []*sequence // share the step's prompt tokens in this order
	tokens   float64     // prompt tokens to prefill in this step
	decode   []*sequence
	duration time.Duration // 0: there is no work
	wait     time.Duration // time until there may be work, if duration is 0
}

// loop runs batch steps until ctx is done.
func (r *run) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.freeze(ctx)
		w := r.plan(time.Now())
		if w.duration == 0 {
			r.awaitWork(ctx, w.wait)
			continue
		}
		if !clock.Sleep(ctx, w.duration) {
			return
		}
		r.apply(w)
	}
}

func (r *run) awaitWork(ctx context.Context, maxWait time.Duration) {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-r.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *run) freeze(ctx context.Context) {
	if f, on := r.faults.Consume(FaultFreeze, ""); on {
		clock.Sleep(ctx, f.Delay.D())
	}
}

// plan selects the work of the next step and computes its duration.
func (r *run) plan(now time.Time) batchStep {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropCancelled()
	r.fillBatch(now)
	w := batchStep{wait: idleWait}
	for _, s := range r.batch {
		switch {
		case s.importedAt.After(now):
			w.wait = min(w.wait, s.importedAt.Sub(now))
		case s.prefillLeft > 0:
			w.prefill = append(w.prefill, s)
		default:
			w.decode = append(w.decode, s)
		}
	}
	if len(w.prefill) > 0 {
		w.tokens = r.prefillChunk(w)
		w.duration += time.Duration(w.tokens / r.cfg.PrefillRate * float64(time.Second))
	}
	if n := len(w.decode); n > 0 {
		w.duration += r.cfg.DecodeStep + time.Duration(n-1)*r.cfg.DecodePerSeq
		r.decodeStepTime = w.duration
	}
	if f, on := r.faults.Consume(FaultSlow, ""); on && f.Factor > 0 {
		w.duration = time.Duration(float64(w.duration) * f.Factor)
	}
	return w
}

// prefillChunk returns how many prompt tokens to prefill before the next decode step. With nothing to
// decode, as on a prefill engine, a larger chunk delays no other sequence.
func (r *run) prefillChunk(w batchStep) float64 {
	limit := float64(r.cfg.PrefillChunk)
	if len(w.decode) == 0 {
		limit = maxPrefillBatchTokens
	}
	remaining := 0.0
	for _, s := range w.prefill {
		remaining += s.prefillLeft
	}
	return min(limit, remaining)
}

// fillBatch moves queued sequences into the batch in the order of compareInQueue.
func (r *run) fillBatch(now time.Time) {
	slices.SortStableFunc(r.queue, (*sequence).compareInQueue)
	for len(r.queue) > 0 && len(r.batch) < r.cfg.MaxBatch {
		s := r.queue[0]
		r.queue = r.queue[1:]
		r.startSequence(s, now)
		r.batch = append(r.batch, s)
	}
}

// startSequence computes how many prompt tokens remain to be prefilled after cache hits. A fetched KV
// cache is imported concurrently with the batch if that is quicker than prefilling.
func (r *run) startSequence(s *sequence, now time.Time) {
	cached := r.cache.hits(s.blocks) * httpapi.BlockTokens
	remaining := float64(s.promptTokens() - cached)
	compute := remaining / r.cfg.PrefillRate
	transfer := float64(kvBytes(s.req)) / float64(r.cfg.KVRate)
	if r.kvFetched[s] && transfer < compute {
		s.importedAt = now.Add(time.Duration(transfer * float64(time.Second)))
		remaining = 0
	}
	// The last prompt token is always computed, as its output is the first token of the answer.
	s.prefillLeft = max(1, remaining)
	delete(r.kvFetched, s)
}

func (r *run) dropCancelled() {
	isCancelled := func(s *sequence) bool {
		if s.ctx.Err() == nil {
			return false
		}
		delete(r.kvFetched, s)
		s.end(aborted)
		return true
	}
	r.queue = slices.DeleteFunc(r.queue, isCancelled)
	r.batch = slices.DeleteFunc(r.batch, isCancelled)
}

// apply updates the sequences and the cache after a step.
func (r *run) apply(w batchStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, drop := r.faults.Consume(FaultDropEvents, "")
	for _, s := range w.prefill {
		done := min(s.prefillLeft, w.tokens)
		s.prefillLeft -= done
		w.tokens -= done
		if s.prefillLeft == 0 {
			r.cache.add(s.blocks, drop)
		}
	}
	for _, s := range w.decode {
		s.emitToken()
	}
	r.batch = slices.DeleteFunc(r.batch, (*sequence).endIfDone)
}

// emitToken generates the next token, unless the sequence ended during the step, for example because
// of a role change.
func (s *sequence) emitToken() {
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

// endIfDone ends the sequence as finished if no work remains, and reports whether it did.
func (s *sequence) endIfDone() bool {
	if s.prefillLeft > 0 {
		return false
	}
	if !s.prefillOnly && s.pos < s.req.MaxTokens {
		return false
	}
	s.end(finished)
	return true
}

func kvBytes(req *httpapi.Generate) int64 {
	if req.KV == nil {
		return 0
	}
	return req.KV.Bytes
}
