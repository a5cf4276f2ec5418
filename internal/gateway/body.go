package gateway

import (
	"errors"
	"io"
	"math/bits"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/bytebudget"
)

const (
	// maxBodyBytes bounds an answer that is buffered before it is sent to the caller. The VM's budget may have a
	// lower bound.
	maxBodyBytes = 32 << 20
	// minChunkBytes and maxChunkBytes bound the parts in which a body is held. Large chunks would make the last,
	// partly filled one take much of the budget.
	minChunkBytes, maxChunkBytes = 512, 256 << 10
	// maxRejectionBytes and maxRejectionTime bound what is read of the body of an answer by which the request
	// hasn't run. It serves only to keep the connection.
	maxRejectionBytes = 4 << 10
	maxRejectionTime  = 100 * time.Millisecond
)

// hold is what one request has taken from the VM's byte budget.
type hold struct {
	budget *bytebudget.Budget
	bytes  atomic.Int64
}

// take takes n bytes for a body of which size bytes have been read.
func (h *hold) take(n, size int64) error {
	if !h.budget.Take(n, size) {
		return &exchange.BoundError{Cause: exchange.Budget, Bytes: size}
	}
	h.bytes.Add(n)
	return nil
}

func (h *hold) give(n int64) {
	h.bytes.Add(-n)
	h.budget.Give(n)
}

// end gives back all that is left.
func (h *hold) end() { h.budget.Give(h.bytes.Swap(0)) }

// wholeBody is a body that has been read to its end. It is held in chunks, so that it grows without being copied.
type wholeBody struct {
	chunks [][]byte
	size   int64
	taken  int64 // from the budget
}

// readWhole reads a body to its end. It fails with a *exchange.BoundError if the body is longer than limit or than
// what is left of the budget, and keeps nothing of the budget then. length is the expected length, -1 if unknown.
func readWhole(rd io.Reader, length, limit int64, h *hold) (*wholeBody, error) {
	b := &wholeBody{}
	for {
		err := b.read(rd, length, limit, h)
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.recycle()
			h.give(b.taken)
			return nil, err
		}
	}
}

// minFreeBytes is the size of the smallest chunks that are used again.
const minFreeBytes = 4 << 10

// freeChunks are chunks of bodies that were given up, by the logarithm of their size. Responses without end would
// otherwise leave as much garbage as the budget allows to be held.
var freeChunks [bits.UintSize]sync.Pool

// mayBeFree reports whether chunks of n bytes are kept in freeChunks.
func mayBeFree(n int64) bool {
	return n >= minFreeBytes && n <= maxChunkBytes && n&(n-1) == 0
}

func newChunk(n int64) []byte {
	if mayBeFree(n) {
		if c, ok := freeChunks[bits.Len64(uint64(n))].Get().(*[]byte); ok {
			return (*c)[:0]
		}
	}
	return make([]byte, 0, n)
}

// recycle makes the chunks of a body that nothing else has seen available to other bodies.
func (b *wholeBody) recycle() {
	for _, c := range b.chunks {
		if n := int64(cap(c)); mayBeFree(n) {
			freeChunks[bits.Len64(uint64(n))].Put(&c)
		}
	}
	b.chunks = nil
}

// read reads once. The last chunk may take one byte more than limit, to see whether the body goes on.
func (b *wholeBody) read(rd io.Reader, length, limit int64, h *hold) error {
	if b.size == b.taken {
		if err := b.grow(min(b.nextChunk(length), limit+1-b.taken), length, h); err != nil {
			return err
		}
	}
	last := &b.chunks[len(b.chunks)-1]
	n, err := rd.Read((*last)[len(*last):cap(*last)])
	*last = (*last)[:len(*last)+n]
	b.size += int64(n)
	if b.size > limit {
		return &exchange.BoundError{Cause: exchange.Body, Bytes: b.size}
	}
	return err
}

func (b *wholeBody) grow(n, length int64, h *hold) error {
	if err := h.take(n, b.size); err != nil {
		if length < 0 && b.size >= bytebudget.LargeBytes {
			// It may have no end. A body with a length that is within the limit has one.
			return &exchange.BoundError{Cause: exchange.Body, Bytes: b.size}
		}
		return err
	}
	b.taken += n
	b.chunks = append(b.chunks, newChunk(n))
	return nil
}

// nextChunk returns the size of the next chunk: what is expected at first, then as much as there is.
func (b *wholeBody) nextChunk(length int64) int64 {
	n := b.taken
	if n == 0 {
		n = length
	}
	return min(max(n, minChunkBytes), maxChunkBytes)
}

// bytes returns the body in one piece.
func (b *wholeBody) bytes() []byte {
	if b == nil {
		return nil
	}
	if len(b.chunks) == 1 {
		return b.chunks[0]
	}
	return slices.Concat(b.chunks...)
}

// WriteTo implements io.WriterTo.
func (b *wholeBody) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// readWholeAnswer reads the body of an answer to the execution's request. One that states to be over the limit isn't
// read.
func (x *execution) readWholeAnswer(resp *exchange.Response, limit int64) (*wholeBody, error) {
	limit = min(limit, x.g.o.Bodies.MaxBody())
	if resp.Length > limit && x.call.Method != http.MethodHead {
		return nil, &exchange.BoundError{Cause: exchange.Body}
	}
	return readWhole(resp.Body, resp.Length, limit, &x.held)
}

// readRejection reads the body of an answer by which the request hasn't run, so that the connection can be reused. It
// returns an error only if the body exceeds its bound.
func readRejection(resp *exchange.Response) error {
	var exceeded *exchange.BoundError
	if err := resp.Discard(maxRejectionBytes, maxRejectionTime); errors.As(err, &exceeded) {
		return exceeded
	}
	return nil // at worst the connection is closed
}
