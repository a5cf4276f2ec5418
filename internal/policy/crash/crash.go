// Package crash detects requests that crash the endpoints which run them.
//
// Load pattern: a request crashes each endpoint that starts to run it, and its caller retries it at
// any VM. Unless VMs record such requests, a pool of a dozen engines is lost within a minute.
//
// Approach: a request is identified by a fingerprint that all of its retries have in common. When an
// endpoint breaks off without an answer, a crash is recorded for each request whose answer had not
// begun. A request with crashes at several endpoints is quarantined: every VM that has received
// reports of these crashes refuses it for a while.
//
// A Register is safe for concurrent use.
package crash

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// quarantineCrashes is the number of crashed endpoints from which a request is refused. One
	// crash affects whatever was running at the endpoint; two happen to a request by chance when
	// many endpoints fail.
	quarantineCrashes = 3
	// crashTTL is how long a crash counts unless another one follows.
	crashTTL = 30 * time.Second
	// quarantineTime is how long a quarantined request is refused: callers retry for a minute or
	// so.
	quarantineTime = 2 * time.Minute
	// maxRecords bounds the number of requests that crashes are recorded for.
	maxRecords = 4096
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
	successes [successSlots]success
}

type success struct {
	request uint64
	at      clock.Time
}

type record struct {
	endpoints map[string]bool
	last      clock.Time
}

// New returns an empty register.
func New() *Register { return &Register{records: map[uint64]*record{}} }

// RecordCrash records that an endpoint's process crashed while it ran the request. endpoint is an
// ID that changes each time the process starts. RecordCrash returns false if the crash was already
// recorded.
func (r *Register) RecordCrash(now clock.Time, request uint64, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[request]
	if rec == nil {
		r.makeRoom(now)
		rec = &record{endpoints: map[string]bool{}}
		r.records[request] = rec
	}
	if rec.endpoints[endpoint] {
		return false
	}
	if len(rec.endpoints) < quarantineCrashes && now.Sub(rec.last) > crashTTL {
		clear(rec.endpoints)
	}
	rec.endpoints[endpoint] = true
	rec.last = now
	return true
}

// CrashCount returns the number of endpoints that crashed while they ran the request.
func (r *Register) CrashCount(now clock.Time, request uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[request]
	if rec == nil || now.Sub(rec.last) > quarantineTime {
		return 0
	}
	return len(rec.endpoints)
}

// RecordSuccess records that an endpoint has completed the request.
func (r *Register) RecordSuccess(now clock.Time, request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.successes[request%successSlots] = success{request, now}
}

// ShouldRefuse reports whether the request is quarantined. A request that was also completed around
// the time of the crashes isn't their cause: when many callers send the same request, endpoints that
// fail together for another reason are all running it.
func (r *Register) ShouldRefuse(now clock.Time, request uint64) bool {
	return r.CrashCount(now, request) >= quarantineCrashes && !r.recentlySucceeded(request)
}

// recentlySucceeded reports whether the request was completed after its last crash, or less than
// crashTTL before it.
func (r *Register) recentlySucceeded(request uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, rec := r.successes[request%successSlots], r.records[request]
	return rec != nil && s.request == request && s.at != 0 && s.at.Add(crashTTL) > rec.last
}

// makeRoom deletes expired records once there are maxRecords. If none has expired it deletes all: so
// many recent crashes show that endpoints fail in general, not which request is the cause.
func (r *Register) makeRoom(now clock.Time) {
	if len(r.records) < maxRecords {
		return
	}
	for id, rec := range r.records {
		if now.Sub(rec.last) > crashTTL {
			delete(r.records, id)
		}
	}
	if len(r.records) >= maxRecords {
		clear(r.records)
	}
}
