// Package lease decides until when a process may use the authority that the control stream gives
// it, and when another process may claim it.
//
// The stream alone decides which process holds a scope; see fold.Authority. Time is used only here,
// in two places, and always on the reader's own boot-time clock, which counts suspension:
//   - A holder counts its lease from before it sent a renewal that it has since read in the log.
//   - Everyone else counts from when they read that renewal, and adds a margin.
//
// A renewal is read after it was sent, so on clocks of equal rate the holder's lease ends first,
// whatever the delays; the margin covers the difference of rates. Clock readings of different
// machines are never compared.
package lease

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/fold"
)

// Options are the durations of the leases; they must be the same in every process.
type Options struct {
	TTL time.Duration
	// Margin is added to TTL by processes that wait for another's lease to end. It covers clocks
	// whose rates differ by up to Margin/TTL.
	Margin time.Duration
	// MaxFlight bounds the time between a permit and the last byte of the order that it permitted.
	MaxFlight time.Duration
	// IdleWindow is the time without a record after which a process that holds no scope no longer
	// counts as live.
	IdleWindow time.Duration

	disabled disabledGuards
}

// disabledGuards disables single guards, so that tests can show the failure that each one prevents.
type disabledGuards struct {
	leaseFromSend bool // the holder counts its lease from when it read its renewal
	flightWait    bool // others don't wait for orders in flight
	permitCheck   bool // the lease isn't checked again at the order's last byte
}

// renewal is a heartbeat of this process that was read in the log.
type renewal struct {
	seq    uint64
	offset uint64
	sentAt clock.Time // before its first append attempt
}

// writer is the recorded state of one process.
type writer struct {
	vm         string
	lastReadAt clock.Time // when its newest record was read
	offset     uint64
	leaving    bool
}

// Tracker follows the control stream for one process. It isn't safe for concurrent use.
type Tracker struct {
	opt       Options
	self      string
	startedAt clock.Time
	// unheldUntil is until when a scope without a recorded holder may still be used by a holder
	// from before the state was reset.
	unheldUntil clock.Time
	writers     map[string]*writer
	ownRenewal  renewal
	pendingSent map[uint64]clock.Time // own records whose append was started, by sequence number
	pendingRead map[uint64]renewal    // own renewals read before RecordSent gave their send time
}

// NewTracker returns the tracker of the process with incarnation self. The records of others that
// were read before now count as read now.
func NewTracker(opt Options, self string, now clock.Time) *Tracker {
	return &Tracker{
		opt: opt, self: self, startedAt: now, writers: map[string]*writer{},
		pendingSent: map[uint64]clock.Time{}, pendingRead: map[uint64]renewal{},
	}
}

// Observe records the time of an item that is also applied to the fold.
func (t *Tracker) Observe(now clock.Time, it *fold.Item) {
	if it.Gap {
		t.startedAt = now
		return
	}
	if it.Entry.GetAuthorityCheckpoint().GetBegin() {
		t.unheldUntil = now.Add(t.opt.TTL + t.opt.Margin + t.opt.MaxFlight)
	}
	if it.Writer == t.self {
		t.observeOwn(now, it)
	}
	w := t.writers[it.Writer]
	if w == nil {
		w = &writer{vm: it.VM}
		t.writers[it.Writer] = w
	}
	w.lastReadAt, w.offset = now, it.Offset
	if it.Entry.GetHeartbeat().GetLeaving() {
		w.leaving = true
	}
}

// observeOwn records a renewal of this process. As in the fold, only its first copy counts, and
// none after a later renewal.
func (t *Tracker) observeOwn(now clock.Time, it *fold.Item) {
	if it.Entry.GetHeartbeat() == nil || it.Seq <= t.ownRenewal.seq {
		return
	}
	r := renewal{seq: it.Seq, offset: it.Offset}
	sent, known := t.pendingSent[it.Seq]
	if t.opt.disabled.leaseFromSend {
		sent, known = now, true
	}
	if !known {
		if _, duplicate := t.pendingRead[it.Seq]; !duplicate {
			t.pendingRead[it.Seq] = r
		}
		return
	}
	r.sentAt = sent
	t.applyRenewal(r)
}

// RecordSent records that the append with sequence number seq was started at the given time. It may
// be called before or after the record is read.
func (t *Tracker) RecordSent(seq uint64, at clock.Time) {
	if r, ok := t.pendingRead[seq]; ok && seq > t.ownRenewal.seq {
		r.sentAt = at
		t.applyRenewal(r)
		return
	}
	if seq > t.ownRenewal.seq {
		t.pendingSent[seq] = at
	}
}

func (t *Tracker) applyRenewal(r renewal) {
	t.ownRenewal = r
	for seq := range t.pendingSent {
		if seq <= r.seq {
			delete(t.pendingSent, seq)
		}
	}
	for seq := range t.pendingRead {
		if seq <= r.seq {
			delete(t.pendingRead, seq)
		}
	}
}

// LeaseEnd returns when this process's lease of a holding ends, 0 if it has none.
//
// Failure: a holder renews, is paused, and reads its renewal in the log long after others did.
// Counted from that read the lease would last longer than the time after which others may claim the
// scope. It is therefore counted from before the send.
func (t *Tracker) LeaseEnd(h fold.Holding) clock.Time {
	if h.Writer != t.self || h.Released || h.Token == 0 || t.ownRenewal.offset < h.Token {
		return 0
	}
	return t.ownRenewal.sentAt.Add(t.opt.TTL)
}

// Superseded reports whether a record of this process with number seq can no longer take effect
// unless it was read before, because a later renewal of this process is in the log.
func (t *Tracker) Superseded(seq uint64) bool { return t.ownRenewal.seq > seq }

// Claimable reports whether a scope can be claimed: nobody holds it, it was released, or the
// holder's lease has certainly expired.
//
// Failure: an engine that ignores fencing tokens accepts an order that its former holder sent just
// before the lease ended and that arrives after the new holder's. For such engines the claim also
// waits for the longest flight of an order.
func (t *Tracker) Claimable(now clock.Time, h fold.Holding, ignoresFence bool) bool {
	if h.Token == 0 {
		return now >= t.unheldUntil
	}
	return h.Released || now >= t.leaseExpiry(h, ignoresFence)
}

func (t *Tracker) leaseExpiry(h fold.Holding, ignoresFence bool) clock.Time {
	waitFrom := t.startedAt
	if w := t.writers[h.Writer]; w != nil {
		waitFrom = max(waitFrom, w.lastReadAt)
	}
	wait := t.opt.TTL + t.opt.Margin
	if ignoresFence && !t.opt.disabled.flightWait {
		wait += t.opt.MaxFlight
	}
	return waitFrom.Add(wait)
}

// LiveProcesses returns the newest live process of every VM, by VM. A VM whose newest process
// announced that it is leaving is left out. holds reports whether a process holds a scope.
func (t *Tracker) LiveProcesses(now clock.Time, holds func(writer string) bool) map[string]string {
	out, newest := map[string]string{}, map[string]uint64{}
	for id, w := range t.writers {
		window := t.opt.IdleWindow
		if holds(id) || window == 0 {
			window = t.opt.TTL + t.opt.Margin
		}
		if now.Sub(w.lastReadAt) > window {
			if now.Sub(w.lastReadAt) > 2*max(window, t.opt.IdleWindow) && !holds(id) {
				delete(t.writers, id)
			}
			continue
		}
		if w.offset > newest[w.vm] {
			newest[w.vm] = w.offset
			delete(out, w.vm)
			if !w.leaving {
				out[w.vm] = id
			}
		}
	}
	return out
}

// VMSeenRecently reports whether any record of a VM's control process was read within the last TTL
// and margin.
func (t *Tracker) VMSeenRecently(now clock.Time, vm string) bool {
	for _, w := range t.writers {
		if w.vm == vm && now.Sub(w.lastReadAt) <= t.opt.TTL+t.opt.Margin {
			return true
		}
	}
	return false
}

// AnyPeerSeenRecently reports whether a record of any other process was read within the last TTL
// and margin.
func (t *Tracker) AnyPeerSeenRecently(now clock.Time) bool {
	for id, w := range t.writers {
		if id != t.self && now.Sub(w.lastReadAt) <= t.opt.TTL+t.opt.Margin {
			return true
		}
	}
	return false
}

// IdleRenewInterval returns how often a process that holds no scope needs to renew.
func (o *Options) IdleRenewInterval(renew time.Duration) time.Duration {
	const perWindow = 4 // so that three may be lost
	return min(max(renew, o.IdleWindow/perWindow), max(renew, o.TTL-o.Margin))
}

// Permit decides whether an order may be sent now under a lease that ends at until. It is called at
// the order's last byte.
//
// Failure: a holder is frozen between its decision and the order's last byte, and resumes with the
// order still to be sent after another process has taken over. Its clock counts the time it was
// frozen, so the check refuses. A freeze between the check and the byte isn't covered; see
// MaxFlight.
func (o *Options) Permit(now, until clock.Time) error {
	if now < until || o.disabled.permitCheck {
		return nil
	}
	return code.New(code.NoAuthority, "the lease ended %s ago", now.Sub(until).Round(time.Millisecond))
}
