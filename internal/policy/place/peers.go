package place

import (
	"time"

	"fescuestand/internal/clock"
)

// Report is one VM's count of what it has outstanding at one endpoint.
type Report struct {
	Endpoint uint32        // its Key
	PendingWork  time.Duration // prefill work
	Running  int
}

// peerReport is the newest report of a peer.
type peerReport struct {
	at clock.Time
	of map[uint32]Report

	demand Demand
}

// Running is how many requests are at an endpoint, as far as this VM knows.
func (p *Planner) Running(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, key := 0, Key(endpoint)
	if s := p.known[endpoint]; s != nil {
		n = s.running
	}
	for _, r := range p.peers {
		n += r.of[key].Running
	}
	return n
}

// Outstanding returns this VM's counts, for its peers.
func (p *Planner) Outstanding() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Report
	for _, s := range p.known {
		if s.running > 0 {
			out = append(out, Report{Endpoint: s.key(), PendingWork: s.outstanding(), Running: s.running})
		}
	}
	return out
}

// ReceiveReport takes a peer's counts and demand.
func (p *Planner) ReceiveReport(now clock.Time, vm string, reports []Report, d Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	of := make(map[uint32]Report, len(reports))
	for _, r := range reports {
		of[r.Endpoint] = r
	}
	p.peers[vm] = peerReport{now, of, d}
	for name, r := range p.peers {
		if now.Sub(r.at) > peerStale {
			delete(p.peers, name)
		}
	}
}

// RecordCached notes that a peer's request left parts cached at an endpoint.
func (p *Planner) RecordCached(endpoint uint32, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[p.keys[endpoint]]; s != nil {
		s.cache.add(parts)
	}
}

// Cache is what an engine is believed to have cached, the most recently used part
// first.
type Cache struct {
	Endpoint uint32 // its Key
	Parts    []Part
}

// Caches returns what this VM believes, for one that knows nothing yet: parts that
// are worth steering for.
func (p *Planner) Caches() []Cache {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Cache
	for _, s := range p.known {
		if parts := s.cache.parts(); len(parts) > 0 {
			out = append(out, Cache{s.key(), parts})
		}
	}
	return out
}

// CachedPartCount is how many parts the engine with the given id is believed to have
// cached, of those that are worth steering for.
func (p *Planner) CachedPartCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		return len(s.cache.parts())
	}
	return 0
}

// peerWork is the peers' outstanding work at the endpoint with the given Key.
func (p *Planner) peerWork(now clock.Time, key uint32) time.Duration {
	var sum time.Duration
	for _, r := range p.peers {
		if now.Sub(r.at) <= peerStale {
			sum += r.of[key].PendingWork
		}
	}
	return sum
}

func (p *Planner) peerRunning(now clock.Time, key uint32) int {
	n := 0
	for _, r := range p.peers {
		if now.Sub(r.at) <= peerStale {
			n += r.of[key].Running
		}
	}
	return n
}
