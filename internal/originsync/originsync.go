// Package originsync shares between VMs at which software version streams began (package origin). It sends
// the origin of a stream to a few VMs before the stream's first event goes out, and queries them when a
// caller takes the stream up.
//
// A Tracker holds no connection: records, queries and answers are datagrams, and a query is repeated until
// it is answered or its time is over. An Archive keeps at the platform's store what VMs need that have all
// started anew.
package originsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/splitmix"
	"fescuestand/internal/wire"
)

const (
	// resendInterval is the time after which a query is sent again to VMs that haven't answered: several
	// round trips between zones.
	resendInterval = 60 * time.Millisecond
	// queryTimeout bounds a query. It leaves time for a resend, and is a fraction of the gap after which a
	// caller gives a stream up.
	queryTimeout = 250 * time.Millisecond
	// lookupTimeout bounds a look-up in the archive.
	lookupTimeout = 600 * time.Millisecond
	// lookupDelay is the head start of other VMs before the archive is read: a round trip between zones and
	// some time to process it.
	lookupDelay = 30 * time.Millisecond
	// lookupRetryInterval is the time between two attempts to read the archive.
	lookupRetryInterval = 100 * time.Millisecond
	// Writers is the number of VMs that write origins to the archive: one may be lost before it has written.
	Writers = 2
	// MaxArchivers bounds the VMs that write origins, with those that stand in for others: the store may reject some.
	MaxArchivers = 4 * Writers
	// sendBatch is the number of origins in a datagram.
	sendBatch = 12
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
	// HasQuorum reports whether this VM is in contact with most of the VMs, and ReachesAll whether it has lost none lately.
	HasQuorum, ReachesAll func() bool
	// ReadEndpoints reads the endpoints' entries after the call. It returns false if they can't be read in time.
	ReadEndpoints func(ctx context.Context) bool
	// Archive keeps what outlives all VMs. Archivers returns, in an order on which VMs agree, those that may write
	// origins to it: the first Writers do, and each of the others for the one Writers before it that can't.
	Archive   *Archive
	Archivers func() []string

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
	return &Tracker{
		register: origin.NewRegister(), queries: map[uint64]chan<- answer{},
		HasQuorum: func() bool { return true }, ReachesAll: func() bool { return true }, ReadEndpoints: func(context.Context) bool { return true },
	}
}

// Record records the origin of a stream here and at other VMs, for as long as callers may take it up.
func (t *Tracker) Record(st *origin.Stream, o origin.Origin, ttl time.Duration) {
	if !t.register.RecordOwn(t.Clock.Now(), st.Key, o, ttl) {
		t.warnOther(st.Key, o, t.Self)
	}
	m := &wire.StreamOrigin{Stream: uint64(st.Key), Service: o.Service, Version: o.Version, TtlMs: uint32(ttl.Milliseconds())}
	t.Send(t.others(st.Key, origin.Replicas), &wire.Beat{StreamOrigins: []*wire.StreamOrigin{m}})
	t.Archive.starts.MarkBegun(st, o)
	if t.Archive.isAmbiguous(st) {
		t.archive([]*wire.StreamOrigin{m})
	}
}

// ArchiveOwn archives the origins of the streams that this VM has served, if streams of a route may have begun at
// several versions: they began when there was one, or the store has lost them.
func (t *Tracker) ArchiveOwn() {
	if !t.Archive.isAnyAmbiguous() {
		return
	}
	var all []*wire.StreamOrigin
	for stream, o := range t.register.Own(t.Clock.Now()) {
		all = append(all, &wire.StreamOrigin{Stream: uint64(stream), Service: o.Service, Version: o.Version})
	}
	for batch := range slices.Chunk(all, sendBatch) {
		t.archive(batch)
	}
}

// archive has other VMs write origins to the store, and this one if it is among them.
func (t *Tracker) archive(origins []*wire.StreamOrigin) {
	archivers := t.Archivers()
	archivers = archivers[:min(Writers, len(archivers))]
	if len(archivers) == 0 || slices.Contains(archivers, t.Self) {
		t.addArchived(origins, t.Self)
	}
	t.Send(slices.DeleteFunc(archivers, func(peer string) bool { return peer == t.Self }), &wire.Beat{ArchivedOrigins: origins})
}

// HandOver has another VM write origins that the store doesn't take from this one.
func (t *Tracker) HandOver(origins []Archived) {
	archivers := t.Archivers()
	self := slices.Index(archivers, t.Self)
	if self < 0 || self+Writers >= len(archivers) {
		return
	}
	standIn := []string{archivers[self+Writers]}
	for batch := range slices.Chunk(origins, sendBatch) {
		b := &wire.Beat{}
		for _, o := range batch {
			b.ArchivedOrigins = append(b.ArchivedOrigins, &wire.StreamOrigin{Stream: uint64(o.Stream), Service: o.Service, Version: o.Version})
		}
		t.Send(standIn, b)
	}
}

// AppendDelay keeps the appends of the Writers out of step: all of them receive the same origins at the same time, and
// the first append makes an origin outlast all VMs.
func (t *Tracker) AppendDelay() time.Duration {
	rank := max(slices.Index(t.Archivers(), t.Self), 0) % Writers
	return time.Duration(rank) * appendInterval / Writers
}

func (t *Tracker) addArchived(origins []*wire.StreamOrigin, from string) {
	for _, m := range origins {
		if o, ok := decodeOrigin(m); ok && m.GetStream() != uint64(origin.Unnamed) {
			t.Archive.Add(Archived{origin.Key(m.GetStream()), o})
		} else {
			log.WithField("from", from).Warn("malformed stream origin dropped")
		}
	}
}

func (t *Tracker) record(stream origin.Key, o origin.Origin, ttl time.Duration, from string) {
	if !t.register.Record(t.Clock.Now(), stream, o, ttl) {
		t.warnOther(stream, o, from)
	}
}

func (t *Tracker) warnOther(stream origin.Key, o origin.Origin, from string) {
	log.WithField("stream", uint64(stream)).WithField("version", o.Version).WithField("from", from).Warn("stream has another origin already")
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
	Only                  // the stream can't have begun at another version
	Stored                // the archive
	Unread                // it wasn't found, and the archive can't be read or other VMs can't be asked for now
)

func (s Source) String() string {
	return [...]string{"unknown", "own", "peer", "only", "stored", "unread"}[s]
}

// Find returns the origin of a stream that may have begun up to window ago. If neither a VM nor the archive
// has it, it is the only one that the stream can have by the record, by what this VM knows and by what the others
// answer, if there is only one.
func (t *Tracker) Find(ctx context.Context, st *origin.Stream, service string, window time.Duration) (origin.Origin, Source) {
	if o, ok := t.register.Find(t.Clock.Now(), st.Key); ok {
		return o, Own
	}
	observed := t.Observe(service, window)
	if st.Key == origin.Unnamed {
		return t.findUnnamed(ctx, st, service, window, observed)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers, archive := make(chan peerResult, 1), make(chan archiveResult, 1)
	go func() { peers <- t.askPeers(ctx, st.Key, service, window, observed) }()
	go func() { archive <- t.searchArchive(ctx, st, &observed) }()
	var p *peerResult
	var a *archiveResult
	for p == nil || a == nil {
		select {
		case r := <-peers:
			if r.known {
				return r.origin, Peer
			}
			p = &r
		case r := <-archive:
			if r.known {
				t.record(st.Key, r.origin, window, Stored.String())
				return r.origin, Stored
			}
			a = &r
		}
	}
	if a.err != nil {
		return t.concludeFrom(p.poll, st, service, a.err)
	}
	inContact := t.HasQuorum() && p.poll.IsReached()
	o, source := t.concludeFromRecord(ctx, st, a.possible, inContact, p.poll.Origins(service))
	hasAskedAll := inContact && t.ReachesAll() && p.poll.IsComplete()
	if source == Unknown && !hasAskedAll {
		source = Unread // VMs that this one doesn't reach may know it
	}
	return o, source
}

// findUnnamed is Find for a stream of which no record can be told from others.
func (t *Tracker) findUnnamed(ctx context.Context, st *origin.Stream, service string, window time.Duration, observed origin.Observation) (origin.Origin, Source) {
	a := t.searchArchive(ctx, st, &observed)
	switch possible := slices.Concat(a.possible, t.Archive.mayHaveBegun(st)); {
	case a.err == nil && areSeveral(possible):
		return origin.Origin{}, Unknown // whatever other VMs know
	case a.err != nil && t.Archive.isAmbiguous(st):
		return origin.Origin{}, refusalOf(a.err) // one may have been put on record right before the store failed
	}
	poll := t.askPeers(ctx, st.Key, service, window, observed).poll
	if a.err != nil {
		return t.concludeFrom(poll, st, service, a.err)
	}
	return t.concludeFromRecord(ctx, st, a.possible, t.HasQuorum() && poll.IsReached(), poll.Origins(service))
}

// concludeFromRecord returns the only origin that a stream may have by a record that has been read since it was taken
// up, by what this VM knows and by what others do. Streams may have begun off the record at a version that has appeared
// meanwhile, so a VM that isn't in contact with most of the others reads the endpoints' entries first.
func (t *Tracker) concludeFromRecord(ctx context.Context, st *origin.Stream, possible []origin.Origin, inContact bool, others []origin.Origin) (origin.Origin, Source) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if !inContact && !t.ReadEndpoints(ctx) {
		return origin.Origin{}, Unread
	}
	return only(possible, t.Archive.mayHaveBegun(st), others)
}

// RefreshEndpoints reads the endpoints' entries after the call, if they can be read in time.
func (t *Tracker) RefreshEndpoints(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	t.ReadEndpoints(ctx)
}

// only returns the origin that the lists have in common if they have no other.
func only(lists ...[]origin.Origin) (origin.Origin, Source) {
	all := slices.Concat(lists...)
	if len(all) == 0 || areSeveral(all) {
		return origin.Origin{}, Unknown
	}
	return all[0], Only
}

func areSeveral(list []origin.Origin) bool {
	return slices.ContainsFunc(list, func(o origin.Origin) bool { return o != list[0] })
}

// concludeFrom is for a store that can't be read, or whose record may be incomplete: it returns the only version that
// the VMs have observed, if this VM knows of no other route to the stream's beginning.
func (t *Tracker) concludeFrom(poll *origin.Poll, st *origin.Stream, service string, err error) (origin.Origin, Source) {
	version, ok := poll.Only()
	o := origin.Origin{Service: service, Version: version}
	if possible := t.Archive.mayHaveBegun(st); ok && len(possible) == 1 && possible[0] == o {
		return o, Only
	}
	return origin.Origin{}, refusalOf(err)
}

// refusalOf returns the source of a stream whose origin isn't known as the record can't be used.
func refusalOf(err error) Source {
	if errors.Is(err, errIncomplete) {
		return Unknown
	}
	return Unread
}

// peerResult is what other VMs know of a stream.
type peerResult struct {
	origin origin.Origin
	known  bool
	poll   *origin.Poll
}

func (t *Tracker) askPeers(ctx context.Context, stream origin.Key, service string, window time.Duration, own origin.Observation) peerResult {
	replicasOf := stream
	if stream == origin.Unnamed {
		replicasOf = t.anyKey() // any VM can answer
	}
	others := t.others(replicasOf, origin.Lookups)
	r := peerResult{poll: origin.NewPoll(own, len(others))}
	r.origin, r.known = t.query(ctx, others, r.poll, stream, service, window)
	return r
}

// archiveResult is what the archive has of a stream.
type archiveResult struct {
	origin   origin.Origin
	known    bool
	possible []origin.Origin // that the stream may have by the record, if its origin isn't known
	err      error           // the store can't be read
}

// searchArchive looks a stream up in the archive. If VMs have been running for long, they probably know the
// stream, and can tell without the store whether there was only one version.
func (t *Tracker) searchArchive(ctx context.Context, st *origin.Stream, observed *origin.Observation) archiveResult {
	mayRetry := !observed.Whole
	if observed.Whole && st.Key != origin.Unnamed && !clock.Sleep(ctx, lookupDelay) {
		return archiveResult{err: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		o, known, possible, err := t.Archive.Lookup(ctx, st)
		switch {
		case err != nil && mayRetry && !errors.Is(err, errRestored) && !errors.Is(err, errIncomplete) && clock.Sleep(ctx, lookupRetryInterval):
			continue
		case err != nil:
			return archiveResult{err: err}
		}
		return archiveResult{origin: o, known: known, possible: possible}
	}
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

// anyKey returns another key after each query.
func (t *Tracker) anyKey() origin.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	return origin.Key(splitmix.Mix(t.Process ^ t.last))
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
	t.addArchived(b.GetArchivedOrigins(), from)
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
		a.Whole = observed.Whole
	}
	t.Send([]string{from}, &wire.Beat{StreamAnswer: a})
}

func (t *Tracker) receiveAnswer(from string, m *wire.StreamAnswer) {
	a := answer{from: from, observation: origin.Observation{Versions: m.GetVersions(), Fresh: m.GetFresh(), Whole: m.GetWhole()}}
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
