// Package oracle computes the answers of the fake engines and services. An answer depends only on the
// request, so that a caller can check every byte, and a resumed stream must equal an uninterrupted one.
package oracle

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	minLetters = 2 // letters of a word
	maxLetters = 7
)

// Completion is the full answer to one generate request.
type Completion struct {
	base uint64
}

// New returns the expected completion of a request.
func New(model, version, adapter string, prompt []byte, seed uint64) Completion {
	d := xxhash.New()
	for _, s := range []string{model, version, adapter} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(prompt)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], seed)
	_, _ = d.Write(b[:])
	return Completion{base: d.Sum64()}
}

// Token returns the text of the token at position pos: a word followed by a space.
func (c Completion) Token(pos int) []byte {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], c.base)
	binary.BigEndian.PutUint64(b[8:], uint64(pos))
	h := xxhash.Sum64(b[:])
	n := minLetters + int(h%(maxLetters-minLetters+1))
	h >>= 8
	word := make([]byte, 0, n+1)
	for range n {
		word = append(word, 'a'+byte(h%26))
		h /= 26
	}
	return append(word, ' ')
}

// Text returns the text of the tokens from position from up to but not including to.
func (c Completion) Text(from, to int) []byte {
	var text []byte
	for pos := from; pos < to; pos++ {
		text = append(text, c.Token(pos)...)
	}
	return text
}

// Answer returns the response body of a plain service to a call.
func Answer(operation string, body []byte) []byte {
	d := xxhash.New()
	_, _ = d.WriteString(operation)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return []byte(`{"operation":"` + operation + `","receipt":"` + hex.EncodeToString(d.Sum(nil)) + `"}`)
}
