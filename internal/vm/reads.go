package vm

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

// minEndpointReadPause is the minimum time between two reads of the endpoints' entries that are made on demand.
const minEndpointReadPause = 50 * time.Millisecond

// endpointReads has the endpoints' entries read on demand. Calls that wait at the same time share a read.
type endpointReads struct {
	clock clock.Clock
	wake  func() // has the next read begin

	mu     sync.Mutex
	sentAt clock.Time    // the newest read that succeeded
	done   chan struct{} // closed and replaced when a read has succeeded
}

// record records that a read sent at sentAt has succeeded and been applied.
func (r *endpointReads) record(sentAt clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt = sentAt
	close(r.done)
	r.done = make(chan struct{})
}

func (r *endpointReads) newest() (sentAt clock.Time, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentAt, r.done
}

// read waits for a read that is sent after the call. It returns false if there is none before ctx ends.
func (r *endpointReads) read(ctx context.Context) bool {
	since := r.clock.Now()
	last, _ := r.newest()
	if !clock.Sleep(ctx, minEndpointReadPause-since.Sub(last)) {
		return false
	}
	for {
		sentAt, next := r.newest()
		if sentAt >= since {
			return true
		}
		r.wake()
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}
