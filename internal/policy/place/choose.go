package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// group is a set of endpoints with the same work.
type group struct {
	service string
	stage   catalog.Stage
}

func groupOf(s *endpointState) group { return group{s.ep.Service, s.ep.Stage} }

// sendMeter measures the requests a second that this VM sends to a group, with exponentially decaying weights.
type sendMeter struct {
	at   clock.Time
	rate float64
}

func (m *sendMeter) add(now clock.Time, n float64) {
	m.rate *= math.Exp(-now.Sub(m.at).Seconds() / demandSpan.Seconds())
	m.rate += n / demandSpan.Seconds()
	m.at = now
}

// countSend counts a request that is sent to s.
func (p *Planner) countSend(now clock.Time, s *endpointState) {
	m := p.sends[groupOf(s)]
	if m == nil {
		m = &sendMeter{at: now}
		p.sends[groupOf(s)] = m
	}
	m.add(now, 1)
}

// changesPerSend is how many changes of the endpoints' loads aren't reported yet for each request that the other
// VMs have sent since their reports: about as many requests have ended. In simulations of 60 VMs before eight
// endpoints at two thirds of their load, 1 and 5 gave more rejections than 2 and 3.
const changesPerSend = 2

// unreported estimates how many changes of the loads in the group of s aren't in the reports of the other VMs
// yet, if they send as many requests as this VM.
func (p *Planner) unreported(now clock.Time, s *endpointState) float64 {
	m := p.sends[groupOf(s)]
	if m == nil || len(p.peers) == 0 {
		return 0
	}
	m.add(now, 0)
	var ages time.Duration
	for _, r := range p.peers {
		if age := now.Sub(r.at); age <= maxPeerReportAge {
			ages += age
		}
	}
	return changesPerSend * m.rate * ages.Seconds()
}

// choice is an endpoint to choose from.
type choice struct {
	index int
	load  float64 // the lowest one is the best, by what is known
	step  float64 // by which one more request raises it
}

// choose returns the index of an endpoint: of the one with the lowest load if nothing is unreported, or else of a
// random one, with the probabilities with which as many requests as are unreported would make the loads of those
// that may be chosen equal. If each VM chose the endpoint that has the lowest load by the last reports, all
// would choose the same one until the next reports. list must not be empty; it is reordered.
func (p *Planner) choose(list []choice, unreported float64) int {
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(a.load, b.load) })
	if unreported == 0 {
		return list[0].index
	}
	var level, sum, perLevel float64
	n := 0
	for n < len(list) && (n == 0 || list[n].load < level) {
		sum += list[n].load / list[n].step
		perLevel += 1 / list[n].step
		n++
		level = (unreported + sum) / perLevel
	}
	draw := p.randomShare() * unreported
	for _, c := range list[:n] {
		if draw -= (level - c.load) / c.step; draw < 0 {
			return c.index
		}
	}
	return list[0].index
}

// randomShare returns a pseudo-random number from 0 to 1.
func (p *Planner) randomShare() float64 { return float64(p.random()) / (1 << 31) }
