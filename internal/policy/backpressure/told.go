package backpressure

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

const (
	// reportFor is how long each message to the other VMs repeats a send or a change, since several
	// messages in a row may be lost.
	reportFor = 1200 * time.Millisecond
	// peerTTL is the age from which the request rate of another VM is ignored.
	peerTTL = 2 * time.Second
	// maxReports bounds the number of reports in a message.
	maxReports = 256
)

// peer is the state of another VM, as last received from it.
type peer struct {
	requestRate float64 // callers' requests a second
	receivedAt  clock.Time
}

// Report is what a VM sends to the other VMs about one endpoint.
type Report struct {
	Endpoint  IncarnationID
	HasAnswer bool          // the sender has received an answer from the endpoint
	AnswerAge time.Duration // of that answer
	Limited   bool          // according to that answer
	Limit     float64       // requests a second, if Limited
	Sent      uint32        // requests sent by the sender's process while the endpoint was limited
}

// Reports returns the reports that should be sent to the other VMs now.
func (r *Tracker) Reports(now clock.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for life, rec := range r.records {
		if now.Sub(max(rec.lastSentAt, rec.changedAt)) > reportFor || len(out) == maxReports {
			continue
		}
		t := Report{Endpoint: life, Sent: rec.sent}
		if rec.ownAnswerAt != 0 {
			t.HasAnswer, t.AnswerAge, t.Limited, t.Limit = true, now.Sub(rec.ownAnswerAt), rec.limited, rec.limit
		}
		out = append(out, t)
	}
	return out
}

// MergeReports merges the request rate and the reports that another VM has sent.
func (r *Tracker) MergeReports(now clock.Time, vm string, requestRate float64, reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[vm] = peer{requestRate, now}
	for i := range reports {
		r.mergeReport(now, vm, &reports[i])
	}
}

func (r *Tracker) mergeReport(now clock.Time, vm string, t *Report) {
	rec := r.records[t.Endpoint]
	if rec == nil {
		if !t.HasAnswer || !t.Limited {
			return
		}
		rec = r.addRecord(t.Endpoint)
	}
	if answeredAt := now.Add(-t.AnswerAge); t.HasAnswer && answeredAt > rec.answeredAt {
		if r.setLimit(now, answeredAt, rec, t.Limited, t.Limit) && rec.mayLog(now) {
			log.WithField("vm", vm).WithField("limited", t.Limited).WithField("per_second", t.Limit).Info("endpoint limit received from VM")
		}
	}
	rec.debitPeerSends(now, r, vm, t.Sent)
}

// debitPeerSends withdraws the requests that vm has sent since its last report from the shared bucket.
func (rec *record) debitPeerSends(now clock.Time, r *Tracker, vm string, sent uint32) {
	previous, seen := rec.sentByPeer[vm]
	rec.sentByPeer[vm] = sent
	if !rec.limited || sent == previous {
		return
	}
	switch {
	case sent < previous: // the other process has restarted and counts from zero
	case seen:
		sent -= previous
	case now.Sub(rec.limitedSince) > reportFor:
		// The first report of vm on this endpoint: most of the count may be old, but the
		// last request is recent, since only recent requests are reported.
		sent = 1
	}
	r.fill(now, rec)
	rec.shared.withdraw(float64(sent), rec.effectiveLimit())
}
