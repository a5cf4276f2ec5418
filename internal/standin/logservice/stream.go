package logservice

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/driver/httpdriver/httpapi"
)

// stream is one append-only sequence of records, with retention limited by count and age.
type stream struct {
	keep     int
	keepTime time.Duration

	mu      sync.Mutex
	records []httpapi.LogRecord // offsets first, first+1, …
	first   uint64
	last    int64         // time of the newest record; keeps record times from going backwards
	grown   chan struct{} // closed on the next append
}

func newStream(keep int, keepTime time.Duration) *stream {
	return &stream{keep: keep, keepTime: keepTime, first: 1, grown: make(chan struct{})}
}

func (s *stream) append(data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = max(s.last, time.Now().UnixNano())
	offset := s.end()
	s.records = append(s.records, httpapi.LogRecord{Offset: offset, TimeNS: s.last, Data: data})
	s.expire()
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

// expire removes the records past their retention.
func (s *stream) expire() {
	oldest := time.Now().Add(-s.keepTime).UnixNano()
	drop := max(0, len(s.records)-s.keep)
	for drop < len(s.records) && s.records[drop].TimeNS < oldest {
		drop++
	}
	s.records = s.records[drop:]
	s.first += uint64(drop)
}

// read returns a page of records that starts at offset from, without the newest hide records. It waits
// up to wait for a first record. The second result is true if the offset is past its retention.
func (s *stream) read(ctx context.Context, from uint64, limit int, wait time.Duration, hide uint64) (httpapi.Page, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, expired, grown := s.page(from, limit, hide)
		if expired || len(page.Records) > 0 || wait <= 0 {
			return page, expired
		}
		select {
		case <-grown:
		case <-timeout.C:
			return page, false
		case <-ctx.Done():
			return page, false
		}
	}
}

func (s *stream) page(from uint64, limit int, hide uint64) (httpapi.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	end := s.end()
	if hide > 0 {
		end = max(s.first, end-min(hide, end))
	}
	page := httpapi.Page{First: s.first, End: end}
	if from < s.first {
		return page, true, nil
	}
	if from < end {
		to := min(end, from+uint64(limit))
		page.Records = append(page.Records, s.records[from-s.first:to-s.first]...)
	}
	return page, false, s.grown
}
