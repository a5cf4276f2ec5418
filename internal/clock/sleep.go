package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls step each period until ctx ends, and returns why it ended. A step that
// takes longer than a period delays the next one; missed ones are left out.
func Every(ctx context.Context, period time.Duration, step func()) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			step()
		}
	}
}
