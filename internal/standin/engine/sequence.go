package engine

import (
	"context"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/oracle"
)

// outcome is how a sequence ended.
type outcome int

const (
	finished outcome = iota // all tokens generated, or the prefill is done
	exported                // KV cache exported; the stream ends unfinished
	aborted                 // ended by a role change, a crash or a cancelled request
)

// sequence is one attempt in the batch or the queue.
type sequence struct {
	ctx         context.Context
	req         *httpapi.Generate
	completion  oracle.Completion
	prefillOnly bool
	blocks      []blockKey
	arrival     uint64    // sequence number of its arrival
	prefillLeft float64   // prompt tokens still to prefill
	importedAt  time.Time // when the import of its KV cache is complete
	pos         int       // position of the next token to generate
	tokens      chan driver.Token
	done        chan struct{} // closed when the sequence ended
	outcome     outcome
}

func newSequence(ctx context.Context, req *httpapi.Generate, prefillOnly bool) *sequence {
	return &sequence{
		ctx:         ctx,
		req:         req,
		completion:  oracle.New(req.Model, req.Version, req.Adapter, req.Prompt, req.Seed),
		prefillOnly: prefillOnly,
		blocks:      blockKeys(req),
		pos:         req.FirstPosition,
		// Buffered for the whole answer, so that a slow reader does not block the batch.
		tokens: make(chan driver.Token, max(0, req.MaxTokens-req.FirstPosition)+1),
		done:   make(chan struct{}),
	}
}

func (s *sequence) promptTokens() int {
	return httpapi.Tokens(s.req.Prompt) + s.req.FirstPosition
}

func (s *sequence) end(o outcome) {
	s.outcome = o
	close(s.done)
}

// compareInQueue orders the queue by descending priority, then by arrival.
func (s *sequence) compareInQueue(t *sequence) int {
	if s.req.Priority != t.req.Priority {
		return t.req.Priority - s.req.Priority
	}
	return int(int64(s.arrival) - int64(t.arrival))
}
