// Package clock provides the monotonic clock that measures the lifetime of leases.
//
// Go's monotonic clock is CLOCK_MONOTONIC, which does not advance while a VM is suspended. A lease
// holder that used it would assume after a suspension that its expired lease is still valid.
// CLOCK_BOOTTIME includes the time of the suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of a monotonic clock, in nanoseconds since an arbitrary start. Readings from
// different machines can't be compared.
type Time int64

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Clock is a monotonic clock.
type Clock interface {
	Now() Time
}

// Boot is the machine's boot-time clock, CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock. It panics if the kernel has no CLOCK_BOOTTIME (Linux before 2.6.39), because
// the expiry of leases could not be measured then.
func (Boot) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Manual is a clock for tests that always reads T; a test advances it by setting T.
type Manual struct{ T Time }

// Now implements Clock.
func (m *Manual) Now() Time { return m.T }
