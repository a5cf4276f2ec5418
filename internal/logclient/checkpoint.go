package logclient

import (
	"time"

	"fescuestand/internal/fold"
)

// CheckpointDue reports whether a new checkpoint of a stream should be written, given its newest
// checkpoint, the progress of reading and the current time.
//
// Failure: the accepted sheet or a holding was written once and its record expires, so a process
// that starts later can't get it. A checkpoint is due when the newest one is older than maxAge. As
// the retention isn't known here, it is also due when the newest one is in the older half of the
// records that the log still retains.
func CheckpointDue(last fold.CheckpointPosition, p Progress, now time.Time, maxAge time.Duration) bool {
	if p.End <= 1 {
		return false
	}
	if last.Offset == 0 {
		return true
	}
	if now.Sub(last.Time) >= maxAge && p.End-1 > 0 {
		return true
	}
	expires := p.First > 1
	return expires && last.Offset < p.First+(p.End-p.First)/2
}
