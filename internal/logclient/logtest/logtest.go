// Package logtest is a log service in memory for tests, with the failures that
// a real one has: outages, slowness, lost answers, appends that appear late,
// stale and shortened reads, and retention.
package logtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuestand/internal/driver"
)

// errLost stands for an answer that never came.
var errLost = errors.New("answer lost")

// Outcome is what becomes of one append.
type Outcome int

// The fates of an append.
const (
	Applied   Outcome = iota // in the log, answer received
	Refused               // not in the log, and said so
	AnswerLost                  // in the log, answer lost
	Dropped              // not in the log, answer lost
	Delayed             // answer lost, in the log once Release is called
)

// Log is the service. Its fields are set before its first use; the methods
// may be called at any time.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	fate    func(stream string, data []byte) Outcome
	stale   int // reads still to be answered from an older state
	late    []lateAppend
	changed chan struct{}
	appends int
	reads   int
	latency time.Duration
}

type stream struct {
	first   uint64
	records []driver.Record
}

type lateAppend struct {
	stream string
	data   []byte
}

var _ driver.Log = (*Log)(nil)

// New returns an empty log service.
func New() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) { l.with(func() { l.down = down }) }

// SetLatency sets how long an append takes.
func (l *Log) SetLatency(d time.Duration) { l.with(func() { l.latency = d }) }

// SetOutcome sets the fate of the appends from now on; nil applies all.
func (l *Log) SetOutcome(f func(stream string, data []byte) Outcome) { l.with(func() { l.fate = f }) }

// SetStaleReads answers the next n reads from an older, shorter state.
func (l *Log) SetStaleReads(n int) { l.with(func() { l.stale = n }) }

// ReleaseDelayed lets the postponed appends appear.
func (l *Log) ReleaseDelayed() {
	l.with(func() {
		for _, a := range l.late {
			l.add(a.stream, a.data)
		}
		l.late = nil
	})
}

// Expire drops the records of a stream below offset first.
func (l *Log) Expire(name string, first uint64) {
	l.with(func() {
		s := l.stream(name)
		n := min(int(first-s.first), len(s.records))
		s.records = s.records[n:]
		s.first += uint64(n)
	})
}

// Appends returns how many appends were tried.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// End returns the offset that the stream's next append gets.
func (l *Log) End(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first + uint64(len(s.records))
}

func (l *Log) with(f func()) {
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

func (l *Log) add(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, driver.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

// Append implements driver.Log.
func (l *Log) Append(_ context.Context, name string, data []byte) (offset uint64, err error) {
	var latency time.Duration
	l.with(func() { latency = l.latency })
	time.Sleep(latency)
	l.with(func() {
		l.appends++
		fate := Applied
		if l.fate != nil {
			fate = l.fate(name, data)
		}
		if l.down {
			fate = Refused
		}
		offset, err = l.apply(fate, name, data)
	})
	return offset, err
}

func (l *Log) apply(fate Outcome, name string, data []byte) (uint64, error) {
	switch fate {
	case Refused:
		return 0, driver.ErrNotSent
	case AnswerLost:
		l.add(name, data)
		return 0, errLost
	case Dropped:
		return 0, errLost
	case Delayed:
		l.late = append(l.late, lateAppend{name, data})
		return 0, errLost
	default:
		return l.add(name, data), nil
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
	if l.stale > 0 && from > 1 {
		l.stale--
		return driver.Page{First: s.first, End: from - 1}, nil, nil
	}
	for i := from - s.first; i < uint64(len(s.records)) && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, s.records[i])
	}
	return page, l.changed, nil
}
