package replica

import (
	"context"
	"errors"

	"fescuestand/internal/code"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// errDone stops reading the stream when the condition is met.
var errDone = errors.New("done")

// ReadAccepted reads the config stream to its end and returns the accepted sheet and the newest
// verdicts.
func ReadAccepted(ctx context.Context, c *logclient.Client, stream string) (fold.AcceptedSheet, []*wire.Verdict, error) {
	f := fold.NewConfig(1)
	err := foldUntil(ctx, c, stream, f, func() bool { return c.Progress(stream).CaughtUp && f.Established() })
	if err != nil {
		return fold.AcceptedSheet{}, nil, code.Wrap(code.LogDown, err, "reading %s", stream)
	}
	return f.Current(), f.Verdicts(), nil
}

// Publish appends a sheet or patch entry, which has a base and a publish id, and returns the
// verdict that every reader of the log computes for it. An error with code.NotRun means that the
// publish isn't in the log and can never take effect; one with code.Unknown means that its verdict
// is still pending.
func Publish(ctx context.Context, c *logclient.Client, stream, id string, e *wire.Entry) (*wire.Verdict, error) {
	receipt, appendErr := c.Append(ctx, stream, e)
	if appendErr != nil && code.Of(appendErr).Run == code.NotRun {
		return nil, appendErr
	}
	readUpTo := receipt.Offset
	if appendErr != nil {
		readUpTo = appendBarrier(ctx, c, stream)
	}
	f := fold.NewConfig(1)
	err := foldUntil(ctx, c, stream, f, func() bool {
		return f.Established() && (f.Verdict(id) != nil || readUpTo > 0 && f.LastApplied() >= readUpTo)
	})
	if v := f.Verdict(id); v != nil {
		return v, nil
	}
	if err == nil && readUpTo > 0 {
		return nil, code.New(code.LogDown, "the publish did not reach the log and can't count any more")
	}
	return nil, code.Wrap(code.PublishUnknown, errors.Join(appendErr, err), "publish %s", id).WithRun(code.Unknown)
}

// appendBarrier appends an empty record after one whose answer was lost. If the empty record is
// read and the lost one was not read before it, the lost one can't take effect, as readers drop a
// record that appears after one of the same writer with a higher number. It returns 0 if its own
// answer is lost.
func appendBarrier(ctx context.Context, c *logclient.Client, stream string) uint64 {
	receipt, err := c.Append(ctx, stream, &wire.Entry{})
	if err != nil {
		return 0
	}
	return receipt.Offset
}

// foldUntil folds the stream until done returns true.
func foldUntil(ctx context.Context, c *logclient.Client, stream string, f *fold.Config, done func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.TailWith(ctx, stream, 1, func(items []logclient.Item) error {
		for _, it := range items {
			f.Apply(it)
		}
		return nil
	}, func() error {
		if done() {
			return errDone
		}
		return nil
	})
	if errors.Is(err, errDone) {
		return nil
	}
	return err
}

// ReadHoldings reads the control stream to its end and returns which process holds each engine.
func ReadHoldings(ctx context.Context, c *logclient.Client, stream string) ([]fold.Holding, error) {
	a := fold.NewAuthority(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.TailWith(ctx, stream, 1, func(items []logclient.Item) error {
		for _, it := range items {
			a.Apply(it)
		}
		return nil
	}, func() error {
		if a.Established() && c.Progress(stream).CaughtUp {
			return errDone
		}
		return nil
	})
	if !errors.Is(err, errDone) {
		return nil, code.Wrap(code.LogDown, err, "reading %s", stream)
	}
	return a.Holdings(), nil
}
