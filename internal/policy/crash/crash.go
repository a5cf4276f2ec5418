// Package crash detects requests and prompt parts that crash the endpoints which run them.
//
// Load pattern: a request crashes each endpoint that starts to run it, and its caller retries it at
// any VM; or requests of many callers share a prompt part that does. Unless VMs record such requests and
// parts, a pool of a dozen engines is lost within a minute, again and again.
//
// Approach: a request is identified by a fingerprint that all of its retries have in common. When an
// endpoint breaks off an answer, a crash is recorded for the request. A request with crashes at several
// endpoints is quarantined: every VM that has received reports of these crashes refuses it for a while.
// A connection can also be lost while its endpoint lives on. An answer to a later request refutes the
// crash.
//
// A crash is also recorded for each shared part of the prompts of requests that the endpoint had just
// begun or was about to begin. An answer to a request that was sent after a crash clears its parts of that
// crash. The parts that then explain the crashes best are quarantined (blame).
//
// Quarantines are reported to other VMs for as long as they last, as a VM may have started or been
// partitioned when they began. So are the successes that show that a request isn't the cause.
//
// A Register is safe for concurrent use.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// quarantineCrashes is the number of crashed endpoints from which a request is refused. One
	// crash affects whatever was running at the endpoint; two happen to a request by chance when
	// many endpoints fail.
	quarantineCrashes = 3
	// crashTTL is how long a crash counts. It outlasts the retries of an impatient caller, and is
	// short enough that a quarantine ends after the endpoints' own fault was repaired.
	crashTTL = 10 * time.Minute
	// minTimeLeft is how long a crash must still count to be told to another VM, so that VMs don't keep
	// it beyond crashTTL by telling each other.
	minTimeLeft = 5 * time.Second
	// successCredit is how long after a success crashes of the same request don't count: when many
	// callers send it, endpoints that fail together for another reason are all running it.
	successCredit = 30 * time.Second
	// maxRecords bounds the number of requests that crashes are recorded for.
	maxRecords = 4096
	// maxEndpoints is the number of endpoints with crashes from which those are forgotten whose crashes
	// no longer count.
	maxEndpoints = 1024
	// sweepInterval is the minimum time between two searches for endpoints that can be forgotten.
	sweepInterval = time.Minute
	// successSlots is the size of the table of requests that were answered. A request that comes
	// often is the most likely to be in its slot.
	successSlots = 4096
)

// Register records crashes by request.
type Register struct {
	mu      sync.Mutex
	records map[uint64]*record
	// successes holds requests that an endpoint has completed. The slot of a request is its
	// fingerprint modulo successSlots; the latest one replaces the one before.
	successes    [successSlots]success
	reportedUpTo uint64                // last request of the latest report
	endpoints    map[string]*endpoint  // those of which crashes were reported
	sweptAt      clock.Time            // when endpoints were last forgotten
	unproven     map[string][]Unproven // answers that may have been cut short, by endpoint process
	parts        parts
}

type success struct {
	request uint64
	at      clock.Time
}

// endpoint is what is known of an endpoint's process.
type endpoint struct {
	hasAnswered bool       // since a crash of it was reported first
	sentAt      clock.Time // when the latest request was sent that it has answered
	hasCrashes  bool       // crashes may be recorded that no answer has refuted
}

// record holds when endpoints crashed under one request, by what identifies their processes.
type record struct {
	crashes map[string]clock.Time
}

// expire deletes crashes that no longer count.
func (r *record) expire(now clock.Time) {
	maps.DeleteFunc(r.crashes, func(_ string, at clock.Time) bool { return now.Sub(at) > crashTTL })
}

// Crash is a crash of an endpoint while it ran a request, with the latest success of the same request.
type Crash struct {
	Request    uint64        // zero in a report on parts only
	Endpoint   string        // identifies the endpoint's process
	Age        time.Duration // since the crash
	HasSuccess bool          // an endpoint has completed the request
	SuccessAge time.Duration // since then
	Parts      []PartCrash
	Ended      bool // the process is known to have ended, and not only the connection; this VM's own reports only
}

// Later returns c with all ages increased by d.
func (c Crash) Later(d time.Duration) Crash {
	c.Age += d
	c.SuccessAge += d
	c.Parts = slices.Clone(c.Parts)
	for i := range c.Parts {
		c.Parts[i] = c.Parts[i].later(d)
	}
	return c
}

// New returns an empty register.
func New() *Register {
	return &Register{records: map[uint64]*record{}, endpoints: map[string]*endpoint{}, parts: newParts(), unproven: map[string][]Unproven{}}
}

// Record records a crash. It returns false if all of it was already recorded, or is too old to count.
func (r *Register) Record(now clock.Time, c Crash) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.track(now, c.Endpoint)
	answered := e.hasAnswered && now.Add(-c.Age) <= e.sentAt
	newRequest := c.Request != 0 && r.recordRequest(now, c, answered)
	isNew := newRequest
	for _, p := range c.Parts {
		isNew = r.parts.record(now, c, p, answered) || isNew
	}
	if newRequest {
		r.parts.countLost(c.Parts)
	}
	e.hasCrashes = e.hasCrashes || isNew
	return isNew
}

// recordRequest records a crash for a request. The endpoint may have answered since.
func (r *Register) recordRequest(now clock.Time, c Crash, answered bool) bool {
	if c.HasSuccess {
		r.mergeSuccess(c.Request, now.Add(-c.SuccessAge))
	}
	if c.Age > crashTTL {
		return false
	}
	rec := r.records[c.Request]
	if rec == nil {
		r.makeRoom(now)
		rec = &record{crashes: map[string]clock.Time{}}
		r.records[c.Request] = rec
	}
	rec.expire(now)
	if _, known := rec.crashes[c.Endpoint]; known || answered {
		return false
	}
	rec.crashes[c.Endpoint] = now.Add(-c.Age)
	r.parts.changed = true // the request may explain crashes
	return true
}

// track returns the state of an endpoint of which a crash is reported.
func (r *Register) track(now clock.Time, id string) *endpoint {
	if e := r.endpoints[id]; e != nil {
		return e
	}
	if len(r.endpoints) >= maxEndpoints && now.Sub(r.sweptAt) >= sweepInterval {
		r.sweptAt = now
		maps.DeleteFunc(r.endpoints, func(id string, _ *endpoint) bool { return !r.hasCrash(now, id) })
	}
	e := &endpoint{}
	r.endpoints[id] = e
	return e
}

// hasCrash reports whether a crash of the endpoint still counts.
func (r *Register) hasCrash(now clock.Time, id string) bool {
	for _, rec := range r.records {
		if at, found := rec.crashes[id]; found && now.Sub(at) <= crashTTL {
			return true
		}
	}
	return r.parts.hasCrash(now, id)
}

// RecordAnswer records that an endpoint has answered a request that was sent at sentAt. Crashes recorded
// before that were none: their connections were lost for another reason, such as a partition.
func (r *Register) RecordAnswer(sentAt clock.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prove(sentAt, id)
	e := r.endpoints[id]
	if e == nil || e.hasAnswered && sentAt <= e.sentAt {
		return
	}
	e.hasAnswered, e.sentAt = true, sentAt
	if e.hasCrashes {
		e.hasCrashes = r.refuteCrashes(sentAt, id)
	}
}

// refuteCrashes deletes crashes of an endpoint before at, and reports whether it has others.
func (r *Register) refuteCrashes(at clock.Time, id string) (others bool) {
	for _, rec := range r.records {
		crashedAt, found := rec.crashes[id]
		switch {
		case found && crashedAt < at:
			delete(rec.crashes, id)
		case found:
			others = true
		}
	}
	return r.parts.refute(at, id) || others
}

// CrashCount returns the number of endpoints that crashed while they ran the request. Crashes around
// the time of a success don't count.
func (r *Register) CrashCount(now clock.Time, request uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count(now, request)
}

func (r *Register) count(now clock.Time, request uint64) int {
	rec := r.records[request]
	if rec == nil {
		return 0
	}
	rec.expire(now)
	n := 0
	s := r.successes[request%successSlots]
	for _, at := range rec.crashes {
		if s.request != request || s.at == 0 || at >= s.at.Add(successCredit) {
			n++
		}
	}
	return n
}

// RecordSuccess records that an endpoint has completed the request.
func (r *Register) RecordSuccess(now clock.Time, request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSuccess(request, now)
}

// mergeSuccess records a success that another VM has told of, unless it is the known one, later by the transit
// of messages.
func (r *Register) mergeSuccess(request uint64, at clock.Time) {
	if s := r.successes[request%successSlots]; s.request != request || at > s.at.Add(maxTransit) {
		r.recordSuccess(request, at)
	}
}

func (r *Register) recordSuccess(request uint64, at clock.Time) {
	if slot := &r.successes[request%successSlots]; at >= slot.at {
		*slot = success{request, at}
	}
}

// Describe returns c with the latest success of its request, to be sent to other VMs.
func (r *Register) Describe(now clock.Time, c Crash) Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.describe(now, c)
}

func (r *Register) describe(now clock.Time, c Crash) Crash {
	if s := r.successes[c.Request%successSlots]; s.request == c.Request && s.at != 0 {
		c.HasSuccess, c.SuccessAge = true, now.Sub(s.at)
	}
	for i := range c.Parts {
		r.parts.describe(now, &c.Parts[i])
	}
	return c
}

// ShouldRefuse reports whether the request is quarantined.
func (r *Register) ShouldRefuse(now clock.Time, request uint64) bool {
	return r.CrashCount(now, request) >= quarantineCrashes
}

// RefusedPart returns the first of the parts that is quarantined, and marks it as asked for.
func (r *Register) RefusedPart(now clock.Time, parts []uint64) (part uint64, refuse bool) {
	if len(parts) == 0 {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge(now)
	return r.parts.refused(now, parts)
}

// TakeTrial reports whether a request with the part may be sent once more to see whether it still crashes
// endpoints. Only one VM at a time may ask.
func (r *Register) TakeTrial(now clock.Time, part uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.takeTrial(now, part)
}

// RecordPartsAnswered records that an endpoint has answered a request with these parts, or has been
// answering it for a while, and when the request was sent there.
func (r *Register) RecordPartsAnswered(sentAt clock.Time, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range parts {
		r.parts.recordAnswer(sentAt, p)
	}
}

// PartCrashCount returns the number of endpoints that crashed under the part and count against it.
func (r *Register) PartCrashCount(now clock.Time, part uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.count(now, part)
}

// QuarantinedParts returns the parts that are quarantined.
func (r *Register) QuarantinedParts(now clock.Time) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge(now)
	return slices.Sorted(maps.Keys(r.parts.quarantined))
}

// judge decides again which parts are quarantined, if there is new evidence.
func (r *Register) judge(now clock.Time) {
	if !r.parts.needsJudgement(now) {
		return
	}
	suspects := r.parts.suspects(now)
	if len(suspects) > 0 {
		suspects = append(suspects, r.suspectRequests(now)...)
	}
	r.parts.setQuarantined(now, r.parts.blame(suspects))
}

// suspectRequests returns the requests that are quarantined.
func (r *Register) suspectRequests(now clock.Time) []*suspect {
	var out []*suspect
	for request, rec := range r.records {
		if len(rec.crashes) < quarantineCrashes || r.count(now, request) < quarantineCrashes {
			continue
		}
		s := &suspect{id: request, crashes: map[string]partCrash{}}
		for endpoint, at := range rec.crashes {
			s.crashes[endpoint] = partCrash{at: at}
		}
		out = append(out, s)
	}
	return out
}

// Report returns what other VMs should know of up to n requests and some parts that have crashed enough
// endpoints to be quarantined, unless they were completed as well. Successive calls go through all of them.
func (r *Register) Report(now clock.Time, n int) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.crashingRequests(now)
	next, _ := slices.BinarySearch(requests, r.reportedUpTo+1)
	requests = append(requests[next:], requests[:next]...)
	var out []Crash
	for _, request := range requests[:min(n, len(requests))] {
		out = append(out, r.newestCrashes(now, request)...)
		r.reportedUpTo = request
	}
	return append(out, r.parts.report(now)...)
}

// InForce returns the crashes for which requests and parts are quarantined, up to n of them, in an order that
// doesn't depend on time.
func (r *Register) InForce(now clock.Time, n int) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge(now)
	var out []Crash
	for _, request := range r.crashingRequests(now) {
		if r.count(now, request) >= quarantineCrashes {
			out = append(out, r.newestCrashes(now, request)...)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(r.parts.quarantined)) {
		out = append(out, r.parts.reportPart(now, part)...)
	}
	out = out[:min(n, len(out))]
	slices.SortStableFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// crashingRequests returns, in order, the requests that have crashed enough endpoints to be quarantined
// unless they were completed as well.
func (r *Register) crashingRequests(now clock.Time) []uint64 {
	var out []uint64
	for request, rec := range r.records {
		if len(rec.crashes) < quarantineCrashes {
			continue
		}
		if rec.expire(now); len(rec.crashes) >= quarantineCrashes {
			out = append(out, request)
		}
	}
	slices.Sort(out)
	return out
}

// newestCrashes returns as many of the request's newest crashes as make up a quarantine.
func (r *Register) newestCrashes(now clock.Time, request uint64) []Crash {
	var out []Crash
	for endpoint, at := range r.records[request].crashes {
		if age := now.Sub(at); age < crashTTL-minTimeLeft {
			out = append(out, r.describe(now, Crash{Request: request, Endpoint: endpoint, Age: age}))
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(quarantineCrashes, len(out))]
}

// makeRoom deletes records once there are maxRecords: those that have expired, then those of a single
// crash, which affects every request at the endpoint, and at last all.
func (r *Register) makeRoom(now clock.Time) {
	if len(r.records) < maxRecords {
		return
	}
	for request, rec := range r.records {
		if rec.expire(now); len(rec.crashes) == 0 {
			delete(r.records, request)
		}
	}
	if len(r.records) >= maxRecords {
		maps.DeleteFunc(r.records, func(_ uint64, rec *record) bool { return len(rec.crashes) < 2 })
	}
	if len(r.records) >= maxRecords {
		clear(r.records)
	}
}
