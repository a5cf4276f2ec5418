// Package stream joins the token streams of several attempts into one.
//
// A completion may be produced by more than one engine: one crashes, or a
// planned change moves its streams. Positions make the joints exact; the id of
// the attempt keeps tokens of an earlier attempt, which may still arrive, out.
package stream

import (
	"fmt"

	"fescuestand/internal/driver"
)

// Assembler accepts each position once and in order.
type Assembler struct {
	attempt string
	next    int
	text    []byte
	dropped int
	off     guardsOff
}

// guardsOff switches single guards off, so that tests show what each is for.
type guardsOff struct {
	attempt  bool // take tokens of any attempt
	position bool // take tokens at any position
}

// BeginAttempt makes attempt the only one whose tokens count.
func (a *Assembler) BeginAttempt(attempt string) { a.attempt = attempt }

// Next returns the position of the first token not yet accepted.
func (a *Assembler) Next() int { return a.next }

// Text returns everything accepted so far. A resumed attempt is given it, so
// that the engine continues where the other stopped.
func (a *Assembler) Text() []byte { return a.text }

// Dropped returns how many tokens were dropped as late or repeated.
func (a *Assembler) Dropped() int { return a.dropped }

// Accept tells whether t is the next token of the stream.
//
// Failure: after a move or a crash, tokens of the earlier attempt are still on
// their way, or an engine answers with another request's tokens. Passed on,
// the caller would see a repeated or a foreign piece of text. A token of
// another attempt and a position already sent are dropped; a gap means that
// this attempt has lost tokens, and it is given up.
func (a *Assembler) Accept(t driver.Token) (keep bool, err error) {
	if t.Attempt != a.attempt && !a.off.attempt {
		a.dropped++
		return false, nil
	}
	if t.Pos < a.next && !a.off.position {
		a.dropped++
		return false, nil
	}
	if t.Pos > a.next && !a.off.position {
		return false, fmt.Errorf("%w: token %d where %d is due", driver.ErrBadAnswer, t.Pos, a.next)
	}
	a.next++
	a.text = append(a.text, t.Text...)
	return true, nil
}
