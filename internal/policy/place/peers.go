package place

import (
	"time"

	"fescuestand/internal/clock"
)

// Report is what one VM has outstanding at one endpoint.
type Report struct {
	Endpoint    uint32        // its Key
	PendingWork time.Duration // prefill work, at the endpoint's usual speed
	Running     int           // requests
}

// peerReport is the latest report of a peer.
type peerReport struct {
	at         clock.Time
	byEndpoint map[uint32]Report

	demand Demand
}

// Running returns the number of requests at an endpoint by the counts of this VM and its peers.
func (p *Planner) Running(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, key := 0, Key(endpoint)
	if s := p.endpoints[endpoint]; s != nil {
		n = s.running
	}
	for _, r := range p.peers {
		n += r.byEndpoint[key].Running
	}
	return n
}

// Outstanding returns this VM's reports for its peers.
func (p *Planner) Outstanding() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Report
	for _, s := range p.endpoints {
		if s.running > 0 {
			out = append(out, Report{Endpoint: s.key(), PendingWork: s.outstanding(), Running: s.running})
		}
	}
	return out
}

// ReceiveReport replaces a peer's reports and demand, and deletes those of peers that are too old.
func (p *Planner) ReceiveReport(now clock.Time, vm string, reports []Report, d Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byEndpoint := make(map[uint32]Report, len(reports))
	for _, r := range reports {
		byEndpoint[r.Endpoint] = r
	}
	p.peers[vm] = peerReport{now, byEndpoint, d}
	for name, r := range p.peers {
		if now.Sub(r.at) > maxPeerReportAge {
			delete(p.peers, name)
		}
	}
}

// RecordCached records that parts are cached at an endpoint, as reported by a peer or by the engine.
func (p *Planner) RecordCached(endpoint uint32, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[p.keys[endpoint]]; s != nil {
		s.cache.add(parts)
	}
}

// Cache is the estimate of what an engine has cached, with the most recently used part first.
type Cache struct {
	Endpoint uint32 // its Key
	Parts    []Part
}

// Caches returns this VM's estimates for a VM that has none yet. They contain the parts that are
// long enough to affect placement.
func (p *Planner) Caches() []Cache {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Cache
	for _, s := range p.endpoints {
		if parts := s.cache.largeParts(); len(parts) > 0 {
			out = append(out, Cache{s.key(), parts})
		}
	}
	return out
}

// CachedPartCount returns the estimated number of parts that the engine with the given ID has
// cached and that are long enough to affect placement.
func (p *Planner) CachedPartCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[id]; s != nil {
		return len(s.cache.largeParts())
	}
	return 0
}

// peerWork returns the peers' outstanding prefill work at the endpoint with the given Key.
func (p *Planner) peerWork(now clock.Time, key uint32) time.Duration {
	var sum time.Duration
	for _, r := range p.peers {
		if now.Sub(r.at) <= maxPeerReportAge {
			sum += r.byEndpoint[key].PendingWork
		}
	}
	return sum
}

// peerRunning returns the peers' running requests at the endpoint with the given Key.
func (p *Planner) peerRunning(now clock.Time, key uint32) int {
	n := 0
	for _, r := range p.peers {
		if now.Sub(r.at) <= maxPeerReportAge {
			n += r.byEndpoint[key].Running
		}
	}
	return n
}
