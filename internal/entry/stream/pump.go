package stream

import (
	"context"
	"errors"
	"io"
	"sync"

	"fescuestand/internal/driver"
)

// maxBufferedTokens bounds the tokens of one stream that are buffered for a slow reader. When the
// buffer is full, the engine's connection is not read, so that TCP flow control stops the engine.
// 64 tokens are over two seconds of a stream at 39 ms per token, and a few kilobytes.
const maxBufferedTokens = 64

// Open opens the token stream of an attempt. The stream ends when ctx does.
type Open func(ctx context.Context) (driver.TokenStream, error)

// Pump opens the stream of one attempt and reads its tokens into a bounded buffer, ahead of its
// consumer. An engine that leaves the request unanswered doesn't block the consumer.
type Pump struct {
	tokens chan driver.Token
	stop   chan struct{}
	cancel context.CancelFunc
	once   sync.Once
	wg     sync.WaitGroup
	err    error // valid once tokens is closed

	mu     sync.Mutex
	stream driver.TokenStream // nil until it is open
	closed bool
}

// StartPump starts a goroutine that opens and reads a stream. Close must be called.
func StartPump(ctx context.Context, open Open) *Pump {
	ctx, cancel := context.WithCancel(ctx)
	p := &Pump{tokens: make(chan driver.Token, maxBufferedTokens), stop: make(chan struct{}), cancel: cancel}
	p.wg.Go(func() {
		defer close(p.tokens)
		p.err = p.read(ctx, open)
	})
	return p
}

// read reads the stream until it ends or the pump is closed, and returns why.
func (p *Pump) read(ctx context.Context, open Open) error {
	s, err := open(ctx)
	if err != nil {
		return err
	}
	if !p.setStream(s) {
		_ = s.Close()
		return driver.ErrConnectionLost
	}
	for {
		t, err := s.Next()
		if err != nil {
			return err
		}
		select {
		case p.tokens <- t:
		case <-p.stop:
			return driver.ErrConnectionLost
		}
	}
}

// setStream returns false if the pump has been closed while the stream was opened.
func (p *Pump) setStream(s driver.TokenStream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream = s
	return !p.closed
}

// Tokens returns the channel of the tokens. It is closed after the last one.
func (p *Pump) Tokens() <-chan driver.Token { return p.tokens }

// Err returns why Tokens was closed.
func (p *Pump) Err() error { return p.err }

// Completed reports, once Tokens is closed, whether the engine has marked the completion as
// finished. io.EOF as the error of a request that wasn't answered doesn't.
func (p *Pump) Completed() bool { return p.Opened() && errors.Is(p.err, io.EOF) }

// Opened reports whether the engine has accepted the attempt.
func (p *Pump) Opened() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stream != nil
}

// Close cancels the attempt at its engine and waits until the reading goroutine has ended.
func (p *Pump) Close() {
	p.once.Do(func() {
		close(p.stop)
		p.mu.Lock()
		p.closed = true
		s := p.stream
		p.mu.Unlock()
		p.cancel() // a stream that opens now is closed unread
		if s != nil {
			_ = s.Close()
		}
	})
	p.wg.Wait()
}
