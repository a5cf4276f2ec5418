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

// journal is the commits stream of the log service.
type journal struct {
	log    *logclient.Client
	stream string
}

// Append implements commit.Journal.
func (j *journal) Append(ctx context.Context, e *wire.Entry) (uint64, error) {
	r, err := j.log.Append(ctx, j.stream, e)
	var numbered *code.Error
	if errors.As(err, &numbered) && numbered.Run == code.NotRun {
		return 0, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	return r.Offset, err
}

// readyCheck is the pause between two looks whether the stream was read to its
// end.
const readyCheck = 50 * time.Millisecond

// follow feeds the commits stream to the table from the oldest offset kept.
//
// Failure: a process that has just started takes a resend of a key whose first
// sending it has not read yet, and runs it again. So the table is ready only
// once the end of the log, as seen at the start, was reached. Records that
// expired unread are older than any key that may still run.
func (j *journal) follow(ctx context.Context, t *commit.Table) error {
	return j.log.Tail(ctx, j.stream, 1, func(items []logclient.Item) error {
		for i := range items {
			if it := &items[i]; it.Entry != nil {
				t.Apply(&commit.Record{Offset: it.Offset, Time: it.Time, Writer: it.Writer, Entry: it.Entry})
			}
		}
		return nil
	})
}

func (j *journal) awaitEnd(ctx context.Context, t *commit.Table) error {
	tick := time.NewTicker(readyCheck)
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
