// Package speed estimates how fast the engines of a service prefill prompts.
//
// Load pattern: requests are placed by the predicted time of their first events. The engines of one
// deployment may be several times faster or slower than those of another, take longer for each
// token of a long prompt than of a short one, and add a fixed time. With the coefficients of other
// engines, prompts are sent into queues that are longer than predicted, or are refused although
// there was time.
//
// Approach: the time of a prefill is modelled as a fixed part, a part for each token that is
// processed, and one for each pair of tokens that attention compares. The three coefficients are
// fitted to the answers of prompts that hardly waited, by least squares with exponential forgetting.
// A rough prior is outweighed after a few dozen answers.
//
// The package does no I/O and reads no clock.
package speed

import (
	"time"
)

// Coefficients of the cost model of an engine's prefill.
type Coefficients struct {
	Fixed    time.Duration // between the end of a prefill and its answer, including the exchange itself
	PerToken time.Duration // to process one token
	PerPair  float64       // nanoseconds for one pair of tokens of a prompt
}

// Work returns the time for which the engine is busy with the prefill of fresh tokens that follow
// cached ones. It can't do anything else meanwhile.
func (f Coefficients) Work(fresh, cached int) time.Duration {
	return time.Duration(fresh)*f.PerToken + time.Duration(pairs(fresh, cached)*f.PerPair)
}

// pairs returns the number of pairs of tokens that attention compares.
func pairs(fresh, cached int) float64 {
	n := float64(fresh)
	return n * (float64(cached) + n/2)
}

const (
	// priorWeight is the weight of the prior, in answers to a typical prompt of typicalTokens.
	priorWeight   = 4
	typicalTokens = 4000
	// forgetting is the factor by which each answer reduces the weight of the earlier ones: about
	// the last two hundred answers count.
	forgetting = 0.995
	// maxDeviation, as a share of the predicted time, plus deviationAllowance is the maximum by
	// which an answer may differ from the prediction; the rest is cut off. A larger difference comes
	// from an engine that fails or from another VM's prompt ahead in the queue.
	maxDeviation       = 0.5
	deviationAllowance = 10 * time.Millisecond
)

// The units of the regressors. They give the coefficients a similar magnitude.
const (
	tokenUnit = 1e3 // tokens
	pairUnit  = 1e6 // pairs
)

// Model estimates the coefficients of one service's engines of one stage. Its zero value isn't
// usable, and it isn't safe for concurrent use.
type Model struct {
	fit          leastSquares
	coefficients Coefficients
}

// New returns a model that starts with the coefficients of prior.
func New(prior Coefficients) *Model {
	x := regressors(typicalTokens, 0)
	m := &Model{coefficients: prior}
	m.fit = newLeastSquares(vector{
		prior.Fixed.Seconds(), prior.PerToken.Seconds() * tokenUnit, prior.PerPair * pairUnit / float64(time.Second),
	}, vector{priorWeight * x[0] * x[0], priorWeight * x[1] * x[1], priorWeight * x[2] * x[2]})
	return m
}

// Coefficients returns the current estimate.
func (m *Model) Coefficients() Coefficients { return m.coefficients }

// Observe updates the estimate with the time between sending a prompt that hardly waited in a queue
// and its answer.
func (m *Model) Observe(fresh, cached int, took time.Duration) {
	expected := m.coefficients.Fixed + m.coefficients.Work(fresh, cached)
	limit := time.Duration(maxDeviation*float64(expected)) + deviationAllowance
	took = min(max(took, expected-limit), expected+limit)
	m.fit.add(regressors(fresh, cached), took.Seconds())
	x := m.fit.solve()
	m.coefficients = Coefficients{
		Fixed:    seconds(x[0]),
		PerToken: max(seconds(x[1]/tokenUnit), time.Nanosecond),
		PerPair:  max(x[2], 0) / pairUnit * float64(time.Second),
	}
}

// regressors returns the vector whose product with the coefficients is the time of a prefill.
func regressors(fresh, cached int) vector {
	return vector{1, float64(fresh) / tokenUnit, pairs(fresh, cached) / pairUnit}
}

func seconds(s float64) time.Duration { return max(time.Duration(s*float64(time.Second)), 0) }

// MedianEstimate estimates the running median of a duration. Outliers move it no further than any
// other value.
type MedianEstimate struct {
	value, step time.Duration
}

// NewMedianEstimate returns an estimate that starts at start and moves by step with each value.
func NewMedianEstimate(start, step time.Duration) MedianEstimate { return MedianEstimate{start, step} }

// Add moves the estimate by one step towards v.
func (m *MedianEstimate) Add(v time.Duration) {
	if v > m.value {
		m.value += m.step
	} else {
		m.value = max(m.value-m.step, 0)
	}
}

// Value returns the estimate.
func (m *MedianEstimate) Value() time.Duration { return m.value }
