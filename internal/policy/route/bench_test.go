package route

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// testEngines returns n identical engines spread over three zones.
func testEngines(n int) []Endpoint {
	eps := make([]Endpoint, n)
	for i := range eps {
		eps[i] = Endpoint{
			Name: fmt.Sprintf("engine-%04d", i), Pool: "drafts", Zone: fmt.Sprintf("zone-%d", i%3),
			Slots: 16, PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 20 * time.Millisecond,
			Serves: []Artifact{{Model: "m", Version: "1"}},
		}
	}
	return eps
}

// cellSize is the number of runners in a cell at the design size.
const cellSize = 100

func benchRouter(n int) (*Router, []Request) {
	cfg := Config{Zone: "zone-0", Cells: max(n/cellSize, 1), Entries: 8}
	r := NewRouter(cfg, 1)
	r.Publish(1, NewTable(cfg, testEngines(n)))
	for _, e := range r.Table().Endpoints() {
		r.ObserveReport(e.Name, Report{TakenAt: 1, Running: int(e.nameHash % 8)})
	}
	reqs := make([]Request, 1024)
	for i := range reqs {
		reqs[i] = Request{
			Pool: "drafts", Artifact: Artifact{Model: "m"}, Workspace: fmt.Sprint("w", i), PromptTokens: 8100,
			Pieces: []uint64{splitmix.Mix(uint64(i)), splitmix.Mix(uint64(i) + 1e6), splitmix.Mix(uint64(i) + 2e6), splitmix.Mix(uint64(i) + 3e6)},
		}
	}
	return r, reqs
}

// arrivalInterval is the time between requests of 0.81 s of prefill each that keeps n engines 70%
// busy.
func arrivalInterval(n int) clock.Time { return clock.Time(1.16e9 / float64(n)) }

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{12, 100, 430, 4300} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			r, reqs := benchRouter(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				routeOnce(b, r, clock.Time(i)*arrivalInterval(n), &reqs[i%len(reqs)])
			}
		})
	}
}

func BenchmarkRouteParallel(b *testing.B) {
	r, reqs := benchRouter(4300)
	b.ReportAllocs()
	var requestCount atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := requestCount.Add(1)
			routeOnce(b, r, clock.Time(i)*arrivalInterval(4300), &reqs[i%int64(len(reqs))])
		}
	})
}

func routeOnce(tb testing.TB, r *Router, now clock.Time, req *Request) {
	d, err := r.Pick(now, req)
	if err != nil {
		tb.Fatal(err)
	}
	r.Sent(now, &d.Dispatch)
	r.FirstToken(now+1e5, &d.Dispatch)
	r.Done(now+1e5, &d.Dispatch, Success)
}

func TestRoutingAllocatesNothing(t *testing.T) {
	r, reqs := benchRouter(430)
	n := 0
	allocs := testing.AllocsPerRun(1000, func() {
		n++
		routeOnce(t, r, clock.Time(n)*arrivalInterval(430), &reqs[n%len(reqs)])
	})
	assert.Equal(t, allocs, 0.0)
}
