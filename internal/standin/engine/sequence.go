package engine

import (
	"context"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/oracle"
)

// outcome is how a sequence left the batch.
type outcome int

const (
	finished outcome = iota // all tokens made, or the prefill is done
	exported                // its KV cache was exported; the stream ends unfinished
	cut                     // a role change or crash took it
)

// sequence is one attempt in the batch or the queue.
type sequence struct {
	ctx         context.Context
	req         *httpapi.Generate
	completion  oracle.Completion
	prefillOnly bool
	pieces      []pieceKey
	order       uint64    // of arrival
	prefillLeft float64   // prompt tokens
	imported    time.Time // when the import of its KV cache is over
	pos         int       // next token to make
	tokens      chan driver.Token
	done        chan struct{} // closed when it left
	outcome     outcome
}

func newSequence(ctx context.Context, req *httpapi.Generate, prefillOnly bool) *sequence {
	return &sequence{
		ctx:         ctx,
		req:         req,
		completion:  oracle.New(req.Model, req.Version, req.Adapter, req.Prompt, req.Seed),
		prefillOnly: prefillOnly,
		pieces:      pieceKeys(req),
		pos:         req.FirstPosition,
		// Buffered for the whole answer: a slow reader must not stop the batch.
		tokens: make(chan driver.Token, max(0, req.MaxTokens-req.FirstPosition)+1),
		done:   make(chan struct{}),
	}
}

func (s *sequence) promptTokens() int {
	return httpapi.Tokens(s.req.Prompt) + s.req.FirstPosition
}

func (s *sequence) leave(o outcome) {
	s.outcome = o
	close(s.done)
}

// before orders the queue: higher priority first, then by arrival.
func (s *sequence) before(t *sequence) int {
	if s.req.Priority != t.req.Priority {
		return t.req.Priority - s.req.Priority
	}
	return int(int64(s.order) - int64(t.order))
}
