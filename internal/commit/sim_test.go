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

// The simulation runs several committers with one faulty log and one faulty service under the fake
// time of testing/synctest.

type wallClock struct{}

func (wallClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

// faultSource derives random numbers from a seed and a label, so that the faults don't depend on
// how goroutines are scheduled.
type faultSource struct{ seed uint64 }

func (c faultSource) rng(label string) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, maphash.String(labelSeed, label)))
}

var labelSeed = maphash.MakeSeed()

// faults are the shares of calls that fail in each way.
type faults struct {
	notSent, refused    float64
	answerLost          float64 // the call takes effect, its answer is lost
	requestLost         float64 // the call has no effect and gets no answer
	delayed             float64 // the answer is lost, the call takes effect later
	wrongAnswer         float64 // service only: the answer belongs to another attempt
	failed              float64 // service only
	maxDelay            time.Duration
	downFrom, downUntil time.Duration // log only, since the start of the run
}

// step is a point in a commit at which a node may be killed or frozen.
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

// simNode is one process: its table, its committer and its connections to the log and the service.
type simNode struct {
	name   string
	log    *simLog
	svc    *simService
	table  *Table
	c      *Committer
	stop   context.CancelFunc
	killed atomic.Bool
	lag    atomic.Int64 // replication lag of the log in nanoseconds
	// onStep is called at each step of a commit. It may sleep, which freezes the process, or kill
	// the node.
	onStep func(n *simNode, s step, key string)
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
	go l.replicate(ctx, n.table, &n.lag)
	return n
}

// passStep is called at each step of a commit and returns an error if the process was killed.
func (n *simNode) passStep(s step, key string) error {
	if n.onStep != nil && !n.killed.Load() {
		n.onStep(n, s, key)
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
	if err := n.passStep(before, key); err != nil {
		return 0, err
	}
	offset, err := n.log.append(ctx, n.name, e)
	if key == "" {
		return offset, err
	}
	if killed := n.passStep(afterAppend, key); killed != nil {
		return 0, killed
	}
	return offset, err
}

// Dispatch implements Dispatcher.
func (n *simNode) Dispatch(ctx context.Context, c *Call, permit func() error) ([]byte, error) {
	if err := n.passStep(beforeSend, c.Key); err != nil {
		return nil, err
	}
	if err := permit(); err != nil {
		return nil, err
	}
	body, err := n.svc.call(ctx, c)
	if killed := n.passStep(afterSend, c.Key); killed != nil {
		return nil, killed
	}
	return body, err
}

// send returns the answer that the caller gets. It is unknown if the process was killed, or if it
// doesn't answer within callerTimeout, such as when it is frozen.
func (n *simNode) send(ctx context.Context, r *Request) (Answer, error) {
	noAnswer := code.Wrap(code.PeerGone, errKilled, "no answer").WithRun(code.Unknown)
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
	case res := <-ch:
		if n.killed.Load() {
			return Answer{}, noAnswer
		}
		return res.ans, res.err
	case <-time.After(callerTimeout):
		return Answer{}, noAnswer
	}
}
