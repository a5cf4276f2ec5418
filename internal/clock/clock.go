// Package clock gives the monotone clock that leases are counted on.
//
// Go's monotonic clock is CLOCK_MONOTONIC, which stands still while a VM is
// suspended. A lease holder that counted on it would wake from a suspension
// and believe that its lapsed lease still runs. CLOCK_BOOTTIME counts the
// suspension too.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of a monotone clock: nanoseconds since an arbitrary start.
// Readings of different machines can't be compared.
type Time int64

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Clock reads a monotone clock.
type Clock interface {
	Now() Time
}

// Boot is the machine's CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock. It panics if the kernel has no CLOCK_BOOTTIME (Linux
// before 2.6.39), since no lease could be trusted then.
func (Boot) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Manual is a clock that moves only when told to, for tests.
type Manual struct{ T Time }

// Now implements Clock.
func (m *Manual) Now() Time { return m.T }
