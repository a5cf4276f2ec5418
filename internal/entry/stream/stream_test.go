package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/driver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func word(pos int) []byte { return fmt.Appendf(nil, "w%d ", pos) }

func want(n int) []byte {
	var text []byte
	for pos := range n {
		text = append(text, word(pos)...)
	}
	return text
}

// hostile is what reaches an entry after some breaks of a stream: the tokens
// of each attempt from its start on, in order, mixed with late and repeated
// tokens of earlier attempts and with tokens of other requests.
func hostile(t *rapid.T, a *Assembler, total int) error {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for attempt := 0; a.Next() < total; attempt++ {
		id := fmt.Sprint("a", attempt)
		a.BeginAttempt(id)
		end := a.Next() + rng.IntN(total-a.Next()+1)
		for pos := a.Next(); pos < end; pos++ {
			noise := []driver.Token{
				{Attempt: fmt.Sprint("a", attempt-1), Pos: pos, Text: []byte("late ")},
				{Attempt: "other", Pos: pos, Text: []byte("foreign ")},
				{Attempt: id, Pos: max(0, pos-1-rng.IntN(3)), Text: []byte("repeated ")},
			}
			if pos == 0 {
				noise = noise[:2]
			}
			for _, tok := range noise {
				if rng.IntN(3) > 0 {
					continue
				}
				if _, err := a.Accept(tok); err != nil {
					return err
				}
			}
			if _, err := a.Accept(driver.Token{Attempt: id, Pos: pos, Text: word(pos)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// An engine crashes or hands its streams over, again and again, while tokens
// of earlier attempts and of other requests still arrive. The caller must see
// each word once and in its place.
func TestBrokenStreamsAreJoinedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Assembler
		total := rapid.IntRange(1, 60).Draw(t, "total")
		assert.NilError(t, hostile(t, &a, total))
		assert.Equal(t, string(a.Text()), string(want(total)))
	})
}

// Without either guard the same streams come out wrong.
func TestAssemblerGuardsAreNeeded(t *testing.T) {
	for _, off := range []guardsOff{{attempt: true}, {position: true}} {
		wrong := 0
		rapid.Check(t, func(t *rapid.T) {
			a := Assembler{off: off}
			err := hostile(t, &a, 40)
			if err != nil || !bytes.Equal(a.Text(), want(40)) {
				wrong++
			}
		})
		assert.Assert(t, wrong > 0, "%+v", off)
	}
}

// A token is lost on the way: what follows must not be passed on as if nothing
// were missing.
func TestGapEndsTheAttempt(t *testing.T) {
	var a Assembler
	a.BeginAttempt("a")
	_, err := a.Accept(driver.Token{Attempt: "a", Pos: 1})
	assert.ErrorIs(t, err, driver.ErrBadAnswer)
}

// endless is an engine that never stops.
type endless struct {
	sent   int
	closed chan struct{}
}

func (e *endless) Next() (driver.Token, error) {
	select {
	case <-e.closed:
		return driver.Token{}, driver.ErrCut
	default:
	}
	e.sent++
	return driver.Token{Pos: e.sent - 1}, nil
}

func (e *endless) Close() error {
	close(e.closed)
	return nil
}

// A caller reads slowly, or not at all. What waits for it here is bounded, and
// its end leaves no goroutine behind.
func TestSlowReaderHoldsBoundedMemory(t *testing.T) {
	e := &endless{closed: make(chan struct{})}
	p := StartPump(e)
	<-p.Tokens()
	p.Close()
	assert.Assert(t, e.sent <= buffered+3, "%d tokens were read ahead", e.sent)
	for range p.Tokens() {
	}
	assert.ErrorIs(t, p.Err(), driver.ErrCut)
}

type whole struct{ left int }

func (w *whole) Next() (driver.Token, error) {
	if w.left == 0 {
		return driver.Token{}, io.EOF
	}
	w.left--
	return driver.Token{}, nil
}

func (w *whole) Close() error { return nil }

func TestPumpEndsWithTheStreamsOwnEnd(t *testing.T) {
	p := StartPump(&whole{left: 3})
	n := 0
	for range p.Tokens() {
		n++
	}
	assert.Equal(t, n, 3)
	assert.Assert(t, errors.Is(p.Err(), io.EOF))
	p.Close()
}
