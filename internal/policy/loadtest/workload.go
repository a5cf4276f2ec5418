package loadtest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Class describes the requests of one kind. Lengths are means of a log-normal
// distribution with LengthSpread.
type Class struct {
	Name         string
	Prompt       int // tokens, the shared prefix included
	Prefix       int // tokens shared by all requests of one key
	Output       int // tokens
	Deadline     time.Duration
	FirstToken   time.Duration // objective
	BetweenToken time.Duration // objective for the mean gap of one answer
	Priority     int           // that the sheet gives: higher first
}

// LengthSpread is the log-normal sigma of prompt and output lengths: two
// thirds of the requests lie within a factor of 1.5 of the median.
const LengthSpread = 0.4

// Request is one caller's request. Policies must not read Output: no entry
// knows an answer's length in advance.
type Request struct {
	ID       int
	Class    int
	Caller   int
	Key      uint64 // of the shared prefix
	Prompt   int
	Prefix   int
	Output   int
	Priority int // engines serve a higher one first; admission may set it
	Arrive   clock.Time
	Deadline clock.Time

	attempts int
	ended    bool // answered, refused or given up by its caller
	job      *job // the latest attempt
}

// Swing is the share of the work, in engine seconds, that comes from the long
// class: Low, then a ramp up to High, held, and a ramp back.
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

// Burst multiplies the arrivals by Factor from At on for For.
type Burst struct {
	At, Duration time.Duration
	Factor  float64
}

// Workload is the arrivals offered to the pool. Short and Long are the two
// classes between which the mix swings.
type Workload struct {
	Short, Long Class
	// Load is the offered work over the pool's capacity with the best split
	// of roles and no cache hit.
	Load      float64
	Swing     Swing
	Bursts    []Burst
	Callers   int
	HotCallerShare float64 // share of the requests that caller 0 sends
	Keys      int
	HotKeyShare    float64 // share of the requests on key 0
	Length    time.Duration
}

// Classes returns the classes in the order of Request.Class.
func (w Workload) Classes() []Class { return []Class{w.Short, w.Long} }

// rates returns the requests per second of each class at t.
func (w Workload) rates(m EngineModel, engines int, t time.Duration) [2]float64 {
	work := w.Load * float64(engines)
	for _, b := range w.Bursts {
		if t >= b.At && t < b.At+b.Duration {
			work *= b.Factor
		}
	}
	long := w.Swing.At(t)
	return [2]float64{
		work * (1 - long) / m.cost(w.Short),
		work * long / m.cost(w.Long),
	}
}

// Generate returns the requests in order of arrival.
func (w Workload) Generate(seed uint64, m EngineModel, engines int) []*Request {
	rng := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rng, 1.1, 8, uint64(max(w.Keys, 1)-1))
	var all []*Request
	for c, class := range w.Classes() {
		all = append(all, w.class(rng, zipf, m, engines, c, class)...)
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return int(a.Arrive - b.Arrive) })
	for i, r := range all {
		r.ID = i
	}
	return all
}

// class draws a Poisson process of varying rate by thinning.
func (w Workload) class(rng *rand.Rand, zipf *rand.Zipf, m EngineModel, engines, c int, class Class) []*Request {
	peak := w.Load * float64(engines) / m.cost(class)
	for _, b := range w.Bursts {
		peak = max(peak, b.Factor*w.Load*float64(engines)/m.cost(class))
	}
	var out []*Request
	t := time.Duration(0)
	for {
		t += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if t >= w.Length {
			return out
		}
		keep := rng.Float64() < w.rates(m, engines, t)[c]/peak
		r := w.draw(rng, zipf, c, class, clock.Time(t))
		if keep {
			out = append(out, r)
		}
	}
}

func (w Workload) draw(rng *rand.Rand, zipf *rand.Zipf, c int, class Class, at clock.Time) *Request {
	r := &Request{
		Class:    c,
		Caller:   rng.IntN(max(w.Callers, 1)),
		Key:      zipf.Uint64(),
		Prefix:   class.Prefix,
		Arrive:   at,
		Deadline: at.Add(class.Deadline),
	}
	r.Prompt = class.Prefix + logNormal(rng, class.Prompt-class.Prefix)
	r.Output = logNormal(rng, class.Output)
	if rng.Float64() < w.HotCallerShare {
		r.Caller = 0
	}
	if rng.Float64() < w.HotKeyShare {
		r.Key = 0
	}
	return r
}

// logNormal draws a length of the given mean, cut at four times the mean as a
// caller's limit on tokens would.
func logNormal(rng *rand.Rand, mean int) int {
	mu := math.Log(float64(mean)) - LengthSpread*LengthSpread/2
	n := int(math.Exp(mu + LengthSpread*rng.NormFloat64()))
	return min(max(n, 1), 4*mean)
}
