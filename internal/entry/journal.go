package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/driver"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// journal reads and writes the commits stream of the log service.
type journal struct {
	log    *logclient.Client
	stream string
}

// Append implements commit.Journal.
func (j *journal) Append(ctx context.Context, e *wire.Entry) (uint64, error) {
	r, err := j.log.Append(ctx, j.stream, e)
	var codeErr *code.Error
	if errors.As(err, &codeErr) && codeErr.Run == code.NotRun {
		return 0, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	return r.Offset, err
}

// readyPollInterval is the interval of the checks whether the stream was read to its end.
const readyPollInterval = 50 * time.Millisecond

// tailInto applies the commits stream to the table, from the oldest retained offset on.
//
// Failure: a process that has just started receives a resend of a key whose first request it has
// not read from the log yet, and runs it again. Therefore the table becomes ready only after
// awaitCaughtUp has seen that the stream was read up to where the log ended at the start. Records
// that expired unread are older than any key that may still run.
func (j *journal) tailInto(ctx context.Context, t *commit.Table) error {
	return j.log.Tail(ctx, j.stream, 1, func(items []logclient.Item) error {
		for i := range items {
			if it := &items[i]; it.Entry != nil {
				t.Apply(&commit.Record{Offset: it.Offset, Time: it.Time, Writer: it.Writer, Entry: it.Entry})
			}
		}
		return nil
	})
}

func (j *journal) awaitCaughtUp(ctx context.Context, t *commit.Table) error {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !j.log.Progress(j.stream).CaughtUp {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	t.SetReady()
	return nil
}
