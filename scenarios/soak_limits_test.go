package scenarios

import (
	"slices"
	"strconv"
	"time"
)

const (
	// limitFor is how long an endpoint names a limit, and limitKnown after how long all
	// VMs that send to it must keep it.
	limitFor   = 11 * time.Second
	limitKnown = 3 * time.Second
	// limitWindow is the span in which requests are counted.
	limitWindow = 4 * time.Second
	// limitFactor times the limit, and limitExtra requests, may come in it.
	limitFactor = 1.5
	limitExtra  = 5
)

// limited is a limit that an endpoint named.
type limited struct {
	endpoint  string
	perSecond float64
	from, to  time.Time
}

// limit has endpoints of each service name limits: one a small one, one none at all, and one
// something that isn't a number.
func (s *soak) limit() {
	from := time.Now()
	var named []*soakEndpoint
	for service, limits := range map[string][]string{"m": {"4.5", "0", "many"}, "s": {"3", "-1"}, "t": {"3"}} {
		for i, e := range s.serving(service) {
			if i == len(limits) {
				break
			}
			e.SetLimit(limits[i])
			named = append(named, e)
			if n, err := strconv.ParseFloat(limits[i], 64); err == nil && n >= 0 {
				s.limits = append(s.limits, limited{e.ID, n, from, from.Add(limitFor)})
			}
		}
	}
	time.Sleep(limitFor)
	for _, e := range named {
		e.SetLimit("")
	}
}

// serving returns the endpoints of a service that stay, in the order of their starts.
func (s *soak) serving(service string) []*soakEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*soakEndpoint
	for n := range s.next {
		e := s.endpoints[endpointID(n+1)]
		if e.Service == service && !e.draining && !e.gone {
			list = append(list, e)
		}
	}
	return list
}

// checkLimits counts what came to each endpoint while it named a limit.
func (s *soak) checkLimits() {
	for _, l := range s.limits {
		var came []time.Time
		for _, a := range s.ledger.Arrivals() {
			if a.Endpoint == l.endpoint && a.At.After(l.from.Add(limitKnown)) && a.At.Before(l.to) && s.calm(a.At) {
				came = append(came, a.At)
			}
		}
		slices.SortFunc(came, time.Time.Compare)
		most, first := 0, 0
		for i, at := range came {
			for at.Sub(came[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		allowed := int(limitFactor*limitWindow.Seconds()*l.perSecond) + limitExtra
		if most > allowed {
			s.complain("%s named %g requests a second and got %d in %s, allowed %d", l.endpoint, l.perSecond, most, limitWindow, allowed)
		}
	}
}
