package place

import (
	"time"

	"fescuestand/internal/catalog"
)

// The weights of what a choice costs others.
const (
	// leastBurden weighs the work of a prefill against the request's own wait.
	// Without it a prompt goes to an idle engine that has none of it cached,
	// and under load every engine reads every shared part again. The weight
	// grows by one for each enginesPerBurden engines up to mostBurden: a shared
	// part is soon cached at each of six, and waiting for one of them is
	// waiting behind a sixth of all prompts; forty-five would read it forty-five
	// times.
	leastBurden      = 1
	enginesPerBurden = 6
	mostBurden       = 4
	// streamBurden weighs it at a decode engine for each stream that runs there:
	// every one of them stands still while a chunk of the prompt is read, and
	// the longer they take the more of them there are.
	streamBurden = 0.08
	// coldCredit is the part of a shared prefix's prefill time by which its
	// preferred engine is favoured while nobody has it cached.
	coldCredit = 0.5
	// minShared is the length from which a shared part is worth steering for:
	// a few milliseconds of prefill.
	minShared = 256
)

// burden is what a prefill costs others: those who come after it, and at a decode
// engine the streams that run there, whose tokens it delays. engines is how many
// could do it.
func (s *state) burden(work time.Duration, engines, streams int) time.Duration {
	weight := min(leastBurden+float64(engines)/enginesPerBurden, mostBurden)
	if s.ep.Stage == catalog.Decode {
		weight = max(weight, streamBurden*float64(streams))
	}
	return time.Duration(weight * float64(work))
}

// credit favours the engine that all VMs prefer for the prompt's longest shared
// prefix, while the prefix isn't cached there.
func (p *Planner) credit(s *state, pr *Prompt, cached int, preferred *state) time.Duration {
	if s != preferred {
		return 0
	}
	shared := pr.SharedTokens() - cached
	if shared < minShared {
		return 0
	}
	return time.Duration(coldCredit * float64(p.speeds.figures(s.ep).Work(shared, cached)))
}
