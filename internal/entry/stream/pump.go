package stream

import (
	"sync"

	"fescuestand/internal/driver"
)

// buffered is how many tokens of one stream wait for a slow reader. When they
// are full the engine's connection is not read, which stops the engine's side
// by TCP; 64 tokens are over two seconds of a stream at 39 ms each, and a few
// kilobytes.
const buffered = 64

// Pump reads one attempt's tokens ahead of the reader.
type Pump struct {
	stream driver.TokenStream
	tokens chan driver.Token
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
	err    error // valid once tokens is closed
}

// StartPump begins to read s. Close must be called.
func StartPump(s driver.TokenStream) *Pump {
	p := &Pump{stream: s, tokens: make(chan driver.Token, buffered), stop: make(chan struct{})}
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
			p.err = driver.ErrCut
			return
		}
	}
}

// Tokens is closed after the last token.
func (p *Pump) Tokens() <-chan driver.Token { return p.tokens }

// Err returns why Tokens was closed: io.EOF if the attempt is whole.
func (p *Pump) Err() error { return p.err }

// Close cancels the attempt at its engine and waits for the reading to end.
func (p *Pump) Close() {
	p.once.Do(func() {
		close(p.stop)
		_ = p.stream.Close()
	})
	p.wg.Wait()
}
