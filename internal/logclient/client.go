// Package logclient appends to and reads the log service for one process.
//
// Appends of concurrent callers travel together (group commit): at most one
// append per stream is on its way, and what gathers meanwhile makes the next.
// The append rate so depends on the log's latency and not on the load, and a
// budget bounds it besides. Every append has a number per stream; see
// fold.Dedup for what the numbers are for.
package logclient

import (
	"cmp"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/wire"
)

// Item is one entry of a stream as Tail delivers it.
type Item = fold.Item

// Options of one client. Only Log, Writer and VM are required.
type Options struct {
	Log    driver.Log
	Writer string // incarnation of this process
	VM     string

	// MaxAppendsPerSecond and Burst are the process's share of the log's appends a second.
	MaxAppendsPerSecond  float64
	Burst int
	// AttemptTimeout bounds one append call; an answer after it counts as lost.
	AttemptTimeout time.Duration
	// AppendTimeout bounds the tries of one append. What isn't known then stays so.
	AppendTimeout time.Duration
	// FailFastAfter is how long appends may fail before new ones are refused at
	// once, while one still tries.
	FailFastAfter time.Duration
	// PollWait is how long a read waits at the log for the next record.
	PollWait time.Duration
}

// Grounds for the defaults: the log takes several hundred appends a second; 16
// processes of today at 20 stay below. An append takes milliseconds when the
// log is well, so that a second without an answer means trouble; a caller of a
// commit gets its refusal within another second.
const (
	defaultRate     = 20
	defaultBurst    = 20
	defaultAttempt  = time.Second
	defaultGiveUp   = 3 * time.Second
	defaultFailFast = time.Second
	defaultPoll     = 5 * time.Second
)

// Client is one process's access to the log service.
type Client struct {
	opt    Options
	limit  *rate.Limiter
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	queues  map[string]*queue
	health  Health
	streams map[string]Progress
}

// New returns a client. It connects at its first use.
func New(opt Options) *Client {
	opt.defaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		opt: opt, limit: rate.NewLimiter(rate.Limit(opt.MaxAppendsPerSecond), opt.Burst),
		ctx: ctx, cancel: cancel,
		queues: map[string]*queue{}, streams: map[string]Progress{},
		health: Health{Healthy: true},
	}
}

func (o *Options) defaults() {
	o.MaxAppendsPerSecond = cmp.Or(o.MaxAppendsPerSecond, defaultRate)
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttempt)
	o.AppendTimeout = cmp.Or(o.AppendTimeout, defaultGiveUp)
	o.FailFastAfter = cmp.Or(o.FailFastAfter, defaultFailFast)
	o.PollWait = cmp.Or(o.PollWait, defaultPoll)
}

// Close stops the appends on their way; their callers get an unknown outcome.
func (c *Client) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Receipt tells where an append went.
type Receipt struct {
	// Offset is an offset at which the record stands. After a lost answer an
	// earlier copy may stand before it; readers go by the first.
	Offset uint64
	// Seq is the append's number, also when the outcome is unknown: once a
	// later number of this writer was read from the stream and this one was
	// not, the record can't count any more.
	Seq uint64
}

// Append adds entries to a stream as one unit. The error is a *code.Error:
//
//   - code.NotRun: the entries are not in the log and never will be;
//   - code.Unknown: they may be there or may still appear. Nobody may be told
//     that they were not written on the strength of this answer.
func (c *Client) Append(ctx context.Context, stream string, entries ...*wire.Entry) (Receipt, error) {
	return c.queue(stream).append(ctx, entries)
}

func (c *Client) queue(stream string) *queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[stream]
	if q == nil {
		q = &queue{c: c, stream: stream}
		c.queues[stream] = q
	}
	return q
}

// Health is what the newest calls say of the log service.
type Health struct {
	Healthy   bool
	LastError string
	Since     time.Time // of the present state; zero from the start
}

// Health returns whether the log service answers.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health
}

func (c *Client) setHealth(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	healthy := err == nil
	if healthy != c.health.Healthy {
		c.health.Healthy, c.health.Since = healthy, time.Now()
	}
	c.health.LastError = ""
	if err != nil {
		c.health.LastError = err.Error()
	}
}

// Progress tells how far a stream was read.
type Progress struct {
	Next  uint64 // offset to be read next
	First uint64 // oldest offset kept, as of the newest read
	End   uint64 // offset of the next append, as of the newest read
	CaughtUp  bool   // the stream was read to its end once
	at    time.Time
}

// Fresh reports whether the stream was read to its end and the newest read is
// no older than a long poll and a try.
func (p *Progress) Fresh() bool { return p.CaughtUp && time.Since(p.at) < 2*defaultPoll }

// Progress returns how far Tail got with a stream.
func (c *Client) Progress(stream string) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[stream]
}

func (c *Client) setProgress(stream string, next uint64, p driver.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.streams[stream]
	c.streams[stream] = Progress{Next: next, First: p.First, End: p.End, CaughtUp: old.CaughtUp || next >= p.End, at: time.Now()}
}
