// Package exchange does single HTTP/1.1 exchanges with endpoints over kept
// connections. It never sends a request twice, never asks for an encoding and
// passes target, header and body on as they are: whether a request may be
// repeated is the caller's decision, and depends on how far it got.
//
// net/http's Transport does neither: it sends a request again when a kept
// connection turns out to be dead, and drops bytes that follow an answer, so
// that a late answer of another request can't be told from noise.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuestand/internal/driver"
)

const (
	// dialTimeout bounds a connect. Round trips within a region are under
	// 10 ms, and the first repeat of a lost opening packet comes after 1 s,
	// when it is too late for most callers' hopes.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleLife is how long a kept connection is used again where the
	// endpoint states no timeout.
	defaultIdleLife = 4 * time.Second
	// idleMargin is left of the stated timeout, as the endpoint may close
	// while a request is under way to it.
	idleMargin = time.Second
	// maxIdle bounds the kept connections to one endpoint.
	maxIdle = 16
	// keepAlive probes find a peer that vanished without closing.
	keepAlive = 2 * time.Second
	// userTimeoutMs ends a connection whose sent bytes stay unacknowledged.
	userTimeoutMs = 3000
	// maxInterim bounds the 1xx responses before the final one.
	maxInterim = 8
)

// ErrSurplus means that bytes came which belong to no request.
var ErrSurplus = errors.New("bytes that belong to no request")

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	Target string // path and query, byte for byte
	Host   string
	Header http.Header // without Host, Content-Length and hop-by-hop fields
	Body   []byte
	// NoRetry makes the exchange use only connections on which it is unlikely
	// that the endpoint has just closed: after such a loss nobody knows
	// whether the request ran, and it may not be sent again.
	NoRetry bool
}

// Response is an endpoint's final response. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length of the body, -1 if it isn't stated.
	Length int64

	body *body
}

// Close ends the exchange. Before the body's end it closes the connection, which
// tells the endpoint to stop.
func (r *Response) Close() { r.body.close() }

// Pool keeps connections to endpoints by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu      sync.Mutex
	idle    map[string][]*conn
	stats   Stats
	closing bool
}

// Stats counts what the pool did.
type Stats struct {
	Dials, Reused, Surplus int64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         setUserTimeout,
	}
	return p
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Do sends r to addr and returns the final response's header. The end of ctx
// closes the connection, also while the body is read.
//
// Errors are driver.ErrNotSent if no byte of r left this process, else
// driver.ErrCut: r may have run.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.NoRetry)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &running{pool: p, addr: addr, c: c, stop: stop, written: make(chan struct{})}
	go x.write(r)
	resp, err := x.readHeader(r.Method)
	if err == nil {
		return resp, nil
	}
	stop()
	_ = c.Close()
	<-x.written
	if x.sent.n == 0 {
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %w", driver.ErrCut, err)
}

// get returns a kept connection that is still quiet, or dials.
func (p *Pool) get(ctx context.Context, addr string, once bool) (*conn, error) {
	for {
		c := p.take(addr, once)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.quiet() {
			c.fresh = false
			return c, nil
		}
		if c.br.Buffered() > 0 {
			p.count(func(s *Stats) { s.Surplus++ })
		}
		_ = c.Close()
	}
}

// onceIdle is the idle time up to which a request that may not be repeated uses
// a kept connection: endpoints close idle ones after seconds.
const onceIdle = time.Second

func (p *Pool) take(addr string, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := time.Since(c.idleAt)
	if once && idle > onceIdle {
		return nil
	}
	if idle > c.idleLife {
		for _, old := range list {
			_ = old.Close()
		}
		delete(p.idle, addr)
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	p.stats.Reused++
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.count(func(s *Stats) { s.Dials++ })
	c, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// put keeps c for the next exchange.
func (p *Pool) put(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing || len(p.idle[addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that have been idle for longer than they live, and
// those to addresses that keep doesn't name.
func (p *Pool) Sweep(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		rest := list[:0]
		for _, c := range list {
			if keep[addr] && time.Since(c.idleAt) <= c.idleLife {
				rest = append(rest, c)
				continue
			}
			_ = c.Close()
		}
		if len(rest) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = rest
	}
}

// Close closes the idle connections; those in use close when they end.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
	return nil
}

// idleLifeOf returns how long a connection may be kept after h.
func idleLifeOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil && secs >= 0 {
			return max(time.Duration(min(secs, maxIdleSeconds))*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleLife
}

// maxIdleSeconds bounds what an endpoint may ask for.
const maxIdleSeconds = 60

// encode writes r as bytes.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1<<10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodDelete && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
