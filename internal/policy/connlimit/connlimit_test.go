package connlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testLimit = 16

// testTable is a table whose connections are numbers.
type testTable struct {
	Table[int]
	now     time.Time
	stalled map[int]time.Time
	entries map[int]*Entry[int]
}

func newTestTable(l Limits) *testTable {
	t := &testTable{now: time.Unix(1000, 0), stalled: map[int]time.Time{}, entries: map[int]*Entry[int]{}}
	t.StalledSince = func(c int) time.Time { return t.stalled[c] }
	t.SetLimits(l)
	return t
}

// open opens connections and returns what was given up for them, and how many weren't accepted.
func (t *testTable) open(conns ...int) (up GivenUp[int], refused int) {
	for _, c := range conns {
		e, more := t.Open(t.now, c)
		if e == nil {
			refused++
		} else {
			t.entries[c] = e
		}
		up.Waiting = append(up.Waiting, more.Waiting...)
		up.Stalled = append(up.Stalled, more.Stalled...)
		up.Busy = append(up.Busy, more.Busy...)
	}
	return up, refused
}

func (t *testTable) begin(conns ...int) {
	for _, c := range conns {
		t.Begin(t.now, t.entries[c])
	}
}

func (t *testTable) end(conns ...int) {
	for _, c := range conns {
		t.End(t.entries[c])
	}
}

func numbers(from, to int) (out []int) {
	for c := from; c < to; c++ {
		out = append(out, c)
	}
	return out
}

// Guards against connections that are given up or refused below the limits, and against the wrong ones at a limit.
func TestWhatIsGivenUp(t *testing.T) {
	kept := testLimit - testLimit/reserveDivisor // connections that are kept at the limit
	for name, tc := range map[string]struct {
		prepare func(tt *testTable)
		opens   int
		want    string
	}{
		"below the limit":   {func(tt *testTable) { tt.open(numbers(0, kept-1)...) }, 1, "[] [] [] 0"},
		"without a request": {func(tt *testTable) { tt.open(numbers(0, kept)...) }, 1, "[0] [] [] 0"},
		"new ones keep a share": {func(tt *testTable) {
			tt.open(numbers(0, kept)...)
			tt.begin(numbers(0, kept)...)
			tt.end(numbers(0, kept)...)
		}, 2, "[0 1] [] [] 0"},
		"idle for longest":       {func(tt *testTable) { tt.open(numbers(0, kept)...); tt.begin(numbers(0, kept)...); tt.end(5, 3, 0) }, 1, "[5] [] [] 0"},
		"stalled before busy":    {func(tt *testTable) { tt.busy(kept); tt.stalled[7] = tt.now.Add(-2 * MinStallTime) }, 1, "[] [7] [] 0"},
		"stalled for longest":    {func(tt *testTable) { tt.busy(kept); tt.stall(2, 3*MinStallTime); tt.stall(1, 2*MinStallTime) }, 1, "[] [2] [] 0"},
		"a short stall is none":  {func(tt *testTable) { tt.busy(kept); tt.stall(2, MinStallTime) }, 1, fmt.Sprintf("[] [] [%d] 0", kept-1)},
		"busy for the least":     {func(tt *testTable) { tt.busy(kept) }, 1, fmt.Sprintf("[] [] [%d] 0", kept-1)},
		"full":                   {func(tt *testTable) { tt.busy(kept); tt.open(numbers(kept, testLimit)...) }, 1, "[] [] [11] 1"},
		"ended ones aren't told": {func(tt *testTable) { tt.open(numbers(0, kept)...); tt.Close(tt.entries[0]); tt.open(50) }, 1, "[1] [] [] 0"},
	} {
		t.Run(name, func(t *testing.T) {
			tt := newTestTable(Limits{Connections: testLimit})
			tc.prepare(tt)
			up, refused := tt.open(numbers(100, 100+tc.opens)...)
			assert.Equal(t, fmt.Sprint(up.Waiting, up.Stalled, up.Busy, refused), tc.want)
		})
	}
}

func (t *testTable) busy(n int) {
	t.open(numbers(0, n)...)
	t.begin(numbers(0, n)...)
}

func (t *testTable) stall(c int, d time.Duration) { t.stalled[c] = t.now.Add(-d) }

// Guards against long headers that take more memory than the limit.
func TestHeadersCount(t *testing.T) {
	tt := newTestTable(Limits{Bytes: testLimit * ConnBytes})
	tt.open(numbers(0, testLimit/2)...)
	up := tt.Read(tt.now, tt.entries[7], 4*ConnBytes)
	assert.DeepEqual(t, up.Waiting, []int{0, 1})
	up = tt.Read(tt.now, tt.entries[7], 0)
	assert.Equal(t, len(up.Waiting), 0)
}

// Guards against a limit that is exceeded, a table whose sums drift, and connections that are told to end below the limits.
func TestLimitsHoldInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := Limits{Connections: testLimit, Bytes: testLimit * ConnBytes * 3 / 2}
		tt := newTestTable(l)
		var open []int
		for n := range 2000 {
			tt.now = tt.now.Add(time.Duration(rng.Int64N(int64(MinStallTime))))
			if len(open) == 0 || rng.IntN(3) == 0 {
				if _, refused := tt.open(n); refused == 0 {
					open = append(open, n)
				}
				assert.Assert(t, tt.Count() <= l.Connections)
				continue
			}
			i := rng.IntN(len(open))
			e := tt.entries[open[i]]
			switch rng.IntN(5) {
			case 0:
				tt.Begin(tt.now, e)
			case 1:
				tt.End(e)
			case 2:
				tt.Read(tt.now, e, rng.Int64N(64<<10))
				// What is told to end is closed at once, and the connection that grows isn't told.
				assert.Assert(t, tt.total()-tt.bytes[ending] <= l.Bytes+e.bytes())
			case 3:
				tt.stalled[open[i]] = tt.now
			case 4:
				tt.Close(e)
				tt.Close(e)
				open = append(open[:i], open[i+1:]...)
			}
			assert.Equal(t, tt.Count(), len(open))
		}
		for _, c := range open {
			tt.Close(tt.entries[c])
		}
		assert.Equal(t, tt.Count(), 0)
		assert.Equal(t, tt.total(), int64(0))
	}
}
