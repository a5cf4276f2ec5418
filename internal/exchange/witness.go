package exchange

import (
	"context"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxWitnesses is two, as an endpoint may close an idle connection right before the end of an answer.
	maxWitnesses = 2
	// witnessSpacing is the difference in the idle times of two witnesses, so that an idle timeout doesn't end both at
	// the same time.
	witnessSpacing = 500 * time.Millisecond
	// maxWitnessIdle is how long a connection may have been idle that becomes a witness.
	maxWitnessIdle = witnessSpacing / 2
)

// witnesses are the idle connections to an endpoint that are kept while it sends answers whose end shows only by that of
// their connection. They carry no requests: one that stays open beyond the end of an answer shows that the process lives.
type witnesses struct {
	answers int
	cancel  context.CancelFunc
}

// beginWitness keeps witnesses until the matching endWitness.
func (p *Pool) beginWitness(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[addr]
	if w == nil {
		ctx, cancel := context.WithCancel(context.Background())
		w = &witnesses{cancel: cancel}
		p.witnesses[addr] = w
		go p.keepWitnesses(ctx, addr)
	}
	w.answers++
}

// endWitness ends the need of one answer for witnesses. Without another one they may carry requests.
func (p *Pool) endWitness(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[addr]
	w.answers--
	if w.answers > 0 {
		return
	}
	w.cancel()
	delete(p.witnesses, addr)
	for _, c := range p.idle[addr] {
		c.witness = false
	}
}

// keepWitnesses opens witnesses one at a time, and others for those that have ended, until ctx is done.
func (p *Pool) keepWitnesses(ctx context.Context, addr string) {
	for {
		if p.needsWitness(addr) && !p.reserveWitness(ctx, addr) {
			p.dialWitness(ctx, addr)
		}
		if !clock.Sleep(ctx, witnessSpacing) {
			return
		}
		// If a process has just ended, a new connection may lead to the next one before that is known.
		if p.hasEnded(addr) && !clock.Sleep(ctx, endsTogether) {
			return
		}
	}
}

func (p *Pool) needsWitness(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.idle[addr] {
		if c.witness {
			n++
		}
	}
	return n < maxWitnesses && !p.closing
}

// reserveWitness makes an idle connection a witness. It returns false if none has been idle for a short time only.
func (p *Pool) reserveWitness(ctx context.Context, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		if !c.witness && time.Since(c.idleAt) < maxWitnessIdle {
			c.witness = ctx.Err() == nil
			return true
		}
	}
	return false
}

// dialWitness opens a witness. A failure shows nothing of the process: the next one is opened later.
func (p *Pool) dialWitness(ctx context.Context, addr string) {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return
	}
	c.idleTimeout = defaultIdleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	c.witness = ctx.Err() == nil
	p.addIdle(addr, c)
}
