package scenarios

import (
	"slices"
	"strconv"
	"time"

	"fescuestand/platform/standin"
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
	// leaveFor is how long the store is away while endpoints leave.
	leaveFor = 7 * time.Second
	// awayFor is how long an endpoint turns requests away, asking for awayAsked seconds, and
	// awayMost is how many each VM may send it meanwhile: one that is turned away, those under
	// way then, and another one when the time is over.
	awayFor   = 3 * time.Second
	awayAsked = "2.5"
	awayMost  = 3
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

// leave has endpoints leave while the store is away, so that only their answers say so.
func (s *soak) leave() {
	s.setStoreDown(true)
	time.Sleep(soakBeat)
	var leaving []*soakEndpoint
	for _, service := range []string{"m", "s", "t"} {
		e := s.serving(service)[0]
		e.AnnounceLeaving()
		leaving = append(leaving, e)
		s.left = append(s.left, e.Endpoint)
	}
	time.Sleep(leaveFor)
	s.setStoreDown(false)
	for _, e := range leaving {
		s.addEndpoint(e.Service, e.Stage)
		s.mu.Lock()
		e.draining = true
		s.mu.Unlock()
		s.wg.Go(func() {
			time.Sleep(soakDrain)
			s.end(e)
		})
	}
}

// checkLeaving tells whether endpoints got work after their answers had said that they leave.
func (s *soak) checkLeaving() {
	said := map[string]time.Time{}
	for _, e := range s.left {
		if at := e.LeavingAnnouncedAt(); !at.IsZero() {
			said[e.ID] = at
		}
	}
	for _, a := range s.ledger.Arrivals() {
		at, leaves := said[a.Endpoint]
		if leaves && a.At.Sub(at) > soakBound && s.calm(a.At) {
			s.complain("%q %s reached %s %s after its answers said that it leaves", a.ID, a.Path, a.Endpoint, a.At.Sub(at))
		}
	}
}

// away is the time in which an endpoint turned all requests away.
type away struct {
	endpoint string
	from, to time.Time
}

// turnAway has one endpoint of each service turn requests away and ask for time.
func (s *soak) turnAway() {
	from := time.Now()
	var named []*standin.Endpoint
	for _, service := range []string{"m", "s", "t"} {
		e := s.serving(service)[0]
		e.SetRetryAfter(awayAsked)
		named = append(named, e.Endpoint)
	}
	time.Sleep(awayFor)
	for _, e := range named {
		e.SetRetryAfter("")
		s.away = append(s.away, away{e.ID, from, from.Add(awayFor)})
	}
}

// checkAway counts what came to endpoints that had asked for time.
func (s *soak) checkAway() {
	for _, w := range s.away {
		var came []time.Time
		for _, a := range s.ledger.Arrivals() {
			if a.Endpoint == w.endpoint && a.At.After(w.from) && a.At.Before(w.to) && s.calm(a.At) {
				came = append(came, a.At)
			}
		}
		if most := soakVMs * awayMost; len(came) > most {
			s.complain("%s asked for time and got %d requests in %s, allowed %d", w.endpoint, len(came), awayFor, most)
		}
	}
}
