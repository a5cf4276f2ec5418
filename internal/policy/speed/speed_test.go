package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var prior = Coefficients{Fixed: 30 * time.Millisecond, PerToken: 10 * time.Microsecond, PerPair: 0.15}

// unlike are engines that have little in common: a fast one, a slow one, and one
// whose long prompts take most of their time for attention.
var unlike = map[string]Coefficients{
	"fast":      {Fixed: 8 * time.Millisecond, PerToken: 2 * time.Microsecond, PerPair: 0.02},
	"slow":      {Fixed: 90 * time.Millisecond, PerToken: 70 * time.Microsecond, PerPair: 0.6},
	"attention": {Fixed: 20 * time.Millisecond, PerToken: 5 * time.Microsecond, PerPair: 2},
}

// play answers prompts as engines with the given figures do, and returns the mean
// error of the predictions of the last hundred, as a share.
func play(m *Model, f Coefficients, prompts int, spoil func(i int, took time.Duration) time.Duration) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	off, counted := 0.0, 0.0
	for i := range prompts {
		fresh, cached := 100+int(rng.ExpFloat64()*3000), rng.IntN(2)*rng.IntN(15_000)
		took := f.Fixed + f.Work(fresh, cached)
		got := m.Coefficients().Fixed + m.Coefficients().Work(fresh, cached)
		if i >= prompts-100 {
			off += math.Abs(float64(got-took)) / float64(took)
			counted++
		}
		noise := 1 + 0.05*rng.NormFloat64()
		m.Observe(fresh, cached, spoil(i, time.Duration(noise*float64(took))))
	}
	return off / counted
}

func asItIs(_ int, took time.Duration) time.Duration { return took }

// A deployment's engines are twenty times slower than another's. Predicted by the
// other's figures, each of their prompts came that much late.
func TestUnlikeEnginesArePredicted(t *testing.T) {
	for name, f := range unlike {
		before := play(New(prior), f, 100, func(int, time.Duration) time.Duration { return 0 })
		off := play(New(prior), f, 400, asItIs)
		assert.Assert(t, off < 0.1 && off < before/3, "%s: off by %.2f, %.2f before", name, off, before)
	}
}

// One answer in ten comes late by a second, as its engine fails or another VM's
// prompt was before it. The others still say how fast the engines are.
func TestAFewLateAnswersDoNotCount(t *testing.T) {
	late := func(i int, took time.Duration) time.Duration {
		if i%10 == 0 {
			took += time.Second
		}
		return took
	}
	for name, f := range unlike {
		off := play(New(prior), f, 600, late)
		assert.Assert(t, off < 0.25, "%s: off by %.2f", name, off)
	}
}

// Engines are replaced by others of another kind. What the old ones taught is
// forgotten within some hundred answers.
func TestReplacedEnginesAreLearnedAnew(t *testing.T) {
	m := New(prior)
	play(m, unlike["fast"], 1000, asItIs)
	off := play(m, unlike["slow"], 1500, asItIs)
	assert.Assert(t, off < 0.15, "off by %.2f", off)
}

// All prompts are of one size: many figures explain them, and the prior decides.
func TestPromptsOfOneSizeHaveASolution(t *testing.T) {
	m := New(prior)
	for range 1000 {
		m.Observe(2000, 0, 100*time.Millisecond)
	}
	got := m.Coefficients().Fixed + m.Coefficients().Work(2000, 0)
	assert.Assert(t, got > 95*time.Millisecond && got < 105*time.Millisecond, "%s", got)
}

func TestAMedianIgnoresHowLateTheLatestAre(t *testing.T) {
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
