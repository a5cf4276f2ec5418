package loadtest

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

// Clairvoyant is a role plan that reads the coming arrivals: lengths of answers
// and turns of the mix included. It pays for its changes as every plan does,
// but knows neither a price nor a ceiling. It is an upper bound in spirit, not
// by proof, since it splits greedily; compare against the best of several.
type Clairvoyant struct {
	// Window is the time ahead over which demand is averaged, Band the
	// distance in engines from the best split at which it moves one.
	Window time.Duration
	Band   float64
	// Lean weighs the demand on decode against that on prefill.
	Lean float64
	// Away bounds the engines that change at once.
	Away int

	model   EngineModel
	prompt  []float64 // tokens by second
	output  []float64
	planned []pending
}

type pending struct {
	engine int
	to     Role
}

// Clairvoyants are the plans from which a comparison takes the best.
func Clairvoyants() []Clairvoyant {
	return []Clairvoyant{
		{Window: 20 * time.Second, Band: 0.75, Away: 2, Lean: 1},
		{Window: 60 * time.Second, Band: 1.25, Away: 1, Lean: 1},
		{Window: 20 * time.Second, Band: 0.75, Away: 2, Lean: 1.2},
		{Window: 40 * time.Second, Band: 1.25, Away: 1, Lean: 1.2},
		{Window: 60 * time.Second, Band: 1.75, Away: 1, Lean: 1.2},
		{Window: 30 * time.Second, Band: 1, Away: 1, Lean: 1.4},
	}
}

// New returns the plan for one run.
func (c Clairvoyant) New(s Setup) RolePlanner {
	n := int((s.Config.Workload.Length+tail)/time.Second) + 1
	c.model = s.Config.Model
	c.prompt = make([]float64, n)
	c.output = make([]float64, n)
	for _, r := range s.Requests {
		at := int(time.Duration(r.Arrive) / time.Second)
		c.prompt[at] += float64(r.Prompt)
		c.output[at] += float64(r.Output)
	}
	return &c
}

// Plan implements RolePlan.
func (c *Clairvoyant) Plan(now clock.Time, v *View) []RoleChange {
	c.forget(v)
	prefill, decode := c.demand(now, v.Arrivals.UncachedShare)
	if prefill+decode == 0 || len(c.planned) >= c.Away {
		return nil
	}
	have, all := 0.0, 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State == Down || e.Role == Mixed {
			continue
		}
		all++
		if c.role(e) == Prefill {
			have++
		}
	}
	best := all * prefill / (prefill + decode)
	best = min(max(best, 1), all-1)
	switch {
	case best-have > c.Band:
		return c.move(v, Decode)
	case have-best > c.Band:
		return c.move(v, Prefill)
	}
	return nil
}

// demand returns the engines' worth of work that arrives in the window.
func (c *Clairvoyant) demand(now clock.Time, computed float64) (prefill, decode float64) {
	if computed == 0 {
		computed = 1
	}
	from := int(time.Duration(now) / time.Second)
	to := min(from+int(c.Window/time.Second), len(c.prompt))
	for i := from; i < to; i++ {
		prefill += c.prompt[i] * computed / c.model.PrefillRate
		decode += c.output[i] / c.model.DecodeRate()
	}
	return prefill, decode * c.Lean
}

func (c *Clairvoyant) role(e *EngineView) Role {
	for _, p := range c.planned {
		if p.engine == e.ID {
			return p.to
		}
	}
	return e.Role
}

// forget ends the changes that are through.
func (c *Clairvoyant) forget(v *View) {
	kept := c.planned[:0]
	for _, p := range c.planned {
		e := &v.Engines[p.engine]
		if e.State == Down || e.State == Ready && e.Role == p.to {
			continue
		}
		kept = append(kept, p)
	}
	c.planned = kept
}

// move takes the engine of a role with the least work.
func (c *Clairvoyant) move(v *View, from Role) []RoleChange {
	best, lowest := -1, math.MaxInt
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State != Ready || c.role(e) != from {
			continue
		}
		if n := e.Report.Running + e.Report.WaitingPrefill; n < lowest {
			best, lowest = i, n
		}
	}
	if best < 0 {
		return nil
	}
	to := Prefill
	if from == Prefill {
		to = Decode
	}
	c.planned = append(c.planned, pending{engine: best, to: to})
	return []RoleChange{{Engine: best, To: to}}
}
