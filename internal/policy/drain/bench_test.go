package drain

import (
	"testing"
	"time"

	"fescuestand/internal/clock"
)

// BenchmarkEvent measures what an event of a stream costs.
func BenchmarkEvent(b *testing.B) {
	p, l := NewPaces(), NewLengths()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := clock.Time(time.Hour)
		s, e := p.Begin(now, "s", "a"), l.Begin(now, "r", 100)
		for pb.Next() {
			now = now.Add(50 * time.Millisecond)
			s.Record(now, 1)
			e.Count(1)
		}
		s.End(now)
		e.End(now, true)
	})
}

// BenchmarkStream measures what the beginning and the end of a stream cost.
func BenchmarkStream(b *testing.B) {
	p, l := NewPaces(), NewLengths()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := clock.Time(time.Hour)
		for pb.Next() {
			s, e := p.Begin(now, "s", "a"), l.Begin(now, "r", 100)
			s.End(now)
			e.End(now, true)
		}
	})
}

// BenchmarkDecision measures a decision during a shutdown, with a full history and many endpoints.
func BenchmarkDecision(b *testing.B) {
	p, l := NewPaces(), NewLengths()
	now := clock.Time(time.Hour)
	for i := range 1024 {
		s, e := p.Begin(now, "s", string(rune(i))), l.Begin(now, "r", 100)
		s.Record(now.Add(300*time.Millisecond), 10)
		e.Count(10)
		e.End(now, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(Request{
			TimeLeft: time.Second, CallerTimeout: time.Minute,
			Answer: Answer{Limit: 100, Lengths: l.Sample(now, "r", 100), PerEvent: p.PerEvent(now, "s", "a", 1)},
		})
	}
}
