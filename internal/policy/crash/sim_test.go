package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	simTick = 10 * time.Millisecond
	// simTime is the length of a simulated day; requests with crashing parts come from simBadFrom on.
	simTime    = 60 * time.Second
	simBadFrom = 10 * time.Second
	// simDelay is the time from a crash until its evidence is known.
	simDelay = 30 * time.Millisecond
	// simRestart is the time until an endpoint that has crashed serves again.
	simRestart = 4 * time.Second
	// simStart is the time from a send until the answer begins, and simCrash from there to the crash.
	simStart = 30 * time.Millisecond
	simCrash = 60 * time.Millisecond
	// simBound is how long after the fifth crash further requests with a part may reach endpoints.
	simBound = 3 * time.Second
	simSlots = 24
)

// simCase is a pool of endpoints with its load and what crashes them.
type simCase struct {
	endpoints  int
	perSecond  float64
	answerTime time.Duration // mean
	subjects   int           // second parts
	badShare   float64       // of the requests with a crashing part
	badParts   int
	badFirst   bool
	known      bool          // requests with the crashing part were answered before
	ownCrash   time.Duration // time between two crashes for another reason, zero for none
}

// simRequest is a request at an endpoint.
type simRequest struct {
	id            uint64
	parts         []uint64
	bad           uint64 // the crashing part it has, zero for a sound request
	sentAt, endAt clock.Time
	retried       bool
}

type simEndpoint struct {
	lives   int
	upAt    clock.Time
	running []*simRequest
}

// simEvidence is a crash whose report is on its way.
type simEvidence struct {
	at    clock.Time
	crash Crash
}

type sim struct {
	simCase
	rng       *rand.Rand
	r         *Register
	now       clock.Time
	endpoints []*simEndpoint
	evidence  []simEvidence
	nextID    uint64

	crashes map[uint64][]clock.Time // by crashing part
	late    int                     // sends with a crashing part later than simBound after its fifth crash
	sound   int                     // sound requests from twice simBound after the fifth crash on
	refused int                     // those of them that were refused
}

func newSim(c simCase, seed uint64, decide func([]*suspect) map[uint64]bool) *sim {
	s := &sim{simCase: c, rng: rand.New(rand.NewPCG(seed, 3)), r: New(), now: clock.Time(time.Hour), crashes: map[uint64][]clock.Time{}}
	s.r.parts.blame = decide
	for range c.endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{})
	}
	return s
}

func (s *sim) run() {
	start := s.now
	nextOwn := start.Add(simBadFrom)
	for ; s.now.Sub(start) < simTime; s.now = s.now.Add(simTick) {
		for s.rng.Float64() < s.perSecond*simTick.Seconds() {
			s.arrive(s.now.Sub(start) > simBadFrom)
			if s.rng.Float64() < 0.5 {
				break
			}
		}
		if s.ownCrash > 0 && s.now >= nextOwn {
			nextOwn = s.now.Add(s.ownCrash)
			s.end(s.rng.IntN(len(s.endpoints)))
		}
		for i, e := range s.endpoints {
			s.step(i, e)
		}
		s.deliver()
	}
}

// arrive sends a new request unless a part of it is quarantined.
func (s *sim) arrive(bad bool) {
	s.nextID++
	q := &simRequest{id: s.nextID, parts: []uint64{sharedPart, 1000 + s.rng.Uint64N(uint64(s.subjects))}}
	if s.badShare > 0 && s.rng.Float64() < s.badShare && (bad || s.known) {
		part := crasherPart + s.rng.Uint64N(uint64(s.badParts))
		if bad {
			q.bad = part
		}
		at := 1
		if s.badFirst {
			at = 0
		}
		q.parts = slices.Insert(q.parts, at, part)
	}
	_, refused := s.r.RefusedPart(s.now, q.parts)
	if q.bad == 0 && s.settled() {
		s.sound++
		if refused {
			s.refused++
		}
	}
	if !refused {
		s.send(q)
	}
}

// settled reports whether sound requests are counted: from twice simBound after the crashes on.
func (s *sim) settled() bool {
	last := clock.Time(time.Hour).Add(simBadFrom)
	for _, times := range s.crashes {
		if len(times) > 0 {
			last = max(last, times[min(len(times), 5)-1])
		}
	}
	return s.now > last.Add(2*simBound)
}

func (s *sim) send(q *simRequest) {
	var up []*simEndpoint
	for _, e := range s.endpoints {
		if s.now >= e.upAt && len(e.running) < simSlots {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	if times := s.crashes[q.bad]; q.bad != 0 && len(times) >= 5 && s.now > times[4].Add(simBound) {
		s.late++
	}
	q.sentAt = s.now
	q.endAt = s.now.Add(simStart + time.Duration(s.rng.ExpFloat64()*float64(s.answerTime)))
	e := up[s.rng.IntN(len(up))]
	e.running = append(e.running, q)
}

// step ends the answers of an endpoint that are complete, and the endpoint if it began one with a crashing
// part.
func (s *sim) step(i int, e *simEndpoint) {
	for _, q := range e.running {
		if q.bad != 0 && s.now >= q.sentAt.Add(simStart+simCrash) {
			s.crashes[q.bad] = append(s.crashes[q.bad], s.now)
			s.end(i)
			return
		}
	}
	e.running = slices.DeleteFunc(e.running, func(q *simRequest) bool {
		done := q.bad == 0 && s.now >= q.endAt
		if done || s.now == q.sentAt.Add(simStart+time.Second) {
			s.r.RecordPartsAnswered(q.sentAt, q.parts)
		}
		return done
	})
}

// end crashes an endpoint. Its requests are sent once more.
func (s *sim) end(i int) {
	e := s.endpoints[i]
	if s.now < e.upAt {
		return
	}
	e.lives++
	e.upAt = s.now.Add(simRestart)
	lost := e.running
	e.running = nil
	for _, q := range lost {
		c := Crash{Request: q.id, Endpoint: fmt.Sprint(i, "@", e.lives)}
		if s.now.Sub(q.sentAt) < simStart+time.Second {
			for _, p := range q.parts {
				c.Parts = append(c.Parts, PartCrash{Part: p, SentAge: s.now.Sub(q.sentAt)})
			}
		}
		s.evidence = append(s.evidence, simEvidence{s.now, c})
		if _, refused := s.r.RefusedPart(s.now, q.parts); !q.retried && !refused {
			q.retried = true
			s.send(q)
		}
	}
}

func (s *sim) deliver() {
	s.evidence = slices.DeleteFunc(s.evidence, func(e simEvidence) bool {
		if s.now < e.at.Add(simDelay) {
			return false
		}
		s.r.Record(s.now, e.crash.Later(s.now.Sub(e.at)))
		return true
	})
}

// blameEach is the way that was weighed against blame: each part is judged by itself.
func blameEach(suspects []*suspect) map[uint64]bool {
	out := map[uint64]bool{}
	for _, s := range suspects {
		if s.part && len(s.crashes) >= minRareCrashes {
			out[s.id] = true
		}
	}
	return out
}

var simCases = map[string]simCase{
	"four endpoints, short answers": {endpoints: 4, perSecond: 30, answerTime: 300 * time.Millisecond, subjects: 400, badShare: 0.1, badParts: 1},
	"four endpoints, long answers":  {endpoints: 4, perSecond: 10, answerTime: 4 * time.Second, subjects: 400, badShare: 0.1, badParts: 1},
	"sixteen, a fifth of all":       {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, badShare: 0.2, badParts: 1},
	"sixteen, two parts":            {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, badShare: 0.05, badParts: 2},
	"four, three parts":             {endpoints: 4, perSecond: 20, answerTime: time.Second, subjects: 40, badShare: 0.2, badParts: 3},
	"the first part":                {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, badShare: 0.05, badParts: 1, badFirst: true},
	"answered before":               {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, badShare: 0.05, badParts: 1, known: true},
	"four, answered before":         {endpoints: 4, perSecond: 20, answerTime: time.Second, subjects: 40, badShare: 0.05, badParts: 1, known: true},
	"no part, own crashes":          {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, ownCrash: 1200 * time.Millisecond},
	"no part, four, own crashes":    {endpoints: 4, perSecond: 15, answerTime: 4 * time.Second, subjects: 400, ownCrash: 1200 * time.Millisecond},
	"two hundred endpoints":         {endpoints: 200, perSecond: 90, answerTime: 4 * time.Second, subjects: 400, badShare: 0.05, badParts: 1},
	"one part among own crashes":    {endpoints: 16, perSecond: 40, answerTime: 2 * time.Second, subjects: 40, badShare: 0.02, badParts: 1, ownCrash: 3 * time.Second},
}

const simSeeds = 6

// Guards against both errors of the register: endpoints that go on crashing under a part, and sound requests
// that are refused. The log also shows what judging each part by itself would do.
func TestBothErrorsOfBlameAreBounded(t *testing.T) {
	for name, c := range simCases {
		t.Run(name, func(t *testing.T) {
			for way, decide := range map[string]func([]*suspect) map[uint64]bool{"chosen": blame, "each part by itself": blameEach} {
				crashes, late, worstLate, refusedShare, worstShare := 0, 0, 0, 0.0, 0.0
				for seed := range uint64(simSeeds) {
					s := newSim(c, seed, decide)
					s.run()
					for _, times := range s.crashes {
						crashes += len(times)
					}
					share := float64(s.refused) / float64(max(s.sound, 1))
					late += s.late
					worstLate, worstShare = max(worstLate, s.late), max(worstShare, share)
					refusedShare += share / simSeeds
				}
				t.Logf("%s: %.1f crashes, %.2f late sends (%d at most), refused sound requests: %.3f (%.3f at most)",
					way, float64(crashes)/simSeeds, float64(late)/simSeeds, worstLate, refusedShare, worstShare)
				if way == "chosen" {
					assert.Check(t, worstLate <= 3*max(c.badParts, 1))
					assert.Check(t, worstShare < 0.5)
				}
			}
		})
	}
}
