package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/bytebudget"
)

// eventReader splits a stream of server-sent events into whole events. Only whole events are
// forwarded to the caller, so that a stream that breaks off inside an event can be resumed at
// another endpoint.
type eventReader struct {
	rd      io.Reader
	held    *hold
	buf     []byte // what exceeds eventBufferBytes is taken from the VM's byte budget
	taken   int    // bytes of buf that next has returned
	filled  int    // bytes of buf that hold data
	checked int    // bytes of buf that are known not to hold the end of an event, apart from the last one
	readErr error
}

// eventBufferBytes is the initial buffer size, enough for the few events of a typical read.
const eventBufferBytes = 4 << 10

// maxEventBytes bounds the buffer, as an endpoint that never ends an event is faulty.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("an event has no end")

// newEventReader returns a reader with a byte budget of its own.
func newEventReader(rd io.Reader) *eventReader {
	return &eventReader{rd: rd, held: &hold{budget: bytebudget.New()}, buf: make([]byte, eventBufferBytes)}
}

// release gives back what the buffer has taken from the budget. The reader isn't used after that.
func (r *eventReader) release() { r.held.give(int64(len(r.buf) - eventBufferBytes)) }

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

// next returns all whole events that have arrived, and waits if there is none. The bytes are valid
// until the next call. It returns io.EOF if the stream ends after a whole event, and an error that
// wraps driver.ErrConnectionLost and io.ErrUnexpectedEOF if it ends inside one.
func (r *eventReader) next() ([]byte, error) {
	r.dropTaken()
	for {
		if n := r.findEnd(); n > 0 {
			r.taken = n
			return r.buf[:n], nil
		}
		if r.readErr != nil {
			if errors.Is(r.readErr, io.EOF) && r.filled > 0 {
				return nil, fmt.Errorf("%w: %w", driver.ErrConnectionLost, io.ErrUnexpectedEOF)
			}
			return nil, r.readErr
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// dropTaken removes the bytes that next has returned from the buffer.
func (r *eventReader) dropTaken() {
	if r.taken > 0 {
		r.filled = copy(r.buf, r.buf[r.taken:r.filled])
		r.taken, r.checked = 0, r.filled
	}
}

// findEnd returns the length of the whole events in the buffer. It doesn't search the same bytes twice, as an event
// may arrive in many parts.
func (r *eventReader) findEnd() int {
	from := max(r.checked-len(eventEnd)+1, 0)
	n := bytes.LastIndex(r.buf[from:r.filled], eventEnd)
	r.checked = r.filled
	if n < 0 {
		return 0
	}
	return from + n + len(eventEnd)
}

func (r *eventReader) fill() error {
	if r.filled == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return r.tooLong()
		}
		if err := r.held.take(int64(len(r.buf)), int64(r.filled)); err != nil {
			if r.filled >= bytebudget.LargeBytes {
				return r.tooLong()
			}
			return err
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.rd.Read(r.buf[r.filled:])
	r.filled += n
	r.readErr = err
	return nil
}

func (r *eventReader) tooLong() error {
	return fmt.Errorf("%w: %w", errEventTooLong, &exchange.BoundError{Cause: exchange.Event, Bytes: int64(r.filled)})
}

// followingID returns the id of the last event in events that follow the one with the id after, or after if none has
// an id. It reports whether the ids increase: an event that has been sent isn't sent again. Ids that aren't numbers
// aren't compared.
func followingID(after string, events []byte) (id string, increasing bool) {
	id = after
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		next := string(bytes.TrimSpace(value))
		n, err := strconv.ParseUint(next, 10, 64)
		before, err2 := strconv.ParseUint(id, 10, 64)
		if err == nil && err2 == nil && n <= before {
			return id, false
		}
		id = next
	}
	return id, true
}
