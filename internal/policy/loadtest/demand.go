package loadtest

import "fescuestand/internal/clock"

// smoothingFactor is the weight of the newest sample in the moving averages of the output length
// and of the uncached share of prompts.
const smoothingFactor = 0.02

// demand measures the arrivals at all entries.
type demand struct {
	meanOutput    []float64 // estimated mean output tokens of each class
	uncachedShare float64   // estimated share of prompt tokens without a cache hit
	current       Arrivals  // sums of the current second
}

func newDemand(cfg Config) demand {
	d := demand{uncachedShare: 1}
	for _, c := range cfg.Workload.Classes() {
		d.meanOutput = append(d.meanOutput, float64(c.Output))
	}
	return d
}

func (d *demand) recordArrival(q *Request) {
	d.current.Requests++
	d.current.PromptTokens += float64(q.Prompt)
	d.current.OutputTokens += d.meanOutput[q.Class]
}

func (d *demand) recordOutput(q *Request) {
	d.meanOutput[q.Class] += smoothingFactor * (float64(q.Output) - d.meanOutput[q.Class])
}

func (d *demand) recordPrefill(prompt, uncached int) {
	d.uncachedShare += smoothingFactor * (float64(uncached)/float64(prompt) - d.uncachedShare)
}

// closeSecond returns the sums of the last second and resets them.
func (d *demand) closeSecond(now clock.Time) Arrivals {
	a := d.current
	a.At = now
	a.UncachedShare = d.uncachedShare
	d.current = Arrivals{}
	return a
}
