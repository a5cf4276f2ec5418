package commit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// simLog is a log service with faults.
type simLog struct {
	faultSource
	faults
	began time.Time

	mu       sync.Mutex
	records  []*Record
	appended chan struct{}
	appends  int
}

func newSimLog(seed uint64, f faults) *simLog {
	return &simLog{faultSource: faultSource{seed}, faults: f, began: time.Now(), appended: make(chan struct{})}
}

func (l *simLog) add(writer string, e *wire.Entry) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Record{Offset: uint64(len(l.records) + 1), Time: time.Now(), Writer: writer, Entry: e}
	l.records = append(l.records, r)
	close(l.appended)
	l.appended = make(chan struct{})
	return r.Offset
}

func (l *simLog) down() bool {
	d := time.Since(l.began)
	return d >= l.downFrom && d < l.downUntil
}

func (l *simLog) append(ctx context.Context, writer string, e *wire.Entry) (uint64, error) {
	l.mu.Lock()
	l.appends++
	rng := l.rng(fmt.Sprint(writer, l.appends))
	l.mu.Unlock()
	time.Sleep(time.Duration(1+rng.IntN(20)) * time.Millisecond)
	x := rng.Float64()
	occurs := func(share float64) bool {
		x -= share
		return x < 0
	}
	switch {
	case l.down():
		return 0, driver.ErrNotSent
	case occurs(l.notSent):
		return 0, driver.ErrNotSent
	case occurs(l.refused):
		return 0, driver.ErrRefused
	case occurs(l.answerLost):
		l.add(writer, e)
		return 0, driver.ErrConnectionLost
	case occurs(l.requestLost):
		return 0, driver.ErrConnectionLost
	case occurs(l.delayed):
		wait := time.Duration(rng.Int64N(int64(l.maxDelay)))
		time.AfterFunc(wait, func() { l.add(writer, e) })
		return 0, driver.ErrConnectionLost
	}
	return l.add(writer, e), ctx.Err()
}

// replicate applies the log's records to one node's table, delayed by lag.
func (l *simLog) replicate(ctx context.Context, t *Table, lag *atomic.Int64) {
	for next := 0; ; {
		l.mu.Lock()
		newRecords, appended := l.records[next:], l.appended
		l.mu.Unlock()
		if !l.down() {
			sleep(ctx, time.Duration(lag.Load()))
			for _, r := range newRecords {
				t.Apply(r)
			}
			next += len(newRecords)
		}
		select {
		case <-appended:
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

// callerTimeout is how long a caller waits on a connection without an answer.
const callerTimeout = 4 * time.Second

type requestKey struct{}

// execution is one execution of a commit by the service.
type execution struct {
	key, attempt, value string
	request             int
	executedAt          int64
}

// simService is a plain service with faults that records its executions.
type simService struct {
	faultSource
	faults
	logicalClock *atomic.Int64

	mu      sync.Mutex
	calls   int
	history []execution
}

func (s *simService) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

func (s *simService) execute(ctx context.Context, c *Call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, _ := ctx.Value(requestKey{}).(int)
	e := execution{key: c.Key, attempt: c.Attempt, request: request, executedAt: s.logicalClock.Add(1)}
	e.value = fmt.Sprintf("done %s by %s #%d", c.Key, c.Attempt, len(s.history))
	s.history = append(s.history, e)
	return e.value
}

func (s *simService) call(ctx context.Context, c *Call) ([]byte, error) {
	s.mu.Lock()
	s.calls++
	rng := s.rng(fmt.Sprint(c.Key, s.calls))
	s.mu.Unlock()
	time.Sleep(time.Duration(1+rng.IntN(30)) * time.Millisecond)
	x := rng.Float64()
	occurs := func(share float64) bool {
		x -= share
		return x < 0
	}
	switch {
	case occurs(s.notSent):
		return nil, fmt.Errorf("dial: %w", driver.ErrNotSent)
	case occurs(s.refused):
		return nil, driver.ErrRefused
	case occurs(s.answerLost):
		s.execute(ctx, c)
		return nil, driver.ErrConnectionLost
	case occurs(s.requestLost):
		return nil, driver.ErrConnectionLost
	case occurs(s.delayed):
		wait := time.Duration(rng.Int64N(int64(s.maxDelay)))
		time.AfterFunc(wait, func() { s.execute(ctx, c) })
		return nil, driver.ErrConnectionLost
	case occurs(s.wrongAnswer):
		s.execute(ctx, c)
		return nil, driver.ErrBadAnswer
	case occurs(s.failed):
		s.execute(ctx, c)
		return nil, fmt.Errorf("500: %w", driver.ErrFailed)
	}
	return []byte(s.execute(ctx, c)), nil
}
