package stream

import (
	"sync"

	"fescuestand/internal/driver"
)

// maxBufferedTokens bounds the tokens of one stream that are buffered for a slow reader. When the
// buffer is full, the engine's connection is not read, so that TCP flow control stops the engine.
// 64 tokens are over two seconds of a stream at 39 ms per token, and a few kilobytes.
const maxBufferedTokens = 64

// Pump reads the tokens of one attempt into a bounded buffer, ahead of its consumer.
type Pump struct {
	stream driver.TokenStream
	tokens chan driver.Token
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	err    error // valid once tokens is closed
}

// StartPump starts a goroutine that reads s. Close must be called.
func StartPump(s driver.TokenStream) *Pump {
	p := &Pump{stream: s, tokens: make(chan driver.Token, maxBufferedTokens), stop: make(chan struct{})}
	p.wg.Go(p.read)
	return p
}

func (p *Pump) read() {
	defer close(p.tokens)
	for {
		t, err := p.stream.Next()
		if err != nil {
			p.err = err
			return
		}
		select {
		case p.tokens <- t:
		case <-p.stop:
			p.err = driver.ErrConnectionLost
			return
		}
	}
}

// Tokens returns the channel of the tokens. It is closed after the last one.
func (p *Pump) Tokens() <-chan driver.Token { return p.tokens }

// Err returns why Tokens was closed: io.EOF if the attempt is complete.
func (p *Pump) Err() error { return p.err }

// Close cancels the attempt at its engine and waits until the reading goroutine has ended.
func (p *Pump) Close() {
	p.once.Do(func() {
		close(p.stop)
		_ = p.stream.Close()
	})
	p.wg.Wait()
}
