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

// Every calls step once per period until ctx ends and returns ctx.Err(). A step that takes longer
// than a period delays the next one; missed periods are skipped.
func Every(ctx context.Context, period time.Duration, step func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			step()
		}
	}
}
