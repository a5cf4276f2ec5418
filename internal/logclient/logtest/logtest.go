// Package logtest is an in-memory log service for tests. It simulates the failures of a real one:
// outages, latency, lost answers, appends that appear late, stale and incomplete reads, and
// retention.
package logtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuestand/internal/driver"
)

// errAnswerLost is the error of an append whose answer is lost.
var errAnswerLost = errors.New("answer lost")

// Outcome is the outcome of one append.
type Outcome int

// The outcomes of an append.
const (
	Applied    Outcome = iota // written, answer received
	Refused                   // not written, refusal received
	AnswerLost                // written, answer lost
	Dropped                   // not written, answer lost
	Delayed                   // answer lost, written when ReleaseDelayed is called
)

// Log is the log service. Its methods may be called concurrently.
type Log struct {
	mu         sync.Mutex
	streams    map[string]*stream
	down       bool
	outcome    func(stream string, data []byte) Outcome
	staleReads int // reads still to be answered from an older state
	delayed    []delayedAppend
	changed    chan struct{}
	appends    int
	reads      int
	latency    time.Duration
}

type stream struct {
	first   uint64
	records []driver.Record
}

type delayedAppend struct {
	stream string
	data   []byte
}

var _ driver.Log = (*Log)(nil)

// New returns an empty log service.
func New() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) { l.update(func() { l.down = down }) }

// SetLatency sets the duration of an append.
func (l *Log) SetLatency(d time.Duration) { l.update(func() { l.latency = d }) }

// SetOutcome sets the function that decides the outcome of later appends; with nil all are applied.
func (l *Log) SetOutcome(outcome func(stream string, data []byte) Outcome) {
	l.update(func() { l.outcome = outcome })
}

// SetStaleReads makes the next n reads return an older, shorter state.
func (l *Log) SetStaleReads(n int) { l.update(func() { l.staleReads = n }) }

// ReleaseDelayed writes the delayed appends.
func (l *Log) ReleaseDelayed() {
	l.update(func() {
		for _, a := range l.delayed {
			l.appendRecord(a.stream, a.data)
		}
		l.delayed = nil
	})
}

// Expire deletes the records of a stream below offset first.
func (l *Log) Expire(name string, first uint64) {
	l.update(func() {
		s := l.stream(name)
		n := min(int(first-s.first), len(s.records))
		s.records = s.records[n:]
		s.first += uint64(n)
	})
}

// Appends returns the number of append attempts.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// End returns the offset of the stream's next append.
func (l *Log) End(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first + uint64(len(s.records))
}

func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (l *Log) appendRecord(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, driver.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

// Append implements driver.Log.
func (l *Log) Append(_ context.Context, name string, data []byte) (offset uint64, err error) {
	var latency time.Duration
	l.update(func() { latency = l.latency })
	time.Sleep(latency)
	l.update(func() {
		l.appends++
		outcome := Applied
		if l.outcome != nil {
			outcome = l.outcome(name, data)
		}
		if l.down {
			outcome = Refused
		}
		offset, err = l.applyOutcome(outcome, name, data)
	})
	return offset, err
}

func (l *Log) applyOutcome(outcome Outcome, name string, data []byte) (uint64, error) {
	switch outcome {
	case Refused:
		return 0, driver.ErrNotSent
	case AnswerLost:
		l.appendRecord(name, data)
		return 0, errAnswerLost
	case Dropped:
		return 0, errAnswerLost
	case Delayed:
		l.delayed = append(l.delayed, delayedAppend{name, data})
		return 0, errAnswerLost
	default:
		return l.appendRecord(name, data), nil
	}
}

// Read implements driver.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (driver.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := l.read(name, from, limit)
		if err != nil || len(page.Records) > 0 || page.End < from {
			return page, err
		}
		select {
		case <-ctx.Done():
			return driver.Page{}, ctx.Err()
		case <-deadline.C:
			return page, nil
		case <-changed:
		}
	}
}

func (l *Log) read(name string, from uint64, limit int) (driver.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return driver.Page{}, nil, driver.ErrNotSent
	}
	s := l.stream(name)
	page := driver.Page{First: s.first, End: s.first + uint64(len(s.records))}
	if from < s.first {
		return page, nil, driver.ErrExpired
	}
	if l.staleReads > 0 && from > 1 {
		l.staleReads--
		return driver.Page{First: s.first, End: from - 1}, nil, nil
	}
	for i := from - s.first; i < uint64(len(s.records)) && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, s.records[i])
	}
	return page, l.changed, nil
}
