package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

const (
	maxAttempts    = 50_000
	kvFetchTimeout = time.Second
)

// Attempt is one attempt that the engine took.
type Attempt struct {
	ID          string    `json:"id"`
	Fingerprint uint64    `json:"fingerprint"` // of the prompt
	StartedAt       time.Time `json:"begun"`
}

// AttemptsAnswer is the answer to GET /attempts.
type AttemptsAnswer struct {
	Attempts []Attempt `json:"attempts"`
}

func (r *run) serveAttempts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	httpjson.Write(w, AttemptsAnswer{Attempts: r.attempts})
}

// admit puts a request into the queue, or answers why not.
func (r *run) admit(w http.ResponseWriter, req *http.Request, prefillOnly bool) *sequence {
	var g httpapi.Generate
	if !httpjson.Read(w, req, &g) {
		return nil
	}
	if _, on := r.faults.Consume(FaultRefuse, ""); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, "refuse", "told to refuse")
		return nil
	}
	s := newSequence(req.Context(), &g, prefillOnly)
	fetchable := g.KV != nil && r.fetchKV(req.Context(), g.KV)
	r.mu.Lock()
	name := r.refusal(s)
	if name == "" {
		r.enqueue(s, fetchable)
	}
	r.mu.Unlock()
	if name != "" {
		httpjson.Refuse(w, http.StatusServiceUnavailable, name, "")
		return nil
	}
	if r.poisoned(g.Prompt) {
		r.crash()
		httpjson.Abort()
	}
	r.wakeLoop()
	return s
}

func (r *run) enqueue(s *sequence, fetchable bool) {
	r.arrivals++
	s.order = r.arrivals
	r.queue = append(r.queue, s)
	if fetchable {
		r.fetchable[s] = true
	}
	r.attempts = append(r.attempts, Attempt{
		ID: s.req.Attempt, Fingerprint: xxhash.Sum64(s.req.Prompt), StartedAt: time.Now(),
	})
	if len(r.attempts) > maxAttempts {
		r.attempts = r.attempts[len(r.attempts)-maxAttempts:]
	}
}

// refusal returns why the engine can't run the sequence, or nothing.
func (r *run) refusal(s *sequence) string {
	switch {
	case r.ctx.Err() != nil:
		return "down"
	case r.away > 0:
		return "changing"
	case s.prefillOnly && r.role == driver.RoleDecode, !s.prefillOnly && r.role == driver.RolePrefill:
		return "wrong-role"
	case len(r.cfg.Loaded) > 0 && !r.serves(s):
		return "not-loaded"
	case len(r.queue) >= r.cfg.MaxQueue:
		return "queue-full"
	}
	return ""
}

// serves tells whether the model version is loaded and, if the sequence names
// an adapter, any version of that on top of it.
func (r *run) serves(s *sequence) bool {
	model := driver.Loaded{Model: s.req.Model, Version: s.req.Version}
	if !slices.Contains(r.loaded, model) {
		return false
	}
	return s.req.Adapter == "" || slices.ContainsFunc(r.loaded, func(l driver.Loaded) bool {
		return l.Model == s.req.Model && l.Adapter == s.req.Adapter
	})
}

// fetchKV takes an exported KV cache over from the engine that holds it. An
// engine that can't get it computes it again.
func (r *run) fetchKV(ctx context.Context, h *driver.KVHandle) bool {
	ctx, cancel := context.WithTimeout(ctx, kvFetchTimeout)
	defer cancel()
	return postOK(ctx, "http://"+h.Endpoint+httpapi.PathKV+h.ID) == nil
}

func (r *run) servePrefill(w http.ResponseWriter, req *http.Request) {
	s := r.admit(w, req, true)
	if s == nil {
		return
	}
	<-s.done
	if s.outcome != finished {
		httpjson.Abort()
	}
	w.Header().Set(httpapi.HeaderAttempt, s.req.Attempt)
	httpjson.Write(w, r.hold(httpapi.Tokens(s.req.Prompt)))
}

func (r *run) serveGenerate(w http.ResponseWriter, req *http.Request) {
	s := r.admit(w, req, false)
	if s == nil {
		return
	}
	w.Header().Set(httpapi.HeaderAttempt, s.req.Attempt)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := newLineWriter(w, s.req.Attempt)
	out.flush()
	for {
		select {
		case t := <-s.tokens:
			r.send(out, t)
		case <-s.done:
			r.finishStream(out, s)
			return
		}
	}
}

// finishStream sends what is left of a sequence that has left the batch.
func (r *run) finishStream(out *lineWriter, s *sequence) {
	if s.outcome == cut {
		httpjson.Abort()
	}
	for len(s.tokens) > 0 {
		r.send(out, <-s.tokens)
	}
	if s.outcome == exported {
		httpjson.Abort()
	}
	out.end()
}

func (r *run) send(out *lineWriter, t driver.Token) {
	if f, on := r.faults.Peek(FaultCutStream, ""); on && out.tokens >= int(f.Factor) {
		r.faults.Consume(FaultCutStream, "")
		httpjson.Abort()
	}
	if _, on := r.faults.Consume(FaultCrossed, ""); on {
		t.Attempt = "another-attempt"
	}
	out.token(t)
}

// lineWriter writes the lines of a generate answer.
type lineWriter struct {
	enc     *json.Encoder
	ctl     *http.ResponseController
	attempt string
	sum     *xxhash.Digest
	tokens  int
}

func newLineWriter(w http.ResponseWriter, attempt string) *lineWriter {
	return &lineWriter{
		enc:     json.NewEncoder(w),
		ctl:     http.NewResponseController(w),
		attempt: attempt,
		sum:     xxhash.New(),
	}
}

func (l *lineWriter) flush() { _ = l.ctl.Flush() }

func (l *lineWriter) token(t driver.Token) {
	_ = l.enc.Encode(httpapi.StreamLine{Attempt: t.Attempt, Pos: t.Pos, Text: t.Text})
	l.flush()
	_, _ = l.sum.Write(t.Text)
	l.tokens++
}

func (l *lineWriter) end() {
	_ = l.enc.Encode(httpapi.StreamLine{
		Attempt: l.attempt, End: true, Tokens: l.tokens, Sum: l.sum.Sum64(),
	})
	l.flush()
}
