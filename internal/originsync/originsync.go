// Package originsync shares between VMs at which software version streams began (package origin). It sends
// the origin of a stream to a few VMs before the stream's first event goes out, and queries them when a
// caller takes the stream up.
//
// A Tracker holds no connection: records, queries and answers are datagrams, and a query is repeated until
// it is answered or its time is over.
package originsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/wire"
)

const (
	// resendInterval is the time after which a query is sent again to VMs that haven't answered: several
	// round trips between zones.
	resendInterval = 60 * time.Millisecond
	// queryTimeout bounds a query. It leaves time for a resend, and is a fraction of the gap after which a
	// caller gives a stream up.
	queryTimeout = 250 * time.Millisecond
	// maxNameBytes bounds the names in a received message.
	maxNameBytes = 256
	// maxAnswerVersions is the number of versions in an answer: with a second one, the origin is unknown.
	maxAnswerVersions = 2
)

// Tracker records and finds the origins of streams. It is safe for concurrent use.
type Tracker struct {
	// Self is this VM's address for datagrams, and Process identifies this process.
	Self    string
	Process uint64
	Clock   clock.Clock
	// Replicas returns the addresses of the first n VMs that record the origin of a stream.
	Replicas func(stream origin.Key, n int) []string
	// Send sends a datagram to other VMs.
	Send func(peers []string, b *wire.Beat)
	// Observe returns what this VM knows of a service's versions in the given time.
	Observe func(service string, window time.Duration) origin.Observation

	register *origin.Register

	mu      sync.Mutex
	last    uint64 // number of the latest query
	queries map[uint64]chan<- answer
}

// answer is a VM's answer to a query.
type answer struct {
	from        string
	origin      origin.Origin
	known       bool
	observation origin.Observation
}

// New returns a tracker whose exported fields are to be set.
func New() *Tracker {
	return &Tracker{register: origin.NewRegister(), queries: map[uint64]chan<- answer{}}
}

// Record records the origin of a stream here and at other VMs, for as long as callers may take it up.
func (t *Tracker) Record(stream origin.Key, o origin.Origin, ttl time.Duration) {
	t.record(stream, o, ttl, t.Self)
	t.Send(t.others(stream, origin.Replicas), &wire.Beat{StreamOrigins: []*wire.StreamOrigin{{
		Stream: uint64(stream), Service: o.Service, Version: o.Version, TtlMs: uint32(ttl.Milliseconds()),
	}}})
}

func (t *Tracker) record(stream origin.Key, o origin.Origin, ttl time.Duration, from string) {
	if !t.register.Record(t.Clock.Now(), stream, o, ttl) {
		log.WithField("stream", uint64(stream)).WithField("version", o.Version).WithField("from", from).Warn("stream has another origin already")
	}
}

// others returns the first n VMs that record the origin of a stream, except this one.
func (t *Tracker) others(stream origin.Key, n int) []string {
	return slices.DeleteFunc(t.Replicas(stream, n), func(peer string) bool { return peer == t.Self })
}

// Source says how the origin of a stream was found.
type Source uint8

// The sources.
const (
	Unknown Source = iota // it wasn't found
	Own                   // this VM's register
	Peer                  // another VM's register
	Only                  // the service has had only one version
)

func (s Source) String() string { return [...]string{"unknown", "own", "peer", "only"}[s] }

// Find returns the origin of a stream that may have begun up to window ago. If no VM has recorded it, it is
// the only version that the service had in that time, if there was only one.
func (t *Tracker) Find(ctx context.Context, stream origin.Key, service string, window time.Duration) (origin.Origin, Source) {
	if o, ok := t.register.Find(t.Clock.Now(), stream); ok {
		return o, Own
	}
	others := t.others(stream, origin.Lookups)
	poll := origin.NewPoll(t.Observe(service, window), len(others))
	if _, ok := poll.Only(); !ok || stream != origin.Unnamed {
		if o, ok := t.query(ctx, others, poll, stream, service, window); ok {
			return o, Peer
		}
	}
	if version, ok := poll.Only(); ok {
		return origin.Origin{Service: service, Version: version}, Only
	}
	return origin.Origin{}, Unknown
}

// query asks other VMs for the origin of a stream and adds what they have observed to poll. It ends with
// the first VM that knows the origin, or when most of them agree on the only version that it can be.
func (t *Tracker) query(ctx context.Context, vms []string, poll *origin.Poll, stream origin.Key, service string, window time.Duration) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	number, answers := t.openQuery(len(vms))
	defer t.closeQuery(number)
	b := &wire.Beat{StreamQuery: &wire.StreamQuery{
		Asker: t.Process, Number: number, Stream: uint64(stream), Service: service, WindowMs: uint32(window.Milliseconds()),
	}}
	t.Send(vms, b)
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	for len(vms) > 0 {
		select {
		case a := <-answers:
			if a.known {
				t.record(stream, a.origin, window, a.from)
				return a.origin, true
			}
			if i := slices.Index(vms, a.from); i >= 0 {
				vms = slices.Delete(vms, i, i+1)
				poll.Add(a.observation)
			}
			if _, ok := poll.Only(); ok && poll.HasMajority() {
				return origin.Origin{}, false
			}
		case <-resend.C:
			t.Send(vms, b)
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
	return origin.Origin{}, false
}

// openQuery returns the number of a new query, and the channel that receives its answers.
func (t *Tracker) openQuery(vms int) (uint64, <-chan answer) {
	const answersPerVM = 1 + int(queryTimeout/resendInterval) // one for each time that the query is sent
	answers := make(chan answer, vms*answersPerVM)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.queries[t.last] = answers
	return t.last, answers
}

func (t *Tracker) closeQuery(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.queries, number)
}

// Receive handles a datagram of another VM.
func (t *Tracker) Receive(from string, b *wire.Beat) {
	for _, m := range b.GetStreamOrigins() {
		if o, ok := decodeOrigin(m); ok && m.GetStream() != uint64(origin.Unnamed) {
			t.record(origin.Key(m.GetStream()), o, time.Duration(m.GetTtlMs())*time.Millisecond, from)
		} else {
			log.WithField("from", from).Warn("malformed stream origin dropped")
		}
	}
	if q := b.GetStreamQuery(); q != nil {
		t.answerQuery(from, q)
	}
	if a := b.GetStreamAnswer(); a.GetAsker() == t.Process {
		t.receiveAnswer(from, a)
	}
}

func (t *Tracker) answerQuery(from string, q *wire.StreamQuery) {
	a := &wire.StreamAnswer{Asker: q.GetAsker(), Number: q.GetNumber()}
	if o, ok := t.register.Find(t.Clock.Now(), origin.Key(q.GetStream())); ok {
		a.Origin = &wire.StreamOrigin{Stream: q.GetStream(), Service: o.Service, Version: o.Version}
	} else {
		observed := t.Observe(q.GetService(), time.Duration(q.GetWindowMs())*time.Millisecond)
		a.Versions, a.Fresh = observed.Versions[:min(len(observed.Versions), maxAnswerVersions)], observed.Fresh
	}
	t.Send([]string{from}, &wire.Beat{StreamAnswer: a})
}

func (t *Tracker) receiveAnswer(from string, m *wire.StreamAnswer) {
	a := answer{from: from, observation: origin.Observation{Versions: m.GetVersions(), Fresh: m.GetFresh()}}
	if m.GetOrigin() != nil {
		if a.origin, a.known = decodeOrigin(m.GetOrigin()); !a.known {
			log.WithField("from", from).Warn("malformed stream origin dropped")
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.queries[m.GetNumber()] <- a: // never ready if the query has ended
	default:
	}
}

func decodeOrigin(m *wire.StreamOrigin) (origin.Origin, bool) {
	o := origin.Origin{Service: m.GetService(), Version: m.GetVersion()}
	valid := func(name string) bool { return name != "" && len(name) <= maxNameBytes }
	return o, valid(o.Service) && valid(o.Version)
}
