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
