package logclient

import (
	"time"

	"fescuestand/internal/fold"
)

// CheckpointDue reports whether a stream's state should be written again, given
// its newest checkpoint, how far the stream was read and the log's time now.
//
// Failure: the accepted sheet or a holding was written once and its record
// expires; a process that starts afterwards can't know it. A checkpoint is due
// when the newest is old, and, since the retention isn't known here, also when
// it has come into the older half of the records that the log still keeps.
func CheckpointDue(last fold.CheckpointPosition, p Progress, now time.Time, every time.Duration) bool {
	if p.End <= 1 {
		return false
	}
	if last.Offset == 0 {
		return true
	}
	if now.Sub(last.Time) >= every && p.End-1 > 0 {
		return true
	}
	expires := p.First > 1
	return expires && last.Offset < p.First+(p.End-p.First)/2
}
