package httpdriver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

const maxLineBytes = 1 << 20

// tokenStream reads and validates the lines of the answer to one generate request.
type tokenStream struct {
	attempt string
	next    int // position of the next token
	tokens  int
	sum     *xxhash.Digest
	body    io.ReadCloser
	lines   *bufio.Scanner
	cancel  context.CancelFunc
	ended   error
}

func newTokenStream(req *driver.GenerateRequest, body io.ReadCloser, cancel context.CancelFunc) *tokenStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	return &tokenStream{
		attempt: req.Attempt,
		next:    req.FirstPosition,
		sum:     xxhash.New(),
		body:    body,
		lines:   lines,
		cancel:  cancel,
	}
}

// Next implements driver.TokenStream.
func (s *tokenStream) Next() (driver.Token, error) {
	if s.ended != nil {
		return driver.Token{}, s.ended
	}
	t, err := s.read()
	if err != nil {
		s.ended = err
	}
	return t, err
}

func (s *tokenStream) read() (driver.Token, error) {
	if !s.lines.Scan() {
		err := s.lines.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return driver.Token{}, fmt.Errorf("%w: stream of attempt %s: %w", driver.ErrConnectionLost, s.attempt, err)
	}
	var l httpapi.StreamLine
	if err := json.Unmarshal(s.lines.Bytes(), &l); err != nil {
		return driver.Token{}, fmt.Errorf("%w: %w", driver.ErrBadAnswer, err)
	}
	if l.Attempt != s.attempt {
		return driver.Token{}, wrongAttempt(s.attempt, l.Attempt)
	}
	if l.End {
		return driver.Token{}, s.end(&l)
	}
	if l.Pos != s.next {
		return driver.Token{}, fmt.Errorf("%w: token %d where %d is due", driver.ErrBadAnswer, l.Pos, s.next)
	}
	s.next++
	s.tokens++
	_, _ = s.sum.Write(l.Text)
	return driver.Token{Attempt: l.Attempt, Pos: l.Pos, Text: l.Text}, nil
}

// end checks the count and checksum in the last line against the received tokens.
func (s *tokenStream) end(l *httpapi.StreamLine) error {
	if l.Tokens != s.tokens || l.Sum != s.sum.Sum64() {
		return fmt.Errorf("%w: the end line is for %d tokens, %d came", driver.ErrBadAnswer, l.Tokens, s.tokens)
	}
	// Read the body to its end, so that the connection can be reused.
	_, _ = io.Copy(io.Discard, s.body)
	return io.EOF
}

// Close implements driver.TokenStream.
func (s *tokenStream) Close() error {
	s.cancel()
	return s.body.Close()
}
