package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var prior = Coefficients{Fixed: 30 * time.Millisecond, PerToken: 10 * time.Microsecond, PerPair: 0.15}

// engines are coefficients that differ widely: a fast engine, a slow one, and one that spends most
// of the time of long prompts on attention.
var engines = map[string]Coefficients{
	"fast":      {Fixed: 8 * time.Millisecond, PerToken: 2 * time.Microsecond, PerPair: 0.02},
	"slow":      {Fixed: 90 * time.Millisecond, PerToken: 70 * time.Microsecond, PerPair: 0.6},
	"attention": {Fixed: 20 * time.Millisecond, PerToken: 5 * time.Microsecond, PerPair: 2},
}

// meanError feeds m with answers of engines with the coefficients f, after distort has changed their
// times. It returns the mean relative error of the predictions for the last hundred prompts.
func meanError(m *Model, f Coefficients, prompts int, distort func(i int, took time.Duration) time.Duration) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	sum, counted := 0.0, 0.0
	for i := range prompts {
		fresh, cached := 100+int(rng.ExpFloat64()*3000), rng.IntN(2)*rng.IntN(15_000)
		took := f.Fixed + f.Work(fresh, cached)
		got := m.Coefficients().Fixed + m.Coefficients().Work(fresh, cached)
		if i >= prompts-100 {
			sum += math.Abs(float64(got-took)) / float64(took)
			counted++
		}
		noise := 1 + 0.05*rng.NormFloat64()
		m.Observe(fresh, cached, distort(i, time.Duration(noise*float64(took))))
	}
	return sum / counted
}

func undistorted(_ int, took time.Duration) time.Duration { return took }

// Guards against late first events at engines that are twenty times slower than those whose
// coefficients the predictions start with.
func TestPredictionsFitDifferentEngines(t *testing.T) {
	for name, f := range engines {
		baseline := meanError(New(prior), f, 100, func(int, time.Duration) time.Duration { return 0 })
		fitted := meanError(New(prior), f, 400, undistorted)
		assert.Assert(t, fitted < 0.1 && fitted < baseline/3, "%s: mean error %.2f, baseline %.2f", name, fitted, baseline)
	}
}

// Guards against outliers that spoil the estimate: one answer in ten is a second late, as its engine
// fails or another VM's prompt was ahead in the queue.
func TestOutliersBarelyAffectTheEstimate(t *testing.T) {
	late := func(i int, took time.Duration) time.Duration {
		if i%10 == 0 {
			took += time.Second
		}
		return took
	}
	for name, f := range engines {
		got := meanError(New(prior), f, 600, late)
		assert.Assert(t, got < 0.25, "%s: mean error %.2f", name, got)
	}
}

// Guards against an estimate that stays with the former engines after they were replaced by another
// type: their answers must be outweighed within some hundred new ones.
func TestEstimateAdaptsToReplacedEngines(t *testing.T) {
	m := New(prior)
	meanError(m, engines["fast"], 1000, undistorted)
	got := meanError(m, engines["slow"], 1500, undistorted)
	assert.Assert(t, got < 0.15, "mean error %.2f", got)
}

// Guards against a singular system when all prompts have the same size: many combinations of
// coefficients fit, and the prior makes the solution unique.
func TestPromptsOfOneSizeHaveAUniqueFit(t *testing.T) {
	m := New(prior)
	for range 1000 {
		m.Observe(2000, 0, 100*time.Millisecond)
	}
	got := m.Coefficients().Fixed + m.Coefficients().Work(2000, 0)
	assert.Assert(t, got > 95*time.Millisecond && got < 105*time.Millisecond, "%s", got)
}

func TestMedianEstimateIgnoresTheSizeOfOutliers(t *testing.T) {
	m := NewMedianEstimate(20*time.Millisecond, time.Millisecond)
	for i := range 300 {
		v := 40 * time.Millisecond
		if i%3 == 0 {
			v = time.Hour
		}
		m.Add(v)
	}
	assert.Assert(t, m.Value() >= 39*time.Millisecond && m.Value() <= 42*time.Millisecond, "%s", m.Value())
}
