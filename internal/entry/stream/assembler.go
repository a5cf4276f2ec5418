// Package stream merges the token streams of several attempts at one completion into a single
// stream, and buffers the tokens of each attempt.
//
// More than one engine may produce a completion: an engine may crash, or a planned role change may
// move its streams to another engine. Each token carries its position, so that the next attempt
// continues exactly where the previous one stopped, and the id of its attempt, so that late tokens
// of an earlier attempt are dropped.
package stream

import (
	"fmt"

	"fescuestand/internal/driver"
)

// Assembler accepts the token of each position exactly once, in order.
type Assembler struct {
	attempt  string
	next     int
	text     []byte
	dropped  int
	disabled disabledGuards
}

// disabledGuards disables single guards, so that tests can show what each one prevents.
type disabledGuards struct {
	attempt  bool // accept tokens of any attempt
	position bool // accept tokens at any position
}

// BeginAttempt makes attempt the only one whose tokens are accepted.
func (a *Assembler) BeginAttempt(attempt string) { a.attempt = attempt }

// Next returns the position of the next token to accept.
func (a *Assembler) Next() int { return a.next }

// Text returns the text of all tokens accepted so far. It is sent to the engine of a resumed
// attempt, which continues from there.
func (a *Assembler) Text() []byte { return a.text }

// Dropped returns how many late or repeated tokens were dropped.
func (a *Assembler) Dropped() int { return a.dropped }

// Accept appends t if it is the next token of the stream, and reports whether it did.
//
// Failure: after a move or a crash, tokens of the earlier attempt may still arrive, or an engine
// may send tokens of another request. If they were passed on, the caller would receive repeated
// text or text of another request. Tokens of another attempt and tokens at a position already
// accepted are dropped. A gap means that this attempt has lost tokens: Accept returns an error, and
// the attempt has to be abandoned.
func (a *Assembler) Accept(t driver.Token) (accepted bool, err error) {
	if t.Attempt != a.attempt && !a.disabled.attempt {
		a.dropped++
		return false, nil
	}
	if t.Pos < a.next && !a.disabled.position {
		a.dropped++
		return false, nil
	}
	if t.Pos > a.next && !a.disabled.position {
		return false, fmt.Errorf("%w: token %d where %d is due", driver.ErrBadAnswer, t.Pos, a.next)
	}
	a.next++
	a.text = append(a.text, t.Text...)
	return true, nil
}
