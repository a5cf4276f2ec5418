// Package commit runs non-idempotent requests (commits) at most once.
//
// Problem: a caller that gets no answer retries its request, often through another entry, while the
// first request may still be running there.
//
// Approach:
//
//   - Each request carries an idempotency key. An intent record is appended to the log before the
//     request is dispatched.
//   - The fold of the commits stream determines one winner per key: the first intent in log order
//     that is not void.
//   - Only the writer of the winner may dispatch it, only after it has read its own intent back as
//     the winner, and only for a bounded time.
//   - The outcome is recorded afterwards, so that a retry with the same key through any entry gets
//     the first outcome.
//
// Guarantees: at most one execution per key follows from the log order alone and doesn't depend on
// clocks. The time limits only determine how long a key waits for its outcome.
package commit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// Request is one use of a non-idempotent operation: the first request with its key or a retry.
type Request struct {
	Key       string
	Issued    time.Time // when the caller says that it created the key
	Service   string
	Operation string
	Body      []byte
	// Resend says that the caller has sent the key before. A refusal that couldn't check the log
	// then says unknown, because the earlier request may have run.
	Resend bool
}

// hash identifies the operation and body, to detect a key that is reused for another request.
func (r *Request) hash() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Operation} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Answer is the result of a commit that ran.
type Answer struct {
	Code code.Code // OK, or CommitReplayed for a recorded outcome
	Body []byte
}

// Record is one entry of the commits stream, in log order.
type Record struct {
	Offset uint64
	Time   time.Time // set by the log service, never decreasing
	Writer string    // incarnation of the process that appended it
	Entry  *wire.Entry
}

// Journal appends to the commits stream. ErrNotSent and ErrRefused of package driver mean that the
// entry never gets into the log; after any other error it may be in the log or still be added
// later.
type Journal interface {
	Append(ctx context.Context, e *wire.Entry) (offset uint64, err error)
}

// Call is the dispatch of a commit.
type Call struct {
	Service   string
	Operation string
	Key       string
	Attempt   string
	Body      []byte
}

// Dispatcher sends a commit to one endpoint of its service. It may try another endpoint only after
// ErrNotSent or ErrRefused, and calls permit before each try. Its error wraps one of the errors of
// package driver that say how far the work got; an error that wraps none of them means that the
// commit may have been sent.
type Dispatcher interface {
	Dispatch(ctx context.Context, c *Call, permit func() error) (body []byte, err error)
}
