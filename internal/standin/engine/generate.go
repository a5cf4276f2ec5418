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
	maxAttempts    = 50_000 // attempts kept for GET /attempts
	kvFetchTimeout = time.Second
)

// Attempt is one attempt that the engine accepted.
type Attempt struct {
	ID          string    `json:"id"`
	Fingerprint uint64    `json:"fingerprint"` // of the prompt
	StartedAt   time.Time `json:"begun"`
}

// AttemptsAnswer is the response body of GET /attempts.
type AttemptsAnswer struct {
	Attempts []Attempt `json:"attempts"`
}

func (r *run) serveAttempts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	httpjson.Write(w, AttemptsAnswer{Attempts: r.attempts})
}

// admit decodes a request and queues it. If the engine refuses it, admit answers with the reason and
// returns nil.
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
	kvFetched := g.KV != nil && r.fetchKV(req.Context(), g.KV)
	r.mu.Lock()
	reason := r.refusalReason(s)
	if reason == "" {
		r.enqueue(s, kvFetched)
	}
	r.mu.Unlock()
	if reason != "" {
		httpjson.Refuse(w, http.StatusServiceUnavailable, reason, "")
		return nil
	}
	if r.poisoned(g.Prompt) {
		r.crash()
		httpjson.Abort()
	}
	r.wakeLoop()
	return s
}

func (r *run) enqueue(s *sequence, kvFetched bool) {
	r.arrivals++
	s.arrival = r.arrivals
	r.queue = append(r.queue, s)
	if kvFetched {
		r.kvFetched[s] = true
	}
	r.attempts = append(r.attempts, Attempt{
		ID: s.req.Attempt, Fingerprint: xxhash.Sum64(s.req.Prompt), StartedAt: time.Now(),
	})
	if len(r.attempts) > maxAttempts {
		r.attempts = r.attempts[len(r.attempts)-maxAttempts:]
	}
}

// refusalReason returns why the engine can't run the sequence, or an empty string.
func (r *run) refusalReason(s *sequence) string {
	switch {
	case r.ctx.Err() != nil:
		return "down"
	case r.roleChanges > 0:
		return "changing"
	case s.prefillOnly && r.role == driver.RoleDecode, !s.prefillOnly && r.role == driver.RolePrefill:
		return "wrong-role"
	case len(r.cfg.Loaded) > 0 && !r.isLoaded(s):
		return "not-loaded"
	case len(r.queue) >= r.cfg.MaxQueue:
		return "queue-full"
	}
	return ""
}

// isLoaded reports whether the model version is loaded and, if the sequence names an adapter, whether
// any version of that adapter is loaded for the model.
func (r *run) isLoaded(s *sequence) bool {
	model := driver.Loaded{Model: s.req.Model, Version: s.req.Version}
	if !slices.Contains(r.loaded, model) {
		return false
	}
	return s.req.Adapter == "" || slices.ContainsFunc(r.loaded, func(l driver.Loaded) bool {
		return l.Model == s.req.Model && l.Adapter == s.req.Adapter
	})
}

// fetchKV fetches an exported KV cache from the engine that retains it, and reports whether that
// succeeded. If not, this engine prefills the prompt itself.
func (r *run) fetchKV(ctx context.Context, h *driver.KVHandle) bool {
	ctx, cancel := context.WithTimeout(ctx, kvFetchTimeout)
	defer cancel()
	return postExpectOK(ctx, "http://"+h.Endpoint+httpapi.PathKV+h.ID) == nil
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
	httpjson.Write(w, r.retainKV(httpapi.Tokens(s.req.Prompt)))
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
			r.sendToken(out, t)
		case <-s.done:
			r.finishStream(out, s)
			return
		}
	}
}

// finishStream ends the stream of a sequence that has left the batch. It aborts the connection at once
// if the sequence was aborted, and after the remaining tokens if it was exported.
func (r *run) finishStream(out *lineWriter, s *sequence) {
	if s.outcome == aborted {
		httpjson.Abort()
	}
	for len(s.tokens) > 0 {
		r.sendToken(out, <-s.tokens)
	}
	if s.outcome == exported {
		httpjson.Abort()
	}
	out.writeEnd()
}

func (r *run) sendToken(out *lineWriter, t driver.Token) {
	if f, on := r.faults.Peek(FaultCutStream, ""); on && out.tokens >= int(f.Factor) {
		r.faults.Consume(FaultCutStream, "")
		httpjson.Abort()
	}
	if _, on := r.faults.Consume(FaultCrossed, ""); on {
		t.Attempt = "another-attempt"
	}
	out.writeToken(t)
}

// lineWriter writes the NDJSON lines of a generate answer.
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

func (l *lineWriter) writeToken(t driver.Token) {
	_ = l.enc.Encode(httpapi.StreamLine{Attempt: t.Attempt, Pos: t.Pos, Text: t.Text})
	l.flush()
	_, _ = l.sum.Write(t.Text)
	l.tokens++
}

func (l *lineWriter) writeEnd() {
	_ = l.enc.Encode(httpapi.StreamLine{
		Attempt: l.attempt, End: true, Tokens: l.tokens, Sum: l.sum.Sum64(),
	})
	l.flush()
}
