package catalog

import "time"

// servicePriorities are the priorities and targets of the routes that lead to a service.
type servicePriorities struct {
	lowest, highest int
	targets         map[int]time.Duration // shortest target by priority; routes without a target have none
}

// prioritiesOf returns the priorities of the routes by service.
func prioritiesOf(routes []*Route) map[string]*servicePriorities {
	out := map[string]*servicePriorities{}
	for _, r := range routes {
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			p := out[s.Service]
			if p == nil {
				p = &servicePriorities{r.Priority, r.Priority, map[int]time.Duration{}}
				out[s.Service] = p
			}
			p.lowest, p.highest = min(p.lowest, r.Priority), max(p.highest, r.Priority)
			if t, known := p.targets[r.Priority]; r.LatencyTarget > 0 && (!known || r.LatencyTarget < t) {
				p.targets[r.Priority] = r.LatencyTarget
			}
		}
	}
	return out
}

// HasPriorities reports whether routes of different priority lead to a service.
func (c *Config) HasPriorities(service string) bool {
	p := c.priorities[service]
	return p != nil && p.lowest != p.highest
}
