package commit

import (
	"context"
	"errors"
	"hash/maphash"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
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
	n.table = NewTable(wallClock{}, o.MaxWindow+MaxClockSkew)
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
