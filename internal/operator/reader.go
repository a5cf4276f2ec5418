package operator

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
)

// configReader folds the config stream in the background.
type configReader struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	fold    *fold.Config
	changed chan struct{} // closed and renewed after each page
}

func followConfig(ctx context.Context, client *logclient.Client, stream string) *configReader {
	ctx, cancel := context.WithCancel(ctx)
	r := &configReader{cancel: cancel, done: make(chan struct{}), fold: fold.NewConfig(1), changed: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = client.Tail(ctx, stream, 1, r.apply)
	}()
	return r
}

func (r *configReader) stop() {
	r.cancel()
	<-r.done
}

func (r *configReader) apply(items []logclient.Item) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range items {
		r.fold.Apply(it)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// recheck is how often await looks again without a new record: that the
// stream was read to its end shows in the client and not in a record.
const recheck = 20 * time.Millisecond

// await waits until ok, which is called with the fold locked.
func (r *configReader) await(ctx context.Context, ok func() bool) error {
	for {
		r.mu.Lock()
		met, changed := ok(), r.changed
		r.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(recheck):
		}
	}
}
