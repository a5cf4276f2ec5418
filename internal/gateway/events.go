package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"fescuestand/internal/driver"
)

// eventReader splits a stream of server-sent events into whole events. Only whole events are
// forwarded to the caller, so that a stream that breaks off inside an event can be resumed at
// another endpoint.
type eventReader struct {
	rd      io.Reader
	buf     []byte
	filled  int // number of bytes of buf that hold data
	readErr error
}

// eventBufferBytes is the initial buffer size, enough for the few events of a typical read.
const eventBufferBytes = 4 << 10

// maxEventBytes bounds the buffer, as an endpoint that never ends an event is faulty.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("an event has no end")

func newEventReader(rd io.Reader) *eventReader {
	return &eventReader{rd: rd, buf: make([]byte, eventBufferBytes)}
}

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

// next returns all whole events that have arrived, and waits if there is none. The bytes are valid
// until the next call. It returns io.EOF if the stream ends after a whole event, and an error that
// wraps driver.ErrConnectionLost and io.ErrUnexpectedEOF if it ends inside one.
func (r *eventReader) next() ([]byte, error) {
	for {
		if n := bytes.LastIndex(r.buf[:r.filled], eventEnd); n >= 0 {
			return r.takeEvents(n + len(eventEnd)), nil
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

// takeEvents removes the first n bytes from the buffer and returns them.
func (r *eventReader) takeEvents(n int) []byte {
	out := make([]byte, n)
	copy(out, r.buf[:n])
	r.filled = copy(r.buf, r.buf[n:r.filled])
	return out
}

func (r *eventReader) fill() error {
	if r.filled == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return errEventTooLong
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.rd.Read(r.buf[r.filled:])
	r.filled += n
	r.readErr = err
	return nil
}

// lastEventID returns the id of the last event in events, or "" if none has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
