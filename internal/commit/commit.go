// Package commit runs non-idempotent requests at most once.
//
// An intent record is appended to the log before a request is dispatched. The
// fold of the commits stream names one winner per idempotency key: the first
// intent that is not void, in log order. Only the writer of the winner may
// dispatch it, only after it has read its own intent back as the winner, and
// only for a bounded time. The outcome is recorded after that, so that the same
// key sent again through any entry gets the first outcome.
//
// At most one execution per key follows from the order of the log alone. No
// clock takes part in it: the time limits decide only how long a key waits.
package commit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// Request is one sending of a non-idempotent operation.
type Request struct {
	Key       string
	Issued    time.Time // of the key, as the caller states it
	Service   string
	Operation string
	Body      []byte
	// Resend says that the caller has sent the key before. Refusals that can't
	// see the log then say unknown, since the earlier sending may have run.
	Resend bool
}

// hash tells whether two sendings of a key ask for the same thing.
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
	Time   time.Time // set by the log service, monotone
	Writer string    // incarnation of the process that appended it
	Entry  *wire.Entry
}

// Journal appends to the commits stream. ErrNotSent and ErrRefused of package
// driver mean that the entry never gets into the log; any other error means
// that it may be there or may still appear.
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

// Dispatcher sends a commit to one endpoint of its service. It may try another
// endpoint only after ErrNotSent or ErrRefused, and asks permit before each.
// Its error wraps one of the errors of package driver that say how far the
// work got; an error that wraps none of them counts as sent.
type Dispatcher interface {
	Dispatch(ctx context.Context, c *Call, permit func() error) (body []byte, err error)
}
