// Package lease says when a process may use the authority that the control
// stream gives it, and when another may claim it.
//
// The stream alone decides who holds a scope; see fold.Authority. Time comes
// in only here, twice, and both on the reader's own monotone clock that counts
// suspension: a holder counts its lease from before it sent a renewal that it
// has since read in the log, everyone else from when they read that renewal,
// plus a margin. The reading is after the sending, so that on clocks of equal
// rate the holder's count ends first, whatever the delays; the margin covers
// the difference of rates. No clock is compared with another machine's.
package lease

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/fold"
)

// Options are the times of the leases; they must be the same at every process.
type Options struct {
	TTL time.Duration
	// Margin is what others wait longer. It covers clocks whose rates differ by
	// up to Margin/TTL.
	Margin time.Duration
	// MaxFlight bounds the time between a permit and the last byte of the
	// order that it permitted.
	MaxFlight time.Duration
	// IdleWindow is the silence after which a process that holds nothing isn't
	// counted as live any more.
	IdleWindow time.Duration

	off guardsOff
}

// guardsOff switches single guards off, so that tests can show what each one
// is for.
type guardsOff struct {
	fromRead bool // the holder counts from the reading of its renewal
	flight   bool // others don't wait for orders on their way
	permit   bool // the lease isn't checked again at the order's last byte
}

// renewal is an own record that the log has shown.
type renewal struct {
	seq    uint64
	offset uint64
	sent   clock.Time // before its first try
}

// writer is what is known of another process.
type writer struct {
	vm      string
	read    clock.Time // when its newest record was read
	offset  uint64
	leaving bool
}

// Tracker follows the control stream for one process. It isn't safe for
// concurrent use.
type Tracker struct {
	opt   Options
	self  string
	began clock.Time
	// unclaimed is until when a scope that nobody is known to hold may still
	// be used by a holder of before the state began anew.
	unclaimed clock.Time
	writers   map[string]*writer
	own       renewal
	sent      map[uint64]clock.Time // own records on their way, by number
	read      map[uint64]renewal    // own records read before Sent told their time
}

// NewTracker returns the tracker of the process with incarnation self. What
// was read of others before now counts as read now.
func NewTracker(opt Options, self string, now clock.Time) *Tracker {
	return &Tracker{
		opt: opt, self: self, began: now, writers: map[string]*writer{},
		sent: map[uint64]clock.Time{}, read: map[uint64]renewal{},
	}
}

// Observe takes in an item that the fold was given too.
func (t *Tracker) Observe(now clock.Time, it *fold.Item) {
	if it.Gap {
		t.began = now
		return
	}
	if it.Entry.GetAuthorityCheckpoint().GetBegin() {
		t.unclaimed = now.Add(t.opt.TTL + t.opt.Margin + t.opt.MaxFlight)
	}
	if it.Writer == t.self {
		t.readOwn(now, it)
	}
	w := t.writers[it.Writer]
	if w == nil {
		w = &writer{vm: it.VM}
		t.writers[it.Writer] = w
	}
	w.read, w.offset = now, it.Offset
	if it.Entry.GetHeartbeat().GetLeaving() {
		w.leaving = true
	}
}

// readOwn notes a renewal of this process. Its first copy counts, and none
// that a later renewal has overtaken, as in the fold.
func (t *Tracker) readOwn(now clock.Time, it *fold.Item) {
	if it.Entry.GetHeartbeat() == nil || it.Seq <= t.own.seq {
		return
	}
	r := renewal{seq: it.Seq, offset: it.Offset}
	sent, known := t.sent[it.Seq]
	if t.opt.off.fromRead {
		sent, known = now, true
	}
	if !known {
		if _, again := t.read[it.Seq]; !again {
			t.read[it.Seq] = r
		}
		return
	}
	r.sent = sent
	t.count(r)
}

// RecordSent tells that the append with number seq was begun at the given time. It
// may be told before or after the record is read.
func (t *Tracker) RecordSent(seq uint64, at clock.Time) {
	if r, ok := t.read[seq]; ok && seq > t.own.seq {
		r.sent = at
		t.count(r)
		return
	}
	if seq > t.own.seq {
		t.sent[seq] = at
	}
}

func (t *Tracker) count(r renewal) {
	t.own = r
	for seq := range t.sent {
		if seq <= r.seq {
			delete(t.sent, seq)
		}
	}
	for seq := range t.read {
		if seq <= r.seq {
			delete(t.read, seq)
		}
	}
}

// LeaseEnd returns when this process's lease of a holding ends, 0 if it has none.
//
// Failure: a holder renews, is paused, and reads its renewal in the log long
// after others did. Counted from that reading the lease would outlast the time
// after which the others claim. It is counted from before the sending.
func (t *Tracker) LeaseEnd(h fold.Holding) clock.Time {
	if h.Writer != t.self || h.Released || h.Token == 0 || t.own.offset < h.Token {
		return 0
	}
	return t.own.sent.Add(t.opt.TTL)
}

// Superseded reports whether a record of this process with number seq can't
// count any more unless it was read before: a later renewal of this process
// stands in the log.
func (t *Tracker) Superseded(seq uint64) bool { return t.own.seq > seq }

// Claimable reports whether a scope can be claimed: nobody holds it, it was
// given up, or the lease has lapsed for certain.
//
// Failure: an engine that ignores fencing tokens takes an order that its former
// holder sent just before the lease ended and that arrives after the new
// holder's. The claim waits for the longest flight of an order besides.
func (t *Tracker) Claimable(now clock.Time, h fold.Holding, ignoresFence bool) bool {
	if h.Token == 0 {
		return now >= t.unclaimed
	}
	return h.Released || now >= t.lapse(h, ignoresFence)
}

func (t *Tracker) lapse(h fold.Holding, ignoresFence bool) clock.Time {
	from := t.began
	if w := t.writers[h.Writer]; w != nil {
		from = max(from, w.read)
	}
	wait := t.opt.TTL + t.opt.Margin
	if ignoresFence && !t.opt.off.flight {
		wait += t.opt.MaxFlight
	}
	return from.Add(wait)
}

// LiveProcesses returns the newest process of every VM that runs one, by VM. A process
// that says it leaves isn't counted. holds tells whether one holds a scope.
func (t *Tracker) LiveProcesses(now clock.Time, holds func(writer string) bool) map[string]string {
	out, newest := map[string]string{}, map[string]uint64{}
	for id, w := range t.writers {
		window := t.opt.IdleWindow
		if holds(id) || window == 0 {
			window = t.opt.TTL + t.opt.Margin
		}
		if now.Sub(w.read) > window {
			if now.Sub(w.read) > 2*max(window, t.opt.IdleWindow) && !holds(id) {
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

// VMSeenRecently reports whether anything of a VM's control process was read within
// the last TTL and margin.
func (t *Tracker) VMSeenRecently(now clock.Time, vm string) bool {
	for _, w := range t.writers {
		if w.vm == vm && now.Sub(w.read) <= t.opt.TTL+t.opt.Margin {
			return true
		}
	}
	return false
}

// AnyPeerSeenRecently reports whether any other process was read within the last TTL and
// margin.
func (t *Tracker) AnyPeerSeenRecently(now clock.Time) bool {
	for id, w := range t.writers {
		if id != t.self && now.Sub(w.read) <= t.opt.TTL+t.opt.Margin {
			return true
		}
	}
	return false
}

// IdleRenewInterval returns how often a process that holds nothing needs to be heard.
func (o *Options) IdleRenewInterval(renew time.Duration) time.Duration {
	const perWindow = 4 // so that three may be lost
	return min(max(renew, o.IdleWindow/perWindow), max(renew, o.TTL-o.Margin))
}

// Permit decides whether an order may leave now under a lease that ends at
// until. It is asked at the order's last byte.
//
// Failure: a holder is frozen between its decision and the order's last byte,
// and wakes after another process has taken over, with the order in its hand.
// Its clock counts the time it was frozen, so the check refuses. What it can't
// cover is a freeze between the check and the byte; see MaxFlight.
func (o *Options) Permit(now, until clock.Time) error {
	if now < until || o.off.permit {
		return nil
	}
	return code.New(code.NoAuthority, "the lease ended %s ago", now.Sub(until).Round(time.Millisecond))
}
