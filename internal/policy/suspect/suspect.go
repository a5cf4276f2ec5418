// Package suspect identifies requests that crash the engines running them, so that they are
// quarantined instead of retried.
//
// Load pattern: a poison request crashes every engine that runs it, and its caller retries it.
// Without quarantine the retries take the fleet down engine by engine. Quarantining on too little
// evidence also rejects the dozens of other requests that shared an engine with the poison request.
//
// Approach:
//
//   - Each crash is evidence against every request that was on the engine. The strength of the
//     evidence ranks how likely that request caused the crash.
//   - For one crash only the strongest evidence counts, whichever entry reported it. Weaker
//     evidence for the same crash is ignored, because the stronger explains it.
//   - A request with evidence from one crash is a suspect. It must run on an engine without other
//     suspects, so that a second crash identifies a single request.
//   - A request with evidence from two crashes is quarantined until the evidence expires.
//
// Entries exchange evidence by gossip. Merging is commutative and idempotent, so all entries reach
// the same verdict regardless of order and duplicates.
//
// The package does no I/O and reads no clock; callers pass the time. A Register is safe for
// concurrent use.
package suspect

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/wire"
)

// Strength ranks how likely a request caused a crash.
type Strength uint32

// The strengths, weakest first.
const (
	// Progressed requests had produced tokens in this attempt, so the engine had already survived
	// running them for a while.
	Progressed Strength = iota
	// Fresh requests had not produced a token yet.
	Fresh
	// Repeated requests were already suspects and ran isolated from other suspects.
	Repeated
)

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	NotSuspected Verdict = iota
	Suspect
	Quarantined
)

const (
	// quarantineCrashes is the number of crashes after which a request is quarantined.
	quarantineCrashes = 2
	// evidenceTTL is how long evidence counts. It outlasts the retries of an impatient caller, and
	// is short enough that evidence from an engine's own fault expires.
	evidenceTTL = 10 * time.Minute
	// maxCrashes bounds memory. With 45 VM failures a day only a few crashes fall within
	// evidenceTTL, each with one batch of requests.
	maxCrashes = 256
	// maxFingerprintsPerCrash bounds the requests recorded for one crash.
	maxFingerprintsPerCrash = 256
)

// Crash identifies one crash by the endpoint and the incarnation that ended.
type Crash struct {
	Endpoint    string
	Incarnation string
}

// Evidence links one request to one crash.
type Evidence struct {
	Crash
	Fingerprint uint64
	Strength    Strength
}

type crashRecord struct {
	at        clock.Time
	strengths map[uint64]Strength // by request fingerprint
}

// maxStrength returns the strongest evidence for the crash, the only one that counts.
func (r *crashRecord) maxStrength() Strength {
	strongest := Progressed
	for _, s := range r.strengths {
		strongest = max(strongest, s)
	}
	return strongest
}

// Register holds the crash evidence of this entry and the evidence received from its peers.
type Register struct {
	// Disabled makes Judge return NotSuspected for every request, for comparison runs. Set it before
	// the first use.
	Disabled bool

	mu      sync.Mutex
	crashes map[Crash]*crashRecord
	cleared map[uint64]clock.Time // when a suspect's run was cleared, by request fingerprint
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{crashes: map[Crash]*crashRecord{}, cleared: map[uint64]clock.Time{}}
}

// Judge returns the verdict on the request with fingerprint fp.
func (r *Register) Judge(now clock.Time, fp uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Disabled {
		return NotSuspected
	}
	r.expire(now)
	crashes := 0
	for _, c := range r.crashes {
		if s, found := c.strengths[fp]; found && s == c.maxStrength() {
			crashes++
		}
	}
	switch {
	case crashes >= quarantineCrashes:
		return Quarantined
	case crashes == 0:
		return NotSuspected
	}
	if _, ok := r.cleared[fp]; ok {
		return NotSuspected
	}
	return Suspect
}

func (r *Register) expire(now clock.Time) {
	for c, rec := range r.crashes {
		if now.Sub(rec.at) > evidenceTTL {
			delete(r.crashes, c)
		}
	}
	for fp, at := range r.cleared {
		if now.Sub(at) > evidenceTTL {
			delete(r.cleared, fp)
		}
	}
}

// Add records evidence observed by this entry.
func (r *Register) Add(now clock.Time, e Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(now, now, e)
}

func (r *Register) add(now, at clock.Time, e Evidence) {
	r.expire(now)
	rec := r.crashes[e.Crash]
	if rec == nil {
		if len(r.crashes) >= maxCrashes || now.Sub(at) > evidenceTTL {
			return
		}
		rec = &crashRecord{at: at, strengths: map[uint64]Strength{}}
		r.crashes[e.Crash] = rec
	}
	old, exists := rec.strengths[e.Fingerprint]
	if !exists && len(rec.strengths) >= maxFingerprintsPerCrash {
		return
	}
	if !exists || e.Strength > old {
		rec.strengths[e.Fingerprint] = e.Strength
	}
	if !exists {
		delete(r.cleared, e.Fingerprint)
	}
}

// Clear records that a suspect has run long enough without a crash, or has finished. Evidence from
// another crash makes it a suspect again.
func (r *Register) Clear(now clock.Time, fp uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.crashes {
		if _, found := c.strengths[fp]; found {
			r.cleared[fp] = now
			return
		}
	}
}

// EvidenceForPeers returns the evidence to send to peers: the strongest of each crash.
func (r *Register) EvidenceForPeers(now clock.Time) []*wire.CrashEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var out []*wire.CrashEvidence
	for c, rec := range r.crashes {
		strongest := rec.maxStrength()
		for fp, s := range rec.strengths {
			if s != strongest {
				continue
			}
			out = append(out, &wire.CrashEvidence{
				Fingerprint: fp, Endpoint: c.Endpoint, EndpointIncarnation: c.Incarnation,
				Strength: uint32(s), Neighbours: uint32(len(rec.strengths) - 1),
				AgeMs: uint32(now.Sub(rec.at).Milliseconds()),
			})
		}
	}
	return out
}

// MergeFromPeer merges evidence received from a peer.
func (r *Register) MergeFromPeer(now clock.Time, evidence []*wire.CrashEvidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range evidence {
		at := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		r.add(now, at, Evidence{
			Crash:       Crash{c.GetEndpoint(), c.GetEndpointIncarnation()},
			Fingerprint: c.GetFingerprint(), Strength: min(Strength(c.GetStrength()), Repeated),
		})
	}
}
