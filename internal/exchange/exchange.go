// Package exchange is an HTTP/1.1 client that sends requests to endpoints over a pool of
// persistent connections and never retries.
//
// It sends each request at most once, doesn't add an Accept-Encoding header, and sends target,
// header and body unchanged. Errors say whether any byte of the request was sent, so that the
// calling package can decide whether a retry is safe.
//
// net/http's Transport isn't used for two reasons: it resends a request by itself when a pooled
// connection turns out to be closed, and it silently drops bytes that follow a response, which
// hides a late response to an earlier request.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/network"
	"fescuestand/internal/stall"
)

const (
	// dialTimeout bounds a TCP connect. Round trips within a region take less than 10 ms. The
	// kernel retransmits a lost SYN only after 1 s, which is too late for most callers.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the endpoint announces
	// no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the announced timeout, as the endpoint could
	// otherwise close the connection while a request is in transit.
	idleTimeoutMargin = time.Second
	// maxIdlePerAddr bounds the idle connections to one endpoint.
	maxIdlePerAddr = 16
	// keepAlivePeriod is the idle time before, and the interval between, TCP keep-alive probes,
	// which detect a peer that disappeared without closing the connection.
	keepAlivePeriod = 2 * time.Second
	// userTimeout is TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
	// unacknowledged for that long.
	userTimeout = 3 * time.Second
	// maxInterimResponses bounds the responses read for one request, 1xx responses included.
	maxInterimResponses = 8
	// MaxHeaderBytes bounds a response's status line and header fields, also for other clients. The endpoints'
	// own take less than 1 KB. A thousand exchanges with endpoints that send headers without end hold 32 MB at
	// this bound.
	MaxHeaderBytes = 32 << 10
)

// ErrSurplus means that an endpoint sent bytes that belong to no request.
var ErrSurplus = errors.New("bytes that belong to no request")

// Request is one request as it is sent over the wire.
type Request struct {
	Method string
	Target string // path and query, byte for byte
	Host   string
	Header http.Header // without Host, Content-Length and hop-by-hop fields
	Body   []byte
	// ID is that of the request in its responses, empty if they have none. A late copy of an earlier response must not be
	// taken for its own: it doesn't follow a request with the same ID on a connection, nor one without an ID.
	ID string
	// ResponseID returns the ID that a response bears, "" if it bears none. It is nil if responses aren't told apart.
	ResponseID func(http.Header) string
	// History holds the connections that have carried the request, if it may be sent more than once. None carries it
	// again, however many others it has carried since. It is nil if the request is sent once.
	History *History
	// Unshared marks a request that is sent on a new connection: nothing else on it can be taken for its response.
	Unshared bool
	// NoRetry marks a request that must not be retried after a lost connection, since it may
	// have run. It is sent only on new or recently used connections, which the endpoint is
	// unlikely to be closing at the same moment.
	NoRetry bool
	// VerifyEnd marks a request whose answer is checked by CheckProcess if it is a success and its end shows only by that
	// of its connection.
	VerifyEnd bool
}

// Response is an endpoint's final (not 1xx) response. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the body's length, -1 if unknown.
	Length int64
	// Framed means that the body's end can be told from a connection that the endpoint closed early.
	Framed bool
	// OtherRequest means that the response belongs to another request, or that it may and doesn't say to which one. The
	// request may have run.
	OtherRequest bool

	body *body
}

// Close ends the exchange. If the body hasn't been read to its end, Close resets the connection,
// so that the endpoint cancels the request.
func (r *Response) Close() { r.body.close() }

// Process returns what SetProcess has set for a response on the same connection, zero if nothing: a connection belongs to
// one process.
func (r *Response) Process() int64 { return r.body.x.c.process.Load() }

// SetProcess sets when the process that sent the response was started.
func (r *Response) SetProcess(born int64) { r.body.x.c.process.Store(born) }

// RequestWritten reports whether the whole request has been written, so that its body isn't in use any more.
func (r *Response) RequestWritten() bool { return r.body.x.requestWritten() }

// Observer observes the exchanges of a pool.
type Observer interface {
	// Dialed is called with the result of each attempt to connect, unless it was canceled.
	Dialed(addr string, ok bool)
	// Begin is called when an exchange begins, and End when it has ended. lost means that its
	// connection was lost before any byte of the response had arrived.
	Begin(addr string)
	End(addr string, lost bool)
	// Received is called when bytes have arrived.
	Received()
}

// Pool holds idle connections by endpoint address. It is safe for concurrent use.
type Pool struct {
	// Observer is nil if nothing observes the pool. It is set before the first use.
	Observer Observer
	// Dialer opens the connections. NewPool sets one; another one is set before the first use.
	Dialer stall.Dialer
	// OnExceeded is called for each response whose header, interim responses or surplus bytes exceeded their
	// bound. It is nil if nothing counts them, and set before the first use.
	OnExceeded func(addr string, e *BoundError)

	mu      sync.Mutex
	maxIdle int // idle connections to all endpoints, zero for no bound
	idle    map[string][]*conn
	endedAt map[string]time.Time // when an endpoint has ended an idle connection
	stats   Stats
	closing bool

	witnesses map[string]*witnesses
}

// Stats counts dialed connections, reuses of idle connections, and connections on which bytes
// that belong to no request arrived (Surplus).
type Stats struct {
	Dials, Reused, Surplus int64
}

// NewDialer returns a pool on a network that opens a new connection for each exchange.
func NewDialer(n network.Network) *Pool {
	p := NewPoolOn(n)
	p.closing = true
	return p
}

// NewPool returns an empty pool on the machine's network.
func NewPool() *Pool { return NewPoolOn(network.Machine{}) }

// NewPoolOn returns an empty pool on a network. Its connections detect dead peers.
func NewPoolOn(n network.Network) *Pool {
	d := n.Dialer(network.DialOptions{KeepAlivePeriod: keepAlivePeriod, UserTimeout: userTimeout})
	return &Pool{idle: map[string][]*conn{}, endedAt: map[string]time.Time{}, witnesses: map[string]*witnesses{}, Dialer: d}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Do sends r to addr and returns once the final response's header has been read. When ctx ends,
// the connection is reset, also while the body is being read.
//
// The error wraps driver.ErrNotSent if no byte of r was sent. Otherwise r may have run, and the error wraps
// driver.ErrBadAnswer and a *BoundError if the response exceeded a bound or the endpoint read the request too slowly, or
// driver.ErrConnectionLost.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	p.begin(addr)
	c, err := p.acquire(ctx, addr, r)
	if err != nil {
		p.end(addr, false)
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	detach := context.AfterFunc(ctx, c.abort)
	x := &activeExchange{pool: p, addr: addr, c: c, detach: detach, writeDone: make(chan struct{})}
	if deadline, ok := ctx.Deadline(); ok {
		x.writeBy = deadline.Add(-writeMargin)
	}
	x.start(r)
	resp, err := x.readHeader(r)
	if err == nil {
		if r.VerifyEnd && !resp.Framed && resp.Status < http.StatusMultipleChoices {
			resp.body.witnessed = true
			p.beginWitness(addr)
		}
		return resp, nil
	}
	detach()
	c.abort()
	<-x.writeDone
	p.end(addr, x.sent.n > 0 && c.received == 0 && ctx.Err() == nil)
	var exceeded *BoundError
	switch {
	case x.sent.n == 0:
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	case x.gaveUp.Load(), x.writeFailed && isStalled(err):
		return nil, fmt.Errorf("%w: %w", driver.ErrBadAnswer, &BoundError{Cause: Upload, Bytes: x.sent.n})
	case errors.As(err, &exceeded):
		p.exceeded(addr, exceeded)
		return nil, fmt.Errorf("%w: %w", driver.ErrBadAnswer, err)
	}
	return nil, fmt.Errorf("%w: %w", driver.ErrConnectionLost, err)
}

// acquire returns an idle connection that is still reusable, or dials a new one.
func (p *Pool) acquire(ctx context.Context, addr string, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(addr, r)
		if c == nil {
			c, err := p.dial(ctx, addr)
			if err == nil {
				c.begin(r)
			}
			return c, err
		}
		if c.watch.end(c) && c.reusable() {
			c.received, c.watch = 0, nil
			c.begin(r)
			return c, nil
		}
		_ = c.Close()
	}
}

// maxIdleNoRetry is the maximum idle time of a connection that carries a request with NoRetry:
// endpoints close idle connections after a few seconds.
const maxIdleNoRetry = time.Second

// takeIdle removes the most recently used idle connection to addr that may carry r from the pool and returns it.
// It returns nil if there is none.
func (p *Pool) takeIdle(addr string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	i := choose(list, r)
	if i < 0 {
		return nil
	}
	c := list[i]
	idle := time.Since(c.idleAt)
	if r.NoRetry && idle > maxIdleNoRetry {
		return nil
	}
	if idle > c.idleTimeout {
		p.idle[addr] = slices.Concat(closeExpired(list[:i+1]), list[i+1:])
		return nil
	}
	p.idle[addr] = slices.Delete(list, i, i+1)
	p.stats.Reused++
	return c
}

// choose returns the index of the most recently used connection that may carry r, -1 if there is none. A request without
// an ID takes one that has carried such a request, if there is one: the others are left to requests with an ID.
func choose(list []*conn, r *Request) int {
	chosen := -1
	for i, c := range list {
		if !c.witness && c.mayCarry(r) && (chosen < 0 || c.unnamed || !list[chosen].unnamed) {
			chosen = i
		}
	}
	return chosen
}

// closeExpired closes the connections apart from witnesses, which it returns.
func closeExpired(list []*conn) []*conn {
	var kept []*conn
	for _, c := range list {
		if c.witness {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	return kept
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.count(func(s *Stats) { s.Dials++ })
	c, err := stall.DialContext(ctx, p.Dialer, dialTimeout, "tcp4", addr)
	if p.Observer != nil && (err == nil || ctx.Err() == nil) {
		p.Observer.Dialed(addr, err == nil)
	}
	if err != nil {
		return nil, err
	}
	return newConn(c, p.Observer), nil
}

func (p *Pool) begin(addr string) {
	if p.Observer != nil {
		p.Observer.Begin(addr)
	}
}

func (p *Pool) end(addr string, lost bool) {
	if p.Observer != nil {
		p.Observer.End(addr, lost)
	}
}

// Connect reports whether a connection to addr can be established.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// Life is what a new connection shows of an endpoint.
type Life int

// The findings of Check.
const (
	Unknown Life = iota
	Alive        // it keeps the connection open
	Refused      // no process listens at its address
	Ended        // its process has ended, whether or not another one listens at its address
)

// lifeCheckTime is how long a new connection must stay open to show that its endpoint lives.
const lifeCheckTime = 5 * time.Millisecond

// Check connects to addr to see whether the endpoint lives. The connection is kept for the next exchange.
func (p *Pool) Check(ctx context.Context, addr string) Life {
	c, err := p.dial(ctx, addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unknown
	}
	if !clock.Sleep(ctx, lifeCheckTime) || !c.reusable() {
		_ = c.Close()
		return Unknown
	}
	c.idleTimeout = defaultIdleTimeout
	p.putIdle(addr, c)
	return Alive
}

func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// putIdle returns c to the pool, or closes it if the pool is full or closing.
func (p *Pool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(addr, c)
}

// addIdle is putIdle for a caller that holds mu.
func (p *Pool) addIdle(addr string, c *conn) {
	if p.closing || len(p.idle[addr]) >= maxIdlePerAddr || p.isFull() {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	c.watch = &watch{done: make(chan struct{})}
	p.idle[addr] = append(p.idle[addr], c)
	go p.watchIdle(addr, c, c.watch)
}

// SetMaxIdle bounds the idle connections to all endpoints together. Zero sets no bound.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// isFull reports whether no further idle connection is kept. p.mu is held.
func (p *Pool) isFull() bool {
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return p.maxIdle > 0 && n >= p.maxIdle
}

// Sweep closes idle connections whose idle timeout has passed, and those to addresses that aren't
// in keep. Witnesses are kept: an endpoint whose entry was removed may still send an answer.
func (p *Pool) Sweep(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.endedAt, func(addr string, _ time.Time) bool { return !keep[addr] && p.witnesses[addr] == nil })
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.witness || keep[addr] && time.Since(c.idleAt) <= c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.CloseIdle()
	return nil
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// idleTimeoutFrom returns how long a connection may stay idle after a response with header h.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if secs, err := strconv.Atoi(value); err == nil && secs >= 0 {
			return max(time.Duration(min(secs, maxIdleTimeoutSeconds))*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// maxIdleTimeoutSeconds bounds the timeout that an endpoint may announce.
const maxIdleTimeoutSeconds = 60

// encodeHead returns the request line and the header of r in wire format, with room for the body if it is short.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	room := 1 << 10
	if len(r.Body) <= maxInlineWrite {
		room += len(r.Body)
	}
	b.Grow(room)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodDelete && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	b.WriteString("\r\n")
	return b.Bytes()
}
