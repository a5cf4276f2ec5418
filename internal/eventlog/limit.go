package eventlog

import (
	"time"

	"fescuestand/internal/clock"
)

const (
	// limitLines is the number of lines that a Limit allows in each limitPeriod. They show a few examples
	// of an event, whose number the line after them and a counter give.
	limitLines  = 5
	limitPeriod = time.Second
)

// Limit bounds the lines about one kind of event that other processes may cause as often as they send a
// message. The zero value is ready to use. It isn't safe for concurrent use.
type Limit struct {
	since   clock.Time // begin of the current period
	lines   int        // in that period
	leftOut int
}

// Allow reports whether a line may be written now, and if so how many were left out since the last one.
func (l *Limit) Allow(now clock.Time) (leftOut int, ok bool) {
	if l.lines == 0 || now.Sub(l.since) >= limitPeriod {
		l.since, l.lines = now, 0
	}
	if l.lines == limitLines {
		l.leftOut++
		return 0, false
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}
