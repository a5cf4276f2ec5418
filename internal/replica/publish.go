package replica

import (
	"context"
	"errors"

	"fescuestand/internal/code"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// errDone ends a read of the stream that has found what it wanted.
var errDone = errors.New("done")

// ReadAccepted reads the config stream to its end and returns the accepted sheet
// with the newest verdicts.
func ReadAccepted(ctx context.Context, c *logclient.Client, stream string) (fold.AcceptedSheet, []*wire.Verdict, error) {
	f := fold.NewConfig(1)
	err := follow(ctx, c, stream, f, func() bool { return c.Progress(stream).CaughtUp && f.Established() })
	if err != nil {
		return fold.AcceptedSheet{}, nil, code.Wrap(code.LogDown, err, "reading %s", stream)
	}
	return f.Current(), f.Verdicts(), nil
}

// Publish appends a sheet or patch entry, which names its base and a publish
// id, and returns the verdict that every reader of the log gives it. An error
// with code.NotRun means that the publish is not in the log and never will
// count; with code.Unknown that its verdict is still to come.
func Publish(ctx context.Context, c *logclient.Client, stream, id string, e *wire.Entry) (*wire.Verdict, error) {
	receipt, appendErr := c.Append(ctx, stream, e)
	if appendErr != nil && code.Of(appendErr).Run == code.NotRun {
		return nil, appendErr
	}
	upto := receipt.Offset
	if appendErr != nil {
		upto = settle(ctx, c, stream)
	}
	f := fold.NewConfig(1)
	err := follow(ctx, c, stream, f, func() bool {
		return f.Established() && (f.Verdict(id) != nil || upto > 0 && f.LastApplied() >= upto)
	})
	if v := f.Verdict(id); v != nil {
		return v, nil
	}
	if err == nil && upto > 0 {
		return nil, code.New(code.LogDown, "the publish did not reach the log and can't count any more")
	}
	return nil, code.Wrap(code.PublishUnknown, errors.Join(appendErr, err), "publish %s", id).WithRun(code.Unknown)
}

// settle appends an empty record after one whose answer was lost. Once it is
// read and the lost one was not, the lost one is dead: readers drop a writer's
// records that come after a later one. It returns 0 if its own answer is lost.
func settle(ctx context.Context, c *logclient.Client, stream string) uint64 {
	receipt, err := c.Append(ctx, stream, &wire.Entry{})
	if err != nil {
		return 0
	}
	return receipt.Offset
}

// follow folds the stream until enough reports true.
func follow(ctx context.Context, c *logclient.Client, stream string, f *fold.Config, enough func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := c.TailWith(ctx, stream, 1, func(items []logclient.Item) error {
		for _, it := range items {
			f.Apply(it)
		}
		return nil
	}, func() error {
		if enough() {
			return errDone
		}
		return nil
	})
	if errors.Is(err, errDone) {
		return nil
	}
	return err
}

// ReadHoldings reads the control stream to its end and returns who has the
// authority over each engine.
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
