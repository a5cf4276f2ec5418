package backpressure

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

const (
	// tellFor is how long a send or a change is told with each message: several messages in
	// a row may be lost.
	tellFor = 1200 * time.Millisecond
	// peerStale is the age from which a VM's rate is ignored.
	peerStale = 2 * time.Second
	// maxTold bounds a message.
	maxTold = 256
)

// peer is what another VM told of itself.
type peer struct {
	requests float64 // a second
	at       clock.Time
}

// Report is what a VM tells the others of one endpoint.
type Report struct {
	Endpoint  IncarnationID
	HasAnswer bool          // the endpoint has answered this VM
	AnswerAge time.Duration // of that answer
	Limited   bool          // by that answer
	Limit     float64       // requests a second, if Limited
	Sent      uint32        // requests of this process
}

// Reports returns what the other VMs should know now.
func (r *Tracker) Reports(now clock.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for life, rec := range r.known {
		if now.Sub(max(rec.usedAt, rec.newsAt)) > tellFor || len(out) == maxTold {
			continue
		}
		t := Report{Endpoint: life, Sent: rec.sent}
		if rec.toldAt != 0 {
			t.HasAnswer, t.AnswerAge, t.Limited, t.Limit = true, now.Sub(rec.toldAt), rec.limited, rec.limit
		}
		out = append(out, t)
	}
	return out
}

// MergeReports takes what another VM told.
func (r *Tracker) MergeReports(now clock.Time, vm string, requests float64, told []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[vm] = peer{requests, now}
	for i := range told {
		r.hear(now, vm, &told[i])
	}
}

func (r *Tracker) hear(now clock.Time, vm string, t *Report) {
	rec := r.known[t.Endpoint]
	if rec == nil {
		if !t.HasAnswer || !t.Limited {
			return
		}
		rec = r.add(t.Endpoint)
	}
	if saidAt := now.Add(-t.AnswerAge); t.HasAnswer && saidAt > rec.saidAt {
		if r.set(now, saidAt, rec, t.Limited, t.Limit) && rec.mayLog(now) {
			log.WithField("vm", vm).WithField("limited", t.Limited).WithField("per_second", t.Limit).Info("limit heard of a VM")
		}
	}
	rec.debit(now, r, vm, t.Sent)
}

// debit takes what vm has sent since it was last heard from the common bucket.
func (rec *record) debit(now clock.Time, r *Tracker, vm string, sent uint32) {
	before, known := rec.heard[vm]
	rec.heard[vm] = sent
	if !rec.limited || sent == before {
		return
	}
	switch {
	case sent < before: // the count of a new process
	case known:
		sent -= before
	case now.Sub(rec.beganAt) > tellFor:
		// Most of the count may be old, but the last request isn't: it is told.
		sent = 1
	}
	r.fill(now, rec)
	rec.all.take(float64(sent), rec.rate())
}
