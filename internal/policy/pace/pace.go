// Package pace estimates how fast an endpoint works at this moment from the figures that it sends with
// its answers.
//
// Load pattern: other users of an endpoint's machine slow it for parts of a second at a time, for example
// 15 of 100 endpoints by a factor of 2.5 for 0.6 s each. Without the figures, an estimate from the times of
// answers follows an endpoint's average speed. It learns of a slowdown when it is over, and prompts wait at
// slowed endpoints while others are idle.
//
// Approach: the newest figure of each endpoint counts, and the less the older it is. Endpoints that send no
// figure are taken to work as usual.
//
// The package does no I/O and reads no clock.
package pace

import (
	"time"

	"fescuestand/internal/clock"
)

const (
	// Lifetime is how long a figure says something about an endpoint: slowdowns last about that long.
	Lifetime = 600 * time.Millisecond
	// minSlowdown and maxSlowdown bound the figures that are used. Others are errors of the endpoint: at
	// maxSlowdown a prompt of 50 ms takes longer than targets allow.
	minSlowdown = 0.1
	maxSlowdown = 20
)

// Valid reports whether a slowdown can be used. It isn't if it is out of bounds or not a number.
func Valid(slowdown float64) bool { return slowdown >= minSlowdown && slowdown <= maxSlowdown }

// Figure is the newest figure of an endpoint. The zero value is that of an endpoint that has sent none.
type Figure struct {
	slowdown float64 // 1 as usual, 2 if work takes twice as long, 0 if there is no figure
	at       clock.Time
}

// Record records that the endpoint's slowdown was as given at the time at, unless a newer figure is known.
// It returns false if the slowdown isn't valid, which leaves the figure as it is.
func (f *Figure) Record(at clock.Time, slowdown float64) bool {
	if !Valid(slowdown) {
		return false
	}
	if f.slowdown == 0 || at >= f.at {
		*f = Figure{slowdown, at}
	}
	return true
}

// Current returns the slowdown and its age at now. It returns false if there is no figure that says
// something about that time.
func (f *Figure) Current(now clock.Time) (slowdown float64, age time.Duration, ok bool) {
	age = max(now.Sub(f.at), 0)
	return f.slowdown, age, f.slowdown != 0 && age < Lifetime
}

// Slowdown returns the expected slowdown at now. It is 1 without a figure that says something about that
// time.
func (f *Figure) Slowdown(now clock.Time) float64 {
	slowdown, age, ok := f.Current(now)
	if !ok {
		return 1
	}
	return 1 + (slowdown-1)*persistence(age)
}

// Time returns the predicted time of work that begins at now and takes usual if the endpoint works as
// usual. A slowdown that is expected to end during the work counts until then only.
func (f *Figure) Time(now clock.Time, usual time.Duration) time.Duration {
	slowdown, age, ok := f.Current(now)
	if !ok || usual <= 0 {
		return usual
	}
	slowed := min(float64(usual)*slowdown, float64(Lifetime-age)/2) // time until the work or the slowdown ends
	return usual + time.Duration(persistence(age)*slowed*(1-1/slowdown))
}

// persistence returns the probability that an endpoint's slowdown is still the same after the given time. It
// falls linearly, as a figure comes from any moment of a slowdown that lasts for Lifetime.
func persistence(age time.Duration) float64 {
	return max(1-float64(age)/float64(Lifetime), 0)
}
