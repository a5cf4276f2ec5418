package commit

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// MaxClockSkew is how far a key's issue time may lie ahead of the log's clock. A
// caller's clock kept by NTP is off by far less; the bound keeps a wrong clock
// from pinning a key in every node's memory.
const MaxClockSkew = time.Minute

// Verdict is what the log says of one intent.
type Verdict int

// The verdicts. All but Pending are final, but that a winner may be voided.
const (
	Pending Verdict = iota // not read back yet
	Won                    // the key's winner
	Lost                   // another intent was the winner at this one's place
	Voided                 // made harmless by its writer
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

// keyState is what the fold knows of one key.
type keyState struct {
	winner   *Intent
	outcome  *Outcome
	verdicts map[string]Verdict // by attempt
	voidedBy map[string]string  // writer of a void by attempt, until its intent comes
	last     time.Time          // of the newest record, by the log's clock

	// seen is when this process read the winner seenAttempt. The table keeps
	// it; the fold itself reads no clock.
	seen        clock.Time
	seenAttempt string
}

// forgetting is a key whose state is dropped when its time has come.
type forgetting struct {
	key  string
	last time.Time
}

// Fold is the state that a prefix of the commits stream gives. It is
// deterministic, and a record that comes twice changes nothing the second time.
type Fold struct {
	keep    time.Duration
	keys    map[string]*keyState
	order   []forgetting // by record time, which is monotone
	now     time.Time    // newest record time
	applied uint64       // newest offset
}

// NewFold returns an empty fold that remembers a key for keep after its last
// record. keep must be at least the longest age at which this process still
// dispatches a key, plus MaxAhead: a key that could be forgotten while it may
// still be dispatched would run twice.
func NewFold(keep time.Duration) *Fold {
	return &Fold{keep: keep, keys: map[string]*keyState{}}
}

// Apply adds one record and returns the key that it changed, "" for none.
func (f *Fold) Apply(r *Record) string {
	f.applied = max(f.applied, r.Offset)
	if r.Time.After(f.now) {
		f.now = r.Time
	}
	key := f.apply(r)
	if key != "" {
		f.touch(key)
	}
	f.forget()
	return key
}

func (f *Fold) apply(r *Record) string {
	switch k := r.Entry.GetKind().(type) {
	case *wire.Entry_Intent:
		f.intent(r, k.Intent)
		return k.Intent.GetKey()
	case *wire.Entry_Void:
		f.void(r, k.Void)
		return k.Void.GetKey()
	case *wire.Entry_Outcome:
		f.outcome(r, k.Outcome)
		return k.Outcome.GetKey()
	}
	return ""
}

// intent decides an intent's verdict at its place in the log. An intent that
// finds another winner is lost for good, also when that winner is voided later:
// its writer may have answered its caller meanwhile.
func (f *Fold) intent(r *Record, in *wire.Intent) {
	s := f.state(in.GetKey())
	attempt := in.GetAttempt()
	if s.verdicts[attempt] != Pending {
		return
	}
	if s.voidedBy[attempt] == r.Writer {
		// The late intent of a lost answer: its void came first.
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

// void takes a void only from the intent's own writer, since nobody else can
// know that the intent was not dispatched.
func (f *Fold) void(r *Record, v *wire.Void) {
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

func (f *Fold) outcome(r *Record, o *wire.Outcome) {
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

func (f *Fold) touch(key string) {
	f.keys[key].last = f.now
	f.order = append(f.order, forgetting{key: key, last: f.now})
}

// forget drops the keys whose last record is older than keep.
func (f *Fold) forget() {
	n := 0
	for n < len(f.order) && f.now.Sub(f.order[n].last) > f.keep {
		one := f.order[n]
		if s := f.keys[one.key]; s != nil && s.last.Equal(one.last) {
			delete(f.keys, one.key)
		}
		n++
	}
	if n > 0 {
		f.order = f.order[n:]
	}
}
