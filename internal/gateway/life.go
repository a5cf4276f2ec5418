package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/exchange"
	"fescuestand/internal/fault"
	"fescuestand/internal/policy/silence"
)

const (
	// lifeCheckTime is the time in which an engine that is to replace a silent one must show a sign of life: many round
	// trips, and a fraction of the time that callers wait for an event.
	lifeCheckTime = 150 * time.Millisecond
	// lifeAnswerTime is how long the answer is waited for. One that comes after lifeCheckTime shows that the engine is
	// slow, and it is found to be alive when it is asked next.
	lifeAnswerTime = time.Second
	// maxLifeCheckBytes bounds what is read of the answer.
	maxLifeCheckBytes = 64 << 10
)

// lifeChecks are the engines that are being asked for a sign of life, for all requests. The zero value has none.
type lifeChecks struct {
	mu      sync.Mutex
	running map[silence.Process]*lifeCheck
}

// lifeCheck is one question to an engine.
type lifeCheck struct {
	done chan struct{}
	// The rest is valid once done is closed.
	failed bool  // the engine couldn't be asked, or broke off
	born   int64 // of the process that answered, Unix milliseconds, zero if not known
}

// checkLife asks an engine for a sign of life, unless it is being asked.
func (g *Gateway) checkLife(e *catalog.Endpoint) *lifeCheck {
	g.lifeChecks.mu.Lock()
	defer g.lifeChecks.mu.Unlock()
	p := silenceProcess(e)
	if c := g.lifeChecks.running[p]; c != nil {
		return c
	}
	c := &lifeCheck{done: make(chan struct{})}
	if g.lifeChecks.running == nil {
		g.lifeChecks.running = map[silence.Process]*lifeCheck{}
	}
	g.lifeChecks.running[p] = c
	go func() {
		defer g.endLifeCheck(p, c)
		c.born, c.failed = g.askForLife(e)
	}()
	return c
}

func (g *Gateway) endLifeCheck(p silence.Process, c *lifeCheck) {
	if f := recover(); f != nil {
		g.metrics.countFault()
		fault.Entry(log.WithField("endpoint", p.ID), f).Error("check for life failed")
	}
	g.lifeChecks.mu.Lock()
	defer g.lifeChecks.mu.Unlock()
	delete(g.lifeChecks.running, p)
	close(c.done)
}

// askForLife returns when the process that answered was started, zero if not known, and whether the engine couldn't be
// asked, or broke off.
func (g *Gateway) askForLife(e *catalog.Endpoint) (born int64, failed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), lifeAnswerTime)
	defer cancel()
	asked := g.silences.Begin(silenceProcess(e), g.o.Clock.Now().Add(lifeAnswerTime))
	defer func() { asked.End(g.o.Clock.Now()) }()
	method, target := g.o.Codec.LifeCheck()
	g.o.Pressure.RecordSend(g.o.Clock.Now(), e)
	resp, err := g.o.Pool.Do(ctx, e.Address, &exchange.Request{Method: method, Target: target, Host: e.Address})
	if err != nil {
		return 0, ctx.Err() == nil
	}
	defer resp.Close()
	asked.Sign(g.o.Clock.Now())
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLifeCheckBytes)) // a failure leaves the connection unused
	if err != nil || resp.Status != http.StatusOK {
		return 0, false
	}
	return g.o.Codec.ParseBorn(body), false
}
