package exchange

import "io"

// ReadBody reads a body to its end. It fails with a *BoundError if the body is longer than limit.
func ReadBody(rd io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(rd, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &BoundError{Cause: Body, Bytes: int64(len(b))}
	}
	return b, nil
}
