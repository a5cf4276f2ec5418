package commit

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// MaxClockSkew is how far a key's issue time may be ahead of the log's clock. The skew of a
// caller's clock kept by NTP is far smaller; the bound prevents a wrong clock from keeping a key in
// every node's memory.
const MaxClockSkew = time.Minute

// Verdict is the decision on one intent that follows from the log.
type Verdict int

// The verdicts. All except Pending are final, except that a winner may still be voided.
const (
	Pending Verdict = iota // not read back yet
	Won                    // the key's winner
	Lost                   // another intent was the winner at this point of the log
	Voided                 // revoked by its writer, who will not dispatch it
)

// Intent is the winner of a key.
type Intent struct {
	Attempt   string
	Writer    string
	Hash      uint64
	Service   string
	Operation string
	Issued    time.Time
	Offset    uint64
	Time      time.Time // of its record in the log
}

// Outcome is the recorded result of a winner.
type Outcome struct {
	Attempt string
	Code    code.Code
	Run     code.Run
	Body    []byte
}

// keyState is the fold's state of one key.
type keyState struct {
	winner       *Intent
	outcome      *Outcome
	verdicts     map[string]Verdict // by attempt
	voidedBy     map[string]string  // writer of a void whose intent has not been read, by attempt
	lastRecordAt time.Time          // of the newest record, by the log's clock

	// winnerReadAt is when this process read the winner, whose attempt is readAttempt. The table
	// sets both; the fold itself reads no clock.
	winnerReadAt clock.Time
	readAttempt  string
}

// expiry is an entry of the expiration queue. The key expires unless it has a newer record.
type expiry struct {
	key          string
	lastRecordAt time.Time
}

// Fold is the state computed from a prefix of the commits stream. It is deterministic, and applying
// a record a second time changes nothing.
type Fold struct {
	retention     time.Duration
	keys          map[string]*keyState
	expiries      []expiry  // ordered by record time, which never decreases
	logTime       time.Time // newest record time
	appliedOffset uint64    // newest offset
}

// NewFold returns an empty fold that keeps a key for retention after its last record. retention
// must be at least the maximum age at which this process still dispatches a key, plus MaxClockSkew:
// a key that expired while it could still be dispatched could run twice.
func NewFold(retention time.Duration) *Fold {
	return &Fold{retention: retention, keys: map[string]*keyState{}}
}

// Apply adds one record and returns the key that it changed, "" for none.
func (f *Fold) Apply(r *Record) string {
	f.appliedOffset = max(f.appliedOffset, r.Offset)
	if r.Time.After(f.logTime) {
		f.logTime = r.Time
	}
	key := f.apply(r)
	if key != "" {
		f.recordChange(key)
	}
	f.expireKeys()
	return key
}

func (f *Fold) apply(r *Record) string {
	switch k := r.Entry.GetKind().(type) {
	case *wire.Entry_Intent:
		f.applyIntent(r, k.Intent)
		return k.Intent.GetKey()
	case *wire.Entry_Void:
		f.applyVoid(r, k.Void)
		return k.Void.GetKey()
	case *wire.Entry_Outcome:
		f.applyOutcome(r, k.Outcome)
		return k.Outcome.GetKey()
	}
	return ""
}

// applyIntent decides an intent's verdict from the records before it. An intent that comes after a
// winner stays lost even if the winner is voided later, because its writer may have answered its
// caller in the meantime.
func (f *Fold) applyIntent(r *Record, in *wire.Intent) {
	s := f.state(in.GetKey())
	attempt := in.GetAttempt()
	if s.verdicts[attempt] != Pending {
		return
	}
	if s.voidedBy[attempt] == r.Writer {
		// The append's answer was lost, and the void was appended before the intent.
		s.verdicts[attempt] = Voided
		delete(s.voidedBy, attempt)
		return
	}
	if s.winner != nil {
		s.verdicts[attempt] = Lost
		return
	}
	s.verdicts[attempt] = Won
	s.winner = &Intent{
		Attempt: attempt, Writer: r.Writer, Hash: in.GetBodyHash(),
		Service: in.GetService(), Operation: in.GetOperation(),
		Issued: time.UnixMilli(in.GetIssuedMs()), Offset: r.Offset, Time: r.Time,
	}
}

// applyVoid accepts a void only from the intent's own writer, because no other process can know
// that the intent was not dispatched.
func (f *Fold) applyVoid(r *Record, v *wire.Void) {
	s := f.state(v.GetKey())
	attempt := v.GetAttempt()
	switch s.verdicts[attempt] {
	case Pending:
		if s.voidedBy == nil {
			s.voidedBy = map[string]string{}
		}
		s.voidedBy[attempt] = r.Writer
	case Won:
		if s.winner.Writer != r.Writer || s.outcome != nil {
			return
		}
		s.verdicts[attempt] = Voided
		s.winner = nil
	}
}

// applyOutcome accepts the first outcome of the winner from the winner's writer.
func (f *Fold) applyOutcome(r *Record, o *wire.Outcome) {
	s := f.state(o.GetKey())
	w := s.winner
	if w == nil || s.outcome != nil || w.Attempt != o.GetAttempt() || w.Writer != r.Writer {
		return
	}
	s.outcome = &Outcome{
		Attempt: o.GetAttempt(), Code: code.Code(o.GetCode()),
		Run: code.Run(o.GetRun()), Body: o.GetBody(),
	}
}

func (f *Fold) state(key string) *keyState {
	s, ok := f.keys[key]
	if !ok {
		s = &keyState{verdicts: map[string]Verdict{}}
		f.keys[key] = s
	}
	return s
}

// recordChange sets the time of the key's newest record and queues the key to expire.
func (f *Fold) recordChange(key string) {
	f.keys[key].lastRecordAt = f.logTime
	f.expiries = append(f.expiries, expiry{key: key, lastRecordAt: f.logTime})
}

// expireKeys deletes the keys whose last record is older than the retention.
func (f *Fold) expireKeys() {
	n := 0
	for n < len(f.expiries) && f.logTime.Sub(f.expiries[n].lastRecordAt) > f.retention {
		oldest := f.expiries[n]
		if s := f.keys[oldest.key]; s != nil && s.lastRecordAt.Equal(oldest.lastRecordAt) {
			delete(f.keys, oldest.key)
		}
		n++
	}
	if n > 0 {
		f.expiries = f.expiries[n:]
	}
}
