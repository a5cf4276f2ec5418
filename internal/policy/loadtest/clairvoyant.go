package loadtest

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

// Clairvoyant is a role planner that reads the future arrivals, including the lengths of answers
// and the changes of the mix. Its role changes take as long as those of any planner, but it
// considers no cost of a change and has no limit on the number of changes. It approximates an
// upper bound but isn't a proven one, since it splits greedily; compare against the best of
// several variants.
type Clairvoyant struct {
	// Window is how far ahead demand is averaged.
	Window time.Duration
	// Deadband is the distance from the best split, in engines, above which an engine is
	// reassigned.
	Deadband float64
	// DecodeWeight is the weight of the decode demand relative to the prefill demand.
	DecodeWeight float64
	// MaxChanging is the maximum number of engines that change their role at once.
	MaxChanging int

	model          EngineModel
	promptTokens   []float64 // arrivals by second
	outputTokens   []float64 // arrivals by second
	pendingChanges []pendingChange
}

type pendingChange struct {
	engine int
	to     Role
}

// Clairvoyants returns the variants of which a comparison takes the best.
func Clairvoyants() []Clairvoyant {
	return []Clairvoyant{
		{Window: 20 * time.Second, Deadband: 0.75, MaxChanging: 2, DecodeWeight: 1},
		{Window: 60 * time.Second, Deadband: 1.25, MaxChanging: 1, DecodeWeight: 1},
		{Window: 20 * time.Second, Deadband: 0.75, MaxChanging: 2, DecodeWeight: 1.2},
		{Window: 40 * time.Second, Deadband: 1.25, MaxChanging: 1, DecodeWeight: 1.2},
		{Window: 60 * time.Second, Deadband: 1.75, MaxChanging: 1, DecodeWeight: 1.2},
		{Window: 30 * time.Second, Deadband: 1, MaxChanging: 1, DecodeWeight: 1.4},
	}
}

// New returns the planner for one run.
func (c Clairvoyant) New(s Setup) RolePlanner {
	runSeconds := int((s.Config.Workload.Length+drainTime)/time.Second) + 1
	c.model = s.Config.Model
	c.promptTokens = make([]float64, runSeconds)
	c.outputTokens = make([]float64, runSeconds)
	for _, r := range s.Requests {
		second := int(time.Duration(r.Arrive) / time.Second)
		c.promptTokens[second] += float64(r.Prompt)
		c.outputTokens[second] += float64(r.Output)
	}
	return &c
}

// Plan implements RolePlanner.
func (c *Clairvoyant) Plan(now clock.Time, v *View) []RoleChange {
	c.dropCompleted(v)
	prefill, decode := c.demand(now, v.Arrivals.UncachedShare)
	if prefill+decode == 0 || len(c.pendingChanges) >= c.MaxChanging {
		return nil
	}
	currentPrefill, engines := 0.0, 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State == Down || e.Role == Mixed {
			continue
		}
		engines++
		if c.plannedRole(e) == Prefill {
			currentPrefill++
		}
	}
	targetPrefill := engines * prefill / (prefill + decode)
	targetPrefill = min(max(targetPrefill, 1), engines-1)
	switch {
	case targetPrefill-currentPrefill > c.Deadband:
		return c.reassign(v, Decode)
	case currentPrefill-targetPrefill > c.Deadband:
		return c.reassign(v, Prefill)
	}
	return nil
}

// demand returns the prefill and decode work that arrives in the window, in engine seconds.
func (c *Clairvoyant) demand(now clock.Time, uncachedShare float64) (prefill, decode float64) {
	if uncachedShare == 0 {
		uncachedShare = 1
	}
	from := int(time.Duration(now) / time.Second)
	to := min(from+int(c.Window/time.Second), len(c.promptTokens))
	for i := from; i < to; i++ {
		prefill += c.promptTokens[i] * uncachedShare / c.model.PrefillRate
		decode += c.outputTokens[i] / c.model.DecodeRate()
	}
	return prefill, decode * c.DecodeWeight
}

// plannedRole returns the role of e after its pending change, if any.
func (c *Clairvoyant) plannedRole(e *EngineView) Role {
	for _, p := range c.pendingChanges {
		if p.engine == e.ID {
			return p.to
		}
	}
	return e.Role
}

// dropCompleted removes the pending changes that are complete or whose engine has crashed.
func (c *Clairvoyant) dropCompleted(v *View) {
	kept := c.pendingChanges[:0]
	for _, p := range c.pendingChanges {
		e := &v.Engines[p.engine]
		if e.State == Down || e.State == Ready && e.Role == p.to {
			continue
		}
		kept = append(kept, p)
	}
	c.pendingChanges = kept
}

// reassign changes the role of the least loaded engine of role from.
func (c *Clairvoyant) reassign(v *View, from Role) []RoleChange {
	best, lowest := -1, math.MaxInt
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State != Ready || c.plannedRole(e) != from {
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
	c.pendingChanges = append(c.pendingChanges, pendingChange{engine: best, to: to})
	return []RoleChange{{Engine: best, To: to}}
}
