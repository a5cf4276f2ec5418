// Package logclient appends to and reads the log service on behalf of one process.
//
// Appends of concurrent callers are batched (group commit): at most one append per stream is in
// flight, and the entries that arrive meanwhile form the next one. The append rate therefore
// depends on the latency of the log and not on the load, and a rate limit bounds it as well. Every
// append has a sequence number per stream; fold.Dedup explains what the numbers are for.
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

// Options of a client. Only Log, Writer and VM are required.
type Options struct {
	Log    driver.Log
	Writer string // incarnation of this process
	VM     string

	// MaxAppendsPerSecond and Burst are this process's share of the log's append rate.
	MaxAppendsPerSecond float64
	Burst               int
	// AttemptTimeout bounds one append call; an answer after it counts as lost.
	AttemptTimeout time.Duration
	// AppendTimeout bounds the attempts of one append. An outcome that is unknown then stays
	// unknown.
	AppendTimeout time.Duration
	// FailFastAfter is how long appends may fail before new ones are rejected immediately, while
	// one is still retried.
	FailFastAfter time.Duration
	// PollWait is how long a read waits at the log for the next record.
	PollWait time.Duration
}

// Reasons for the defaults: the log accepts several hundred appends a second, and 16 processes at
// 20 each stay below that. An append takes milliseconds when the log is healthy, so a second
// without an answer indicates a fault; the caller of a commit is rejected within another second.
const (
	defaultMaxAppendsPerSecond = 20
	defaultBurst               = 20
	defaultAttemptTimeout      = time.Second
	defaultAppendTimeout       = 3 * time.Second
	defaultFailFastAfter       = time.Second
	defaultPollWait            = 5 * time.Second
)

// Client is one process's access to the log service.
type Client struct {
	opt     Options
	limiter *rate.Limiter
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	queues   map[string]*queue
	health   Health
	progress map[string]Progress
}

// New returns a client. It connects when it is first used.
func New(opt Options) *Client {
	opt.defaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		opt: opt, limiter: rate.NewLimiter(rate.Limit(opt.MaxAppendsPerSecond), opt.Burst),
		ctx: ctx, cancel: cancel,
		queues: map[string]*queue{}, progress: map[string]Progress{},
		health: Health{Healthy: true},
	}
}

func (o *Options) defaults() {
	o.MaxAppendsPerSecond = cmp.Or(o.MaxAppendsPerSecond, defaultMaxAppendsPerSecond)
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.AppendTimeout = cmp.Or(o.AppendTimeout, defaultAppendTimeout)
	o.FailFastAfter = cmp.Or(o.FailFastAfter, defaultFailFastAfter)
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
}

// Close aborts the appends in flight; their callers get an unknown outcome.
func (c *Client) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Receipt is the place of an append in the log.
type Receipt struct {
	// Offset is an offset of the record. After a lost answer an earlier copy may precede it;
	// readers apply the first one.
	Offset uint64
	// Seq is the sequence number of the append, also when the outcome is unknown: once a later
	// number of this writer was read from the stream and this one was not, the record can't take
	// effect any more.
	Seq uint64
}

// Append adds entries to a stream as one unit. The error is a *code.Error:
//
//   - code.NotRun: the entries are not in the log and never will be;
//   - code.Unknown: they may be in the log or may still appear. This answer
//     doesn't justify reporting them as not written.
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

// Health is the state of the log service according to the newest calls.
type Health struct {
	Healthy   bool
	LastError string
	Since     time.Time // when the current state began; zero if it is the initial one
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

// Progress is how far a stream was read.
type Progress struct {
	Next     uint64 // offset to be read next
	First    uint64 // oldest retained offset, as of the newest read
	End      uint64 // offset of the next append, as of the newest read
	CaughtUp bool   // the stream was read to its end at least once
	readTime time.Time
}

// Fresh reports whether the stream was read to its end at least once and the newest read is more
// recent than two long polls.
func (p *Progress) Fresh() bool { return p.CaughtUp && time.Since(p.readTime) < 2*defaultPollWait }

// Progress returns how far Tail has read a stream.
func (c *Client) Progress(stream string) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress[stream]
}

func (c *Client) setProgress(stream string, next uint64, p driver.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.progress[stream]
	c.progress[stream] = Progress{Next: next, First: p.First, End: p.End, CaughtUp: old.CaughtUp || next >= p.End, readTime: time.Now()}
}
