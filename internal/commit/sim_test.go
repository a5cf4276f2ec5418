package commit

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// The simulation: several committers over one faulty log and one faulty
// service, under the fake time of testing/synctest.

type wallClock struct{}

func (wallClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

// chance draws from a seed and a place, so that a fault doesn't depend on how
// goroutines are scheduled.
type chance struct{ seed uint64 }

func (c chance) at(place string) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, maphash.String(placeSeed, place)))
}

var placeSeed = maphash.MakeSeed()

// faults are shares of calls that go wrong in one way.
type faults struct {
	notSent, refused   float64
	lostAfter          float64 // took effect, answer lost
	lostBefore         float64 // no effect, answer lost
	late               float64 // answer lost, takes effect later
	crossed            float64 // service only: another attempt's answer
	failed             float64 // service only
	maxLate            time.Duration
	downFrom, downTill time.Duration // log only, since the start
}

type simLog struct {
	chance
	faults
	began time.Time

	mu      sync.Mutex
	records []*Record
	grown   chan struct{}
	appends int
}

func newSimLog(seed uint64, f faults) *simLog {
	return &simLog{chance: chance{seed}, faults: f, began: time.Now(), grown: make(chan struct{})}
}

func (l *simLog) add(writer string, e *wire.Entry) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Record{Offset: uint64(len(l.records) + 1), Time: time.Now(), Writer: writer, Entry: e}
	l.records = append(l.records, r)
	close(l.grown)
	l.grown = make(chan struct{})
	return r.Offset
}

func (l *simLog) down() bool {
	d := time.Since(l.began)
	return d >= l.downFrom && d < l.downTill
}

func (l *simLog) append(ctx context.Context, writer string, e *wire.Entry) (uint64, error) {
	l.mu.Lock()
	l.appends++
	rng := l.at(fmt.Sprint(writer, l.appends))
	l.mu.Unlock()
	time.Sleep(time.Duration(1+rng.IntN(20)) * time.Millisecond)
	x := rng.Float64()
	take := func(share float64) bool {
		x -= share
		return x < 0
	}
	switch {
	case l.down():
		return 0, driver.ErrNotSent
	case take(l.notSent):
		return 0, driver.ErrNotSent
	case take(l.refused):
		return 0, driver.ErrRefused
	case take(l.lostAfter):
		l.add(writer, e)
		return 0, driver.ErrCut
	case take(l.lostBefore):
		return 0, driver.ErrCut
	case take(l.late):
		wait := time.Duration(rng.Int64N(int64(l.maxLate)))
		time.AfterFunc(wait, func() { l.add(writer, e) })
		return 0, driver.ErrCut
	}
	return l.add(writer, e), ctx.Err()
}

// follow feeds the log to one node's table, with a lag.
func (l *simLog) follow(ctx context.Context, t *Table, lag *atomic.Int64) {
	for next := 0; ; {
		l.mu.Lock()
		fresh, grown := l.records[next:], l.grown
		l.mu.Unlock()
		if !l.down() {
			sleep(ctx, time.Duration(lag.Load()))
			for _, r := range fresh {
				t.Apply(r)
			}
			next += len(fresh)
		}
		select {
		case <-grown:
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// patience is how long a caller waits for a dead connection.
const patience = 4 * time.Second

type sendingKey struct{}

// execution is one effect of the service.
type execution struct {
	key, attempt, value string
	sending             int
	at                  int64
}

type simService struct {
	chance
	faults
	tick *atomic.Int64

	mu    sync.Mutex
	calls int
	done  []execution
}

func (s *simService) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.done)
}

func (s *simService) execute(ctx context.Context, c *Call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sending, _ := ctx.Value(sendingKey{}).(int)
	e := execution{key: c.Key, attempt: c.Attempt, sending: sending, at: s.tick.Add(1)}
	e.value = fmt.Sprintf("done %s by %s #%d", c.Key, c.Attempt, len(s.done))
	s.done = append(s.done, e)
	return e.value
}

func (s *simService) call(ctx context.Context, c *Call) ([]byte, error) {
	s.mu.Lock()
	s.calls++
	rng := s.at(fmt.Sprint(c.Key, s.calls))
	s.mu.Unlock()
	time.Sleep(time.Duration(1+rng.IntN(30)) * time.Millisecond)
	x := rng.Float64()
	take := func(share float64) bool {
		x -= share
		return x < 0
	}
	switch {
	case take(s.notSent):
		return nil, fmt.Errorf("dial: %w", driver.ErrNotSent)
	case take(s.refused):
		return nil, driver.ErrRefused
	case take(s.lostAfter):
		s.execute(ctx, c)
		return nil, driver.ErrCut
	case take(s.lostBefore):
		return nil, driver.ErrCut
	case take(s.late):
		wait := time.Duration(rng.Int64N(int64(s.maxLate)))
		time.AfterFunc(wait, func() { s.execute(ctx, c) })
		return nil, driver.ErrCut
	case take(s.crossed):
		s.execute(ctx, c)
		return nil, driver.ErrBadAnswer
	case take(s.failed):
		s.execute(ctx, c)
		return nil, fmt.Errorf("500: %w", driver.ErrFailed)
	}
	return []byte(s.execute(ctx, c)), nil
}

// step names a moment of a commit at which a node may die or freeze.
type step string

const (
	beforeAppend step = "before append"
	afterAppend  step = "after append"
	beforeSend   step = "before send"
	afterSend    step = "after send"
	beforeRecord step = "before outcome or void"
)

var steps = []step{beforeAppend, afterAppend, beforeSend, afterSend, beforeRecord}

var errKilled = errors.New("process killed")

// simNode is one process: its table, committer and connection to both sides.
type simNode struct {
	name   string
	log    *simLog
	svc    *simService
	table  *Table
	c      *Committer
	stop   context.CancelFunc
	killed atomic.Bool
	lag    atomic.Int64 // of reading the log, ns
	// at is called at each step of a commit; it may sleep (a frozen process)
	// or kill the node.
	at func(n *simNode, s step, key string)
}

func newSimNode(name string, l *simLog, svc *simService, o Options) *simNode {
	o.Clock, o.Writer = wallClock{}, name
	if o.Window == nil {
		o.Window = func() time.Duration { return time.Hour }
	}
	if o.MaxWindow == 0 {
		o.MaxWindow = time.Hour
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &simNode{name: name, log: l, svc: svc, stop: cancel}
	n.table = NewTable(wallClock{}, o.MaxWindow+MaxAhead)
	n.table.SetReady()
	n.c = New(o, n.table, n, n)
	n.lag.Store(int64(1+len(name)) * int64(time.Millisecond))
	go l.follow(ctx, n.table, &n.lag)
	return n
}

// pass is a step of a commit: a killed process gets no further.
func (n *simNode) pass(s step, key string) error {
	if n.at != nil && !n.killed.Load() {
		n.at(n, s, key)
	}
	if n.killed.Load() {
		return errKilled
	}
	return nil
}

// Append implements Journal.
func (n *simNode) Append(ctx context.Context, e *wire.Entry) (uint64, error) {
	before, key := beforeRecord, ""
	if in := e.GetIntent(); in != nil {
		before, key = beforeAppend, in.GetKey()
	}
	if err := n.pass(before, key); err != nil {
		return 0, err
	}
	offset, err := n.log.append(ctx, n.name, e)
	if key == "" {
		return offset, err
	}
	if killed := n.pass(afterAppend, key); killed != nil {
		return 0, killed
	}
	return offset, err
}

// Dispatch implements Dispatcher.
func (n *simNode) Dispatch(ctx context.Context, c *Call, permit func() error) ([]byte, error) {
	if err := n.pass(beforeSend, c.Key); err != nil {
		return nil, err
	}
	if err := permit(); err != nil {
		return nil, err
	}
	body, err := n.svc.call(ctx, c)
	if killed := n.pass(afterSend, c.Key); killed != nil {
		return nil, killed
	}
	return body, err
}

// send returns what the caller hears: nothing from a killed process, and
// nothing from a frozen one either once the caller's patience is over.
func (n *simNode) send(ctx context.Context, r *Request) (Answer, error) {
	silence := code.Wrap(code.PeerGone, errKilled, "no answer").WithRun(code.Unknown)
	type reply struct {
		ans Answer
		err error
	}
	ch := make(chan reply, 1)
	go func() {
		ans, err := n.c.Do(ctx, r)
		ch <- reply{ans, err}
	}()
	select {
	case got := <-ch:
		if n.killed.Load() {
			return Answer{}, silence
		}
		return got.ans, got.err
	case <-time.After(patience):
		return Answer{}, silence
	}
}
