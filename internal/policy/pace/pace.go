// Package pace estimates how fast an endpoint works at this moment from the figures that it sends with
// its answers.
//
// Load pattern: other users of an endpoint's machine slow it for parts of a second at a time, for example
// 15 of 100 endpoints by a factor of 2.5 for 0.6 s each. Without the figures, an estimate from the times of
// answers follows an endpoint's average speed. It learns of a slowdown when it is over, and prompts wait at
// slowed endpoints while others are idle.
//
// Approach: the newest figure of each endpoint counts, and the less the older it is, compared to what the
// endpoint sends at most times: some machines are lastingly faster or slower than others. Endpoints that send
// no figure are taken to work as usual.
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
	lasting  float64 // what the endpoint sends unless it is slowed for a moment, 0 for 1
}

// lastingStep is the factor by which a higher figure raises the lasting slowdown: ten figures in a row that are
// half as high again are taken for lasting.
const lastingStep = 1.05

// Record records that the endpoint's slowdown was as given at the time at, unless a newer figure is known.
// It returns false if the slowdown isn't valid, which leaves the figure as it is.
func (f *Figure) Record(at clock.Time, slowdown float64) bool {
	if !Valid(slowdown) {
		return false
	}
	if f.slowdown == 0 || at >= f.at {
		f.slowdown, f.at = slowdown, at
		f.learnLasting()
	}
	return true
}

// learnLasting adjusts the lasting slowdown to the newest figure. It follows a lower figure at once, as other users
// of a machine only slow an endpoint.
func (f *Figure) learnLasting() {
	f.lasting = min(f.Lasting()*lastingStep, f.slowdown)
}

// Lasting returns the slowdown that is expected if nothing is known of this moment. It is 1 without a figure.
func (f *Figure) Lasting() float64 {
	if f.lasting == 0 {
		return 1
	}
	return f.lasting
}

// Current returns the slowdown and its age at now. It returns false if there is no figure that says
// something about that time.
func (f *Figure) Current(now clock.Time) (slowdown float64, age time.Duration, ok bool) {
	age = max(now.Sub(f.at), 0)
	return f.slowdown, age, f.slowdown != 0 && age < Lifetime
}

// Slowdown returns the expected slowdown at now. It is the lasting one without a figure that says something
// about that time.
func (f *Figure) Slowdown(now clock.Time) float64 {
	slowdown, age, ok := f.Current(now)
	if !ok {
		return f.Lasting()
	}
	return f.Lasting() + (slowdown-f.Lasting())*persistence(age)
}

// Time returns the predicted time of work that begins at now and takes usual at a slowdown of 1. A slowdown of
// the moment that is expected to end during the work counts until then only.
func (f *Figure) Time(now clock.Time, usual time.Duration) time.Duration {
	lasting := time.Duration(float64(usual) * f.Lasting())
	slowdown, age, ok := f.Current(now)
	if !ok || usual <= 0 {
		return lasting
	}
	ratio := slowdown / f.Lasting()
	slowed := min(float64(lasting)*ratio, float64(Lifetime-age)/2) // time until the work or the slowdown ends
	return lasting + time.Duration(persistence(age)*slowed*(1-1/ratio))
}

// persistence returns the probability that an endpoint's slowdown is still the same after the given time. It
// falls linearly, as a figure comes from any moment of a slowdown that lasts for Lifetime.
func persistence(age time.Duration) float64 {
	return max(1-float64(age)/float64(Lifetime), 0)
}
