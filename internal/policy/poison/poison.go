// Package poison finds the request that crashes each endpoint which runs it.
//
// Load pattern: now and then one request kills its engine, and its caller sends
// it again, to any entry. Without this package it takes down one engine after
// another, and with each the streams of all its neighbours. The package keeps
// the loss at two engines: after one crash a request is a suspect and runs at
// most once at a time, with no other suspect of the same crash on its engine;
// the second crash then has exactly one request in common with the first.
//
// Evidence is a set, so that duplicated and late reports change nothing, and
// all entries that hold the same evidence reach the same verdict. Entries agree
// on who runs a suspect by rendezvous hashing (Owner). What isn't held: while
// lists of entries differ, or before evidence has spread, each entry may run the
// request once and more than two engines may be lost; and a neighbour whose
// payload ran on both engines that were lost can't be told from the cause.
//
// A Tracker is safe for concurrent use.
package poison

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// The defaults and their grounds.
const (
	// defaultExpiry is how long evidence counts: longer than callers repeat a
	// request, short enough that a mended engine version gets it again.
	defaultExpiry = 10 * time.Minute
	// maxCrashes bounds the memory: 45 VMs fail on an ordinary day, so 64
	// within the expiry are a disaster with other causes.
	maxCrashes = 64
	// convicting is the number of engines after which a request is given up.
	convicting = 2
)

// Fingerprint identifies a request by its model and payload, whoever sends it.
type Fingerprint [16]byte

// Of returns the fingerprint of a request.
func Of(model string, payload []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write(payload)
	return Fingerprint(h.Sum(nil))
}

// Crash is one loss of one engine. Incarnation counts the engine's starts.
type Crash struct {
	Engine      string
	Incarnation uint64
}

// Evidence says that a request was running on an engine when it crashed.
type Evidence struct {
	Fingerprint Fingerprint
	Crash       Crash
	Attempt     string        // for logs
	Age         time.Duration // since the crash
	Cleared     bool          // it has since been answered whole: it wasn't the cause
}

// Verdict is what is known of a request.
type Verdict uint8

// The verdicts.
const (
	Clear   Verdict = iota
	Suspect         // lost one engine: runs alone of its kind, isolated
	Guilty          // lost two: refused everywhere
)

func (v Verdict) String() string { return [...]string{"clear", "suspect", "guilty"}[v] }

// Config sets a Tracker. Zero fields take the defaults.
type Config struct {
	Expiry time.Duration
	Off    bool // finds nobody, for comparison
}

// Tracker holds the evidence known to one entry.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	crashes map[Crash]*crash
	runs    map[Fingerprint][]string // engines that run it for this entry
}

type crash struct {
	at      clock.Time
	running map[Fingerprint]string // attempt
	cleared map[Fingerprint]bool
}

// New returns a tracker without evidence.
func New(cfg Config) *Tracker {
	if cfg.Expiry == 0 {
		cfg.Expiry = defaultExpiry
	}
	return &Tracker{cfg: cfg, crashes: map[Crash]*crash{}, runs: map[Fingerprint][]string{}}
}

// Add takes evidence, from this entry or another, in any order and number.
func (t *Tracker) Add(now clock.Time, evidence ...Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, e := range evidence {
		if e.Age >= t.cfg.Expiry {
			continue
		}
		c := t.crashes[e.Crash]
		if c == nil {
			c = &crash{at: now.Add(-e.Age), running: map[Fingerprint]string{}, cleared: map[Fingerprint]bool{}}
			t.crashes[e.Crash] = c
		}
		c.add(e)
	}
}

// add keeps a clearance over evidence, whichever comes first.
func (c *crash) add(e Evidence) {
	if e.Cleared {
		c.cleared[e.Fingerprint] = true
		delete(c.running, e.Fingerprint)
	}
	if !c.cleared[e.Fingerprint] {
		c.running[e.Fingerprint] = e.Attempt
	}
}

func (t *Tracker) expire(now clock.Time) {
	for k, c := range t.crashes {
		if now.Sub(c.at) >= t.cfg.Expiry {
			delete(t.crashes, k)
		}
	}
	for len(t.crashes) > maxCrashes {
		var oldest Crash
		for k, c := range t.crashes {
			if o := t.crashes[oldest]; o == nil || c.at < o.at {
				oldest = k
			}
		}
		delete(t.crashes, oldest)
	}
}

// Verdict returns what is known of f.
func (t *Tracker) Verdict(now clock.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(now, f)
}

// Start asks to run f on an engine. It registers the run, which End has to
// close: a request may become a suspect while it runs.
func (t *Tracker) Start(now clock.Time, f Fingerprint, engine string) (Verdict, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdict(now, f)
	switch v {
	case Clear:
		t.runs[f] = append(t.runs[f], engine)
		return v, nil
	case Guilty:
		return v, t.refusal(f)
	case Suspect:
	}
	if at := t.runs[f]; len(at) > 0 {
		return v, code.New(code.HotKey, "the request lost an engine and is running on %v", at).WithRetryAfter(time.Second)
	}
	if g, ok := t.clash(f, engine); ok {
		return v, code.New(code.NoEndpoint, "engine %s runs suspect %x of the same crash", engine, g[:4]).WithRetryAfter(time.Second)
	}
	t.runs[f] = append(t.runs[f], engine)
	return v, nil
}

// clash finds another request of one of f's crashes that runs on the engine.
// Were both on an engine that crashes, nobody could say which of them did it.
func (t *Tracker) clash(f Fingerprint, engine string) (Fingerprint, bool) {
	for _, c := range t.crashes {
		if !c.ran(f) {
			continue
		}
		for g := range c.running {
			if g != f && slices.Contains(t.runs[g], engine) {
				return g, true
			}
		}
	}
	return Fingerprint{}, false
}

func (t *Tracker) refusal(f Fingerprint) error {
	var engines []string
	for k, c := range t.crashes {
		if c.ran(f) {
			engines = append(engines, k.Engine)
		}
	}
	slices.Sort(engines)
	return code.New(code.Poison, "engines %v crashed while they ran request %x", engines, f[:4]).WithRun(code.Unknown)
}

// End closes a run on an engine. After a whole answer f is cleared: what
// crashes engines does it each time. End returns the clearances, which the
// other entries need as much as the evidence.
func (t *Tracker) End(now clock.Time, f Fingerprint, engine string, whole bool) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.runs[f], engine); i >= 0 {
		t.runs[f] = slices.Delete(t.runs[f], i, i+1)
	}
	if len(t.runs[f]) == 0 {
		delete(t.runs, f)
	}
	if !whole {
		return nil
	}
	var cleared []Evidence
	for k, c := range t.crashes {
		if c.ran(f) {
			e := Evidence{Fingerprint: f, Crash: k, Age: now.Sub(c.at), Cleared: true}
			c.add(e)
			cleared = append(cleared, e)
		}
	}
	return cleared
}

// Evidence returns all that is known, for entries that have just started.
func (t *Tracker) Evidence(now clock.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var all []Evidence
	for k, c := range t.crashes {
		for f, attempt := range c.running {
			all = append(all, Evidence{Fingerprint: f, Crash: k, Attempt: attempt, Age: now.Sub(c.at)})
		}
		for f := range c.cleared {
			all = append(all, Evidence{Fingerprint: f, Crash: k, Age: now.Sub(c.at), Cleared: true})
		}
	}
	return all
}

// Owner returns the entry that runs a suspect, so that two entries don't run
// it at once: the first in rendezvous order.
func Owner(f Fingerprint, entries []string) string {
	owner, top := "", uint64(0)
	for _, e := range entries {
		d := xxhash.New()
		_, _ = d.Write(f[:])
		_, _ = d.WriteString(e)
		if w := d.Sum64(); w >= top {
			owner, top = e, w
		}
	}
	return owner
}
