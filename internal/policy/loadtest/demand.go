package loadtest

import "fescuestand/internal/clock"

// demandGain is the weight of the newest sample in the estimates of output
// length and of the computed share of prompts.
const demandGain = 0.02

// demand measures arrivals as the entries do together.
type demand struct {
	output   []float64 // mean output tokens of each class
	computed float64
	sum      Arrivals
}

func newDemand(cfg Config) demand {
	d := demand{computed: 1}
	for _, c := range cfg.Workload.Classes() {
		d.output = append(d.output, float64(c.Output))
	}
	return d
}

func (d *demand) arrived(q *Request) {
	d.sum.Requests++
	d.sum.PromptTokens += float64(q.Prompt)
	d.sum.OutputTokens += d.output[q.Class]
}

func (d *demand) finished(q *Request) {
	d.output[q.Class] += demandGain * (float64(q.Output) - d.output[q.Class])
}

func (d *demand) prefilled(prompt, computed int) {
	d.computed += demandGain * (float64(computed)/float64(prompt) - d.computed)
}

// close returns the sums of the last second.
func (d *demand) close(now clock.Time) Arrivals {
	a := d.sum
	a.At = now
	a.UncachedShare = d.computed
	d.sum = Arrivals{}
	return a
}
