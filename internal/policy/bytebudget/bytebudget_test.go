package bytebudget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bodies that take more than their share of a VM's memory, and against new requests that take the
// reserve of those that are being read.
func TestBudgetIsKept(t *testing.T) {
	b := New()
	assert.Equal(t, b.MaxBody(), int64(DefaultCapacity/2))
	b.SetMemory(400)
	assert.Assert(t, b.Take(74, 0))
	assert.Assert(t, b.Admit())
	assert.Assert(t, b.Take(1, 0))
	assert.Assert(t, !b.Admit())
	assert.Assert(t, !b.Take(26, 0))
	assert.Assert(t, b.Take(25, LargeBytes-1))
	assert.Equal(t, b.Snapshot(), Snapshot{Capacity: 100, Used: 100, Peak: 100, Denied: 1, Refused: 1})
	b.Give(100)
	assert.Assert(t, b.Admit())
}

// Guards against settings without a memory limit, and against a limit that is lowered while bodies are held.
func TestCapacityFollowsTheSettings(t *testing.T) {
	b := New()
	b.SetMemory(4000)
	assert.Assert(t, b.Take(900, 0))
	b.SetMemory(400)
	assert.Assert(t, !b.Take(1, 0))
	assert.Assert(t, !b.Admit())
	b.SetMemory(0)
	assert.Equal(t, b.Snapshot().Capacity, int64(DefaultCapacity))
	assert.Assert(t, b.Take(1, 0))
}

// Guards against bodies without end that have new requests refused, or small answers given up.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := New()
	b.SetMemory(400)
	assert.Assert(t, b.Take(50, LargeBytes))
	assert.Assert(t, !b.Take(1, LargeBytes))
	assert.Assert(t, b.Admit())
	assert.Assert(t, b.Take(50, 0))
}

// Guards against large bodies of requests that leave no room for small requests, or for large answers.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	b := New()
	b.SetMemory(64 * LargeBytes)
	capacity := b.Snapshot().Capacity
	for _, route := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		c := b.NewClaim(route, "")
		for c.Take(LargeBytes, LargeBytes) == Granted {
		}
	}
	assert.Equal(t, b.Snapshot().Requests, capacity/2)
	assert.Assert(t, b.Admit())
	assert.Assert(t, b.Take(capacity/8, LargeBytes), "a large answer")
	assert.Assert(t, !b.Take(1, LargeBytes))
	medium, small := b.NewClaim("m", ""), b.NewClaim("s", "")
	assert.Equal(t, medium.Take(LargeBytes-1, LargeBytes-1), Granted)
	assert.Equal(t, small.Take(smallBytes-1, smallBytes-1), Granted)
	assert.Assert(t, b.Take(capacity/8, 0), "a small answer")
	small.End(0)
	medium.End(0)
}

// Guards against one route or workspace that takes all the room for bodies of requests.
func TestSharesOfRequests(t *testing.T) {
	for name, keys := range map[string][2][2]string{
		"route":     {{"one", ""}, {"two", ""}},
		"workspace": {{"one", "w"}, {"two", "v"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New()
			b.SetMemory(4 * 2 * 30 * LargeBytes) // room for 30 large bodies of requests
			fill := func(k [2]string) (n int, last Verdict) {
				for {
					c := b.NewClaim(k[0], k[1])
					if last = c.Take(LargeBytes, LargeBytes); last != Granted {
						return n, last
					}
					n++
				}
			}
			n, v := fill(keys[0])
			assert.Equal(t, n, 20)
			assert.Equal(t, v, OverShare)
			if name == "workspace" {
				n, _ = fill([2]string{"two", "w"})
				assert.Equal(t, n, 0, "the same workspace on another route")
			}
			n, _ = fill(keys[1])
			assert.Equal(t, n, 6, "two thirds of the rest")
			s := b.Snapshot()
			assert.Assert(t, s.ShareRefused > 0 && s.Refused == s.ShareRefused+s.RoomRefused)
		})
	}
}

// Guards against a body that is larger than a share in a small VM, and would never be admitted or sent.
func TestOneBodyIsAlwaysAdmitted(t *testing.T) {
	b := New()
	b.SetMemory(64 * LargeBytes)
	c := b.NewClaim("r", "w")
	assert.Equal(t, c.Take(b.MaxRequest(), b.MaxRequest()), Granted)
	s, ok := b.BeginSend("e", c.Bytes(), false)
	assert.Assert(t, ok)
	_, ok = b.BeginSend("e", LargeBytes, false)
	assert.Assert(t, !ok)
	only, ok := b.BeginSend("e", LargeBytes, true)
	assert.Assert(t, ok, "no other endpoint needs the room")
	only.End()
	s.End()
	s.End()
	c.End(0)
	c.End(0)
	assert.Equal(t, b.Snapshot().Used, int64(0))
	assert.DeepEqual(t, b.shares, [shareKinds][shareCount]int64{})
}

// BenchmarkClaim measures what a request with a body costs in the budget, on all processors at once.
func BenchmarkClaim(b *testing.B) {
	budget := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := budget.NewClaim("route", "workspace")
			c.Take(100, 100)
			s, _ := budget.BeginSend("endpoint", 100, false)
			s.End()
			c.End(0)
		}
	})
}

// BenchmarkTake measures what an answer costs in the budget, on all processors at once.
func BenchmarkTake(b *testing.B) {
	budget := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Admit()
			budget.Take(100, 0)
			budget.Give(100)
		}
	})
}
