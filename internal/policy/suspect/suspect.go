// Package suspect decides which requests crash their engines and are given up.
//
// Load pattern: now and then one request crashes each engine that runs it, and
// its caller sends it again. Without a verdict the resends take the fleet down
// engine by engine; with a hasty one, the dozens of requests that shared an
// engine with the guilty one are given up too.
//
// A crash is evidence against every request that was on the engine, of a
// strength that says how likely it was that one. Of one crash only the
// strongest evidence counts, whichever entry it comes from: it explains the
// crash, and the weaker is void. A request that counts for one crash is a
// suspect and runs where no other suspect runs, so that a second crash points
// at one request. One that counts for two crashes is guilty, until the evidence
// expires. What entries know is joined by gossip: order and repetition don't
// matter, so that all come to the same verdict.
//
// It needs no network and no clock of its own.
package suspect

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/wire"
)

// Strength says how likely a crash was due to a request.
type Strength uint32

// The strengths, weakest first.
const (
	// Progressed requests had sent tokens in this attempt: what they do to an
	// engine they had already done.
	Progressed Strength = iota
	// Fresh requests had shown nothing yet.
	Fresh
	// Repeated requests were already suspect, and ran apart from others.
	Repeated
)

// Verdict on a request.
type Verdict int

// The verdicts.
const (
	NotSuspected Verdict = iota
	Suspect
	Quarantined
)

const (
	// convictAt is how many engines a request may cost.
	convictAt = 2
	// keep is how long evidence counts: longer than an impatient caller
	// resends, short enough that an engine's own fault is forgiven.
	keep = 10 * time.Minute
	// maxCrashes bounds the memory: at 45 failing VMs a day there are a few
	// crashes within keep, with a batch of requests each.
	maxCrashes = 256
	// maxPrints bounds the requests of one crash.
	maxPrints = 256
)

// Crash names one end of one engine.
type Crash struct {
	Endpoint    string
	Incarnation string
}

// Evidence is what one crash says of one request.
type Evidence struct {
	Crash
	Fingerprint uint64
	Strength    Strength
}

type record struct {
	at     clock.Time
	prints map[uint64]Strength
}

// strongest is the strength that counts for the crash.
func (r *record) strongest() Strength {
	top := Progressed
	for _, s := range r.prints {
		top = max(top, s)
	}
	return top
}

// Register holds the evidence of one entry and what its peers told.
type Register struct {
	// Off suspects nobody, for comparison. It is set before the first use.
	Off bool

	mu      sync.Mutex
	crashes map[Crash]*record
	cleared map[uint64]clock.Time // runs that outlived their suspicion
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{crashes: map[Crash]*record{}, cleared: map[uint64]clock.Time{}}
}

// Judge returns the verdict on a request.
func (r *Register) Judge(now clock.Time, fp uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Off {
		return NotSuspected
	}
	r.expire(now)
	n := 0
	for _, c := range r.crashes {
		if s, there := c.prints[fp]; there && s == c.strongest() {
			n++
		}
	}
	switch {
	case n >= convictAt:
		return Quarantined
	case n == 0:
		return NotSuspected
	}
	if _, ok := r.cleared[fp]; ok {
		return NotSuspected
	}
	return Suspect
}

func (r *Register) expire(now clock.Time) {
	for c, rec := range r.crashes {
		if now.Sub(rec.at) > keep {
			delete(r.crashes, c)
		}
	}
	for fp, at := range r.cleared {
		if now.Sub(at) > keep {
			delete(r.cleared, fp)
		}
	}
}

// Add takes evidence of this entry.
func (r *Register) Add(now clock.Time, e Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(now, now, e)
}

func (r *Register) add(now, at clock.Time, e Evidence) {
	r.expire(now)
	rec := r.crashes[e.Crash]
	if rec == nil {
		if len(r.crashes) >= maxCrashes || now.Sub(at) > keep {
			return
		}
		rec = &record{at: at, prints: map[uint64]Strength{}}
		r.crashes[e.Crash] = rec
	}
	old, known := rec.prints[e.Fingerprint]
	if !known && len(rec.prints) >= maxPrints {
		return
	}
	if !known || e.Strength > old {
		rec.prints[e.Fingerprint] = e.Strength
	}
	if !known {
		delete(r.cleared, e.Fingerprint)
	}
}

// Clear tells that a suspect has outlived its suspicion or come to its end. A
// new crash makes it suspect again.
func (r *Register) Clear(now clock.Time, fp uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.crashes {
		if _, there := c.prints[fp]; there {
			r.cleared[fp] = now
			return
		}
	}
}

// EvidenceForPeers returns the evidence for peers.
func (r *Register) EvidenceForPeers(now clock.Time) []*wire.CrashEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var out []*wire.CrashEvidence
	for c, rec := range r.crashes {
		top := rec.strongest()
		for fp, s := range rec.prints {
			if s != top {
				continue
			}
			out = append(out, &wire.CrashEvidence{
				Fingerprint: fp, Endpoint: c.Endpoint, EndpointIncarnation: c.Incarnation,
				Strength: uint32(s), Neighbours: uint32(len(rec.prints) - 1),
				AgeMs: uint32(now.Sub(rec.at).Milliseconds()),
			})
		}
	}
	return out
}

// MergeFromPeer takes the evidence of a peer.
func (r *Register) MergeFromPeer(now clock.Time, list []*wire.CrashEvidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		at := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		r.add(now, at, Evidence{
			Crash:       Crash{c.GetEndpoint(), c.GetEndpointIncarnation()},
			Fingerprint: c.GetFingerprint(), Strength: min(Strength(c.GetStrength()), Repeated),
		})
	}
}
