package scenarios

import (
	"slices"
	"strconv"
	"time"

	"fescuestand/platform/standin"
)

const (
	// limitDuration is how long an endpoint announces a limit, and limitPropagation the time after which all VMs
	// that send to it must keep the limit.
	limitDuration    = 11 * time.Second
	limitPropagation = 3 * time.Second
	// limitWindow is the length of the sliding window in which requests are counted.
	limitWindow = 4 * time.Second
	// An endpoint may receive limitTolerance times its limit plus limitBurst requests in a window.
	limitTolerance = 1.5
	limitBurst     = 5
	// leaveOutage is how long the store is unavailable while endpoints announce that they are leaving.
	leaveOutage = 7 * time.Second
	// rejectDuration is how long an endpoint rejects requests with a Retry-After delay of retryAfterSeconds.
	// maxRequestsPerVM is how many requests each VM may send to it in that time: the first one that is
	// rejected, those in flight at that moment, and one after the delay.
	rejectDuration    = 3 * time.Second
	retryAfterSeconds = "2.5"
	maxRequestsPerVM  = 3
)

// limitPeriod is a limit that an endpoint announced, and when.
type limitPeriod struct {
	endpoint  string
	perSecond float64
	from, to  time.Time
}

// setLimits makes endpoints of each service announce limits: small ones, 0, a negative one and one that
// isn't a number.
func (s *soak) setLimits() {
	from := time.Now()
	var chosen []*soakEndpoint
	for service, limits := range map[string][]string{"m": {"4.5", "0", "many"}, "s": {"3", "-1"}, "t": {"3"}} {
		for i, e := range s.stayingEndpoints(service) {
			if i == len(limits) {
				break
			}
			e.SetLimit(limits[i])
			chosen = append(chosen, e)
			if n, err := strconv.ParseFloat(limits[i], 64); err == nil && n >= 0 {
				s.limits = append(s.limits, limitPeriod{e.ID, n, from, from.Add(limitDuration)})
			}
		}
	}
	time.Sleep(limitDuration)
	for _, e := range chosen {
		e.SetLimit("")
	}
}

// stayingEndpoints returns the endpoints of a service that are neither leaving nor removed, oldest first.
func (s *soak) stayingEndpoints(service string) []*soakEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*soakEndpoint
	for n := range s.started {
		e := s.endpoints[s.endpointID(n+1)]
		if e.Service == service && !e.draining && !e.removed {
			list = append(list, e)
		}
	}
	return list
}

// checkLimits checks the rate of requests to each endpoint while it announced a limit.
func (s *soak) checkLimits() {
	for _, l := range s.limits {
		var arrivals []time.Time
		for _, a := range s.ledger.Arrivals() {
			if a.Endpoint == l.endpoint && a.At.After(l.from.Add(limitPropagation)) && a.At.Before(l.to) && s.faultFree(a.At) {
				arrivals = append(arrivals, a.At)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		peak, first := 0, 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) > limitWindow {
				first++
			}
			peak = max(peak, i-first+1)
		}
		allowed := int(limitTolerance*limitWindow.Seconds()*l.perSecond) + limitBurst
		if peak > allowed {
			s.addViolation("%s announced a limit of %g requests a second and received %d in %s, allowed %d", l.endpoint, l.perSecond, peak, limitWindow, allowed)
		}
	}
}

// announceLeaving makes one endpoint of each service leave during an outage of the store, so that only
// the answers of the endpoint announce it. It starts replacements after the outage.
func (s *soak) announceLeaving() {
	s.setStoreDown(true)
	time.Sleep(reportInterval)
	var leaving []*soakEndpoint
	for _, service := range []string{"m", "s", "t"} {
		e := s.stayingEndpoints(service)[0]
		e.AnnounceLeaving()
		leaving = append(leaving, e)
		s.announced = append(s.announced, e.Endpoint)
	}
	time.Sleep(leaveOutage)
	s.setStoreDown(false)
	for _, e := range leaving {
		s.addEndpoint(e.Service, e.Stage)
		s.mu.Lock()
		e.draining = true
		s.mu.Unlock()
		s.wg.Go(func() {
			time.Sleep(drainTime)
			s.removeEndpoint(e)
		})
	}
}

// checkAnnouncedLeaving checks that endpoints received no more requests after their answers had
// announced that they are leaving.
func (s *soak) checkAnnouncedLeaving() {
	announcedAt := map[string]time.Time{}
	for _, e := range s.announced {
		if at := e.LeavingAnnouncedAt(); !at.IsZero() {
			announcedAt[e.ID] = at
		}
	}
	for _, a := range s.ledger.Arrivals() {
		at, leaving := announcedAt[a.Endpoint]
		if leaving && a.At.Sub(at) > reactionBound && s.faultFree(a.At) {
			s.addViolation("%q %s reached %s %s after its answers announced that it is leaving", a.ID, a.Path, a.Endpoint, a.At.Sub(at))
		}
	}
}

// rejection is the time in which an endpoint rejected all requests.
type rejection struct {
	endpoint string
	from, to time.Time
}

// rejectRequests makes one endpoint of each service reject requests with a Retry-After delay.
func (s *soak) rejectRequests() {
	from := time.Now()
	var chosen []*standin.Endpoint
	for _, service := range []string{"m", "s", "t"} {
		e := s.stayingEndpoints(service)[0]
		e.SetRetryAfter(retryAfterSeconds)
		chosen = append(chosen, e.Endpoint)
	}
	time.Sleep(rejectDuration)
	for _, e := range chosen {
		e.SetRetryAfter("")
		s.rejections = append(s.rejections, rejection{e.ID, from, from.Add(rejectDuration)})
	}
}

// checkRetryAfter checks how many requests endpoints received while they rejected all with a Retry-After
// delay.
func (s *soak) checkRetryAfter() {
	for _, w := range s.rejections {
		var arrivals []time.Time
		for _, a := range s.ledger.Arrivals() {
			if a.Endpoint == w.endpoint && a.At.After(w.from) && a.At.Before(w.to) && s.faultFree(a.At) {
				arrivals = append(arrivals, a.At)
			}
		}
		if allowed := soakVMs * maxRequestsPerVM; len(arrivals) > allowed {
			s.addViolation("%s sent a retry delay and received %d requests in %s, allowed %d", w.endpoint, len(arrivals), rejectDuration, allowed)
		}
	}
}
