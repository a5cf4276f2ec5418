package catalog

// servicesWithPriorities returns the services to which routes of different priority lead.
func servicesWithPriorities(routes []*Route) map[string]bool {
	first := map[string]int{} // priority of a service's first route
	out := map[string]bool{}
	for _, r := range routes {
		for _, s := range r.Shares {
			if s.Weight <= 0 {
				continue
			}
			priority, known := first[s.Service]
			if !known {
				first[s.Service] = r.Priority
			} else if priority != r.Priority {
				out[s.Service] = true
			}
		}
	}
	return out
}

// HasPriorities reports whether routes of different priority lead to a service.
func (c *Config) HasPriorities(service string) bool { return c.hasPriorities[service] }
