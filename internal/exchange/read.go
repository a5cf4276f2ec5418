package exchange

import (
	"errors"
	"io"
)

// minReadBytes is the size of the first buffer of a body.
const minReadBytes = 512

// ReadBody reads a body of at most limit bytes. A longer one is an error, never a shorter body. The buffer is doubled, so
// that a body over the limit allocates three times the limit at most.
func ReadBody(rd io.Reader, limit int64) ([]byte, error) {
	b := make([]byte, 0, min(minReadBytes, limit+1))
	for {
		if len(b) == cap(b) {
			grown := make([]byte, len(b), min(2*int64(cap(b)), limit+1))
			copy(grown, b)
			b = grown
		}
		n, err := rd.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, &BoundError{Cause: Body, Bytes: int64(len(b))}
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
