// Package speed learns how fast the engines of a service are.
//
// Load pattern: requests are placed by the predicted time of their first events. A
// deployment's engines may be several times faster or slower than another's, read
// long prompts more slowly for each token than short ones, and take a fixed time
// beside. Predicted by the figures of other engines, prompts are sent into queues
// that are longer than they look, or are refused though there was time.
//
// So the time of a prefill is a fixed part, a part for each token that is read, and
// one for each pair of tokens that attention compares. The three figures follow from
// the answers of prompts that hardly waited, by least squares that forget, and from a
// rough prior that a few dozen answers outweigh.
//
// The package does no I/O and reads no clock.
package speed

import (
	"time"
)

// Coefficients of an engine's prefill.
type Coefficients struct {
	Fixed    time.Duration // between the end of a prefill and its answer, with the exchange's own
	PerToken time.Duration // to read a token
	PerPair  float64       // nanoseconds for a pair of tokens of one prompt
}

// Work is the time in which the engine reads fresh tokens after cached ones; it can
// do nothing else meanwhile.
func (f Coefficients) Work(fresh, cached int) time.Duration {
	return time.Duration(fresh)*f.PerToken + time.Duration(pairs(fresh, cached)*f.PerPair)
}

// pairs is how many pairs of tokens attention compares.
func pairs(fresh, cached int) float64 {
	n := float64(fresh)
	return n * (float64(cached) + n/2)
}

const (
	// priorWeight is how many answers of a usual prompt the prior counts as, and
	// usualTokens is that prompt.
	priorWeight = 4
	usualTokens = 4000
	// keep is what an answer leaves of the weight of those before it: the last two
	// hundred count.
	keep = 0.995
	// surprise is how far an answer may be from the prediction, as a share of it,
	// and surpriseBase what it may be beside: what is further off is an engine that
	// fails, or another VM's prompt before it.
	surprise     = 0.5
	surpriseBase = 10 * time.Millisecond
)

// The units in which figures are solved for, so that they are of one size.
const (
	tokenUnit = 1e3 // tokens
	pairUnit  = 1e6 // pairs
)

// Model learns the figures of one service's engines of one stage. Its zero value
// isn't usable. It isn't safe for concurrent use.
type Model struct {
	least   squares
	figures Coefficients
}

// New returns a model that begins with prior.
func New(prior Coefficients) *Model {
	at := features(usualTokens, 0)
	m := &Model{figures: prior}
	m.least = newSquares(vector{
		prior.Fixed.Seconds(), prior.PerToken.Seconds() * tokenUnit, prior.PerPair * pairUnit / float64(time.Second),
	}, vector{priorWeight * at[0] * at[0], priorWeight * at[1] * at[1], priorWeight * at[2] * at[2]})
	return m
}

// Coefficients returns what is known.
func (m *Model) Coefficients() Coefficients { return m.figures }

// Observe takes the time from the sending of a prompt that hardly waited to its
// answer.
func (m *Model) Observe(fresh, cached int, took time.Duration) {
	expected := m.figures.Fixed + m.figures.Work(fresh, cached)
	off := time.Duration(surprise*float64(expected)) + surpriseBase
	took = min(max(took, expected-off), expected+off)
	m.least.add(features(fresh, cached), took.Seconds())
	x := m.least.solve()
	m.figures = Coefficients{
		Fixed:    seconds(x[0]),
		PerToken: max(seconds(x[1]/tokenUnit), time.Nanosecond),
		PerPair:  max(x[2], 0) / pairUnit * float64(time.Second),
	}
}

func features(fresh, cached int) vector {
	return vector{1, float64(fresh) / tokenUnit, pairs(fresh, cached) / pairUnit}
}

func seconds(s float64) time.Duration { return max(time.Duration(s*float64(time.Second)), 0) }

// MedianEstimate follows the median of a time, whatever the largest ones are.
type MedianEstimate struct {
	now, step time.Duration
}

// NewMedianEstimate returns a median that begins at start and moves by step with each value.
func NewMedianEstimate(start, step time.Duration) MedianEstimate { return MedianEstimate{start, step} }

// Add takes a value.
func (m *MedianEstimate) Add(v time.Duration) {
	if v > m.now {
		m.now += m.step
	} else {
		m.now = max(m.now-m.step, 0)
	}
}

// Value returns the median.
func (m *MedianEstimate) Value() time.Duration { return m.now }
