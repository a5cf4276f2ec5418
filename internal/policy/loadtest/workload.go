package loadtest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Class describes one class of requests. Prompt and Output are means of log-normal distributions
// with LengthSigma.
type Class struct {
	Name         string
	Prompt       int // tokens, the shared prefix included
	Prefix       int // tokens shared by all requests of one key
	Output       int // tokens
	Deadline     time.Duration
	FirstToken   time.Duration // objective
	BetweenToken time.Duration // objective for the mean time between tokens of one answer
	Priority     int           // as set in the sheet; a higher one is served first
}

// LengthSigma is the log-normal sigma of prompt and output lengths: two thirds of the lengths are
// within a factor of 1.5 of the median.
const LengthSigma = 0.4

// Request is one request of a caller. Policies must not read Output, as a real entry can't tell an
// answer's length in advance.
type Request struct {
	ID       int
	Class    int
	Caller   int
	Key      uint64 // identifies the shared prefix
	Prompt   int    // tokens
	Prefix   int    // tokens
	Output   int    // tokens
	Priority int    // engines serve a higher one first; admission may set it
	Arrive   clock.Time
	Deadline clock.Time

	failures int  // attempts that failed with their engine
	ended    bool // answered, refused or past its deadline
	job      *job // the latest attempt
}

// Swing is a periodic change of the long class's share of the work, measured in engine seconds.
// The share stays at Low for Hold, rises to High within Ramp, stays there for Hold and falls back
// within Ramp.
type Swing struct {
	Low, High  float64
	Hold, Ramp time.Duration
}

// At returns the long class's share at t.
func (s Swing) At(t time.Duration) float64 {
	period := 2 * (s.Hold + s.Ramp)
	if period == 0 {
		return s.Low
	}
	t %= period
	switch {
	case t < s.Hold:
		return s.Low
	case t < s.Hold+s.Ramp:
		return s.Low + (s.High-s.Low)*ratio(t-s.Hold, s.Ramp)
	case t < 2*s.Hold+s.Ramp:
		return s.High
	default:
		return s.High - (s.High-s.Low)*ratio(t-2*s.Hold-s.Ramp, s.Ramp)
	}
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// Burst multiplies the arrival rate by Factor, from At on for Duration.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
}

// Workload describes the requests offered to the pool. Swing shifts the mix between the classes
// Short and Long.
type Workload struct {
	Short, Long Class
	// Load is the ratio of the offered work to the pool's capacity, assuming the best split of
	// roles and no cache hits.
	Load           float64
	Swing          Swing
	Bursts         []Burst
	Callers        int
	HotCallerShare float64       // share of the requests that caller 0 sends
	Keys           int           // number of shared prefixes
	HotKeyShare    float64       // share of the requests with key 0
	Length         time.Duration // requests arrive from the start until then
}

// Classes returns the classes in the order of Request.Class.
func (w Workload) Classes() []Class { return []Class{w.Short, w.Long} }

// arrivalRates returns the requests per second of each class at time t.
func (w Workload) arrivalRates(m EngineModel, engines int, t time.Duration) [2]float64 {
	work := w.Load * float64(engines)
	for _, b := range w.Bursts {
		if t >= b.At && t < b.At+b.Duration {
			work *= b.Factor
		}
	}
	long := w.Swing.At(t)
	return [2]float64{
		work * (1 - long) / m.engineSeconds(w.Short),
		work * long / m.engineSeconds(w.Long),
	}
}

// Generate returns the requests of a seed in order of arrival.
func (w Workload) Generate(seed uint64, m EngineModel, engines int) []*Request {
	rng := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rng, 1.1, 8, uint64(max(w.Keys, 1)-1))
	var all []*Request
	for c, class := range w.Classes() {
		all = append(all, w.generateClass(rng, zipf, m, engines, c, class)...)
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return int(a.Arrive - b.Arrive) })
	for i, r := range all {
		r.ID = i
	}
	return all
}

// generateClass samples a Poisson process of varying rate by thinning.
func (w Workload) generateClass(rng *rand.Rand, zipf *rand.Zipf, m EngineModel, engines, c int, class Class) []*Request {
	peak := w.Load * float64(engines) / m.engineSeconds(class)
	for _, b := range w.Bursts {
		peak = max(peak, b.Factor*w.Load*float64(engines)/m.engineSeconds(class))
	}
	var out []*Request
	t := time.Duration(0)
	for {
		t += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if t >= w.Length {
			return out
		}
		accepted := rng.Float64() < w.arrivalRates(m, engines, t)[c]/peak
		r := w.sampleRequest(rng, zipf, c, class, clock.Time(t))
		if accepted {
			out = append(out, r)
		}
	}
}

func (w Workload) sampleRequest(rng *rand.Rand, zipf *rand.Zipf, c int, class Class, at clock.Time) *Request {
	r := &Request{
		Class:    c,
		Caller:   rng.IntN(max(w.Callers, 1)),
		Key:      zipf.Uint64(),
		Prefix:   class.Prefix,
		Arrive:   at,
		Deadline: at.Add(class.Deadline),
	}
	r.Prompt = class.Prefix + sampleLength(rng, class.Prompt-class.Prefix)
	r.Output = sampleLength(rng, class.Output)
	if rng.Float64() < w.HotCallerShare {
		r.Caller = 0
	}
	if rng.Float64() < w.HotKeyShare {
		r.Key = 0
	}
	return r
}

// sampleLength samples a length in tokens with the given mean. It is limited to four times the
// mean, as by a caller's token limit.
func sampleLength(rng *rand.Rand, mean int) int {
	mu := math.Log(float64(mean)) - LengthSigma*LengthSigma/2
	n := int(math.Exp(mu + LengthSigma*rng.NormFloat64()))
	return min(max(n, 1), 4*mean)
}
