package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/logclient"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/settings"
	"fescuestand/internal/sheet"
)

// benchEngine produces tokens without a network, so that only the work of the entry is measured.
type benchEngine struct{ release chan struct{} }

func init() {
	driver.Engines.Register("bench", func(driver.Target) (driver.Engine, error) {
		return &benchEngine{release: releaseStreams}, nil
	})
}

// releaseStreams blocks benchStreams after their first token until it is closed. It is open only
// while memory is measured.
var releaseStreams = closedChan()

func closedChan() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func (e *benchEngine) State(context.Context) (driver.EngineState, error) {
	return driver.EngineState{Incarnation: "1", Role: driver.RoleMixed}, nil
}

func (e *benchEngine) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{PrefillRate: 1e6, DecodeStep: time.Millisecond}, nil
}

func (e *benchEngine) CacheEvents(context.Context, uint64) ([]driver.CacheEvent, error) {
	return nil, nil
}

func (e *benchEngine) Prefill(context.Context, *driver.GenerateRequest) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (e *benchEngine) Generate(_ context.Context, r *driver.GenerateRequest) (driver.TokenStream, error) {
	return &benchStream{attempt: r.Attempt, left: r.MaxTokens, release: releaseStreams}, nil
}

func (e *benchEngine) Export(context.Context, string) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (e *benchEngine) Order(context.Context, driver.Order, driver.Permit) error { return nil }
func (e *benchEngine) Close() error                                             { return nil }

type benchStream struct {
	attempt   string
	pos, left int
	release   chan struct{}
}

var benchToken = []byte("label ")

func (s *benchStream) Next() (driver.Token, error) {
	if s.pos == s.left {
		return driver.Token{}, io.EOF
	}
	if s.pos > 0 {
		<-s.release
	}
	s.pos++
	return driver.Token{Attempt: s.attempt, Pos: s.pos - 1, Text: benchToken}, nil
}

func (s *benchStream) Close() error { return nil }

// benchHandler returns the handler of the callers' interface on one engine, without a network.
func benchHandler(b testing.TB) http.Handler {
	s := &sheet.Sheet{
		Engines: []sheet.Engine{{Name: "e", Driver: "bench"}},
		Pools:   []sheet.Pool{{Name: "p", Model: "m", Version: "1", Engines: []string{"e"}}},
		Classes: []sheet.Class{{Name: "c", Objective: 0.95, FirstToken: settings.Duration(time.Second), BetweenTokens: settings.Duration(time.Second)}},
	}
	f := fleet.New(route.Config{}, clock.Boot{}, 1)
	d := dispatch.New(dispatch.Options{
		Fleet: f, Clock: clock.Boot{}, Writer: "w", Retries: retry.New(retry.Config{}, 1), Suspects: suspect.NewRegister(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.Run(ctx) })
	wg.Go(func() { _ = d.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	f.SetSheet(ctx, s, 1)
	for f.Router().Capacity(clock.Boot{}.Now(), "p", route.Artifact{Model: "m", Version: "1"}, "") == (route.Capacity{}) {
		time.Sleep(time.Millisecond)
	}
	a := newInstrumentedBackend(benchBackend{d}, clock.Boot{})
	a.setObjectives(s)
	return callerapi.NewHandler(a)
}

type benchBackend struct{ *dispatch.Dispatcher }

func (benchBackend) Ready() *code.Error { return nil }

func (benchBackend) Addresses(string) callerapi.Addresses { return callerapi.Addresses{} }
func (benchBackend) Limits() callerapi.Limits {
	return callerapi.Limits{MaxBodyBytes: 1 << 20, MaxTokens: 1 << 20}
}

func (benchBackend) NeedsKey(string, string) (bool, error) { return false, nil }
func (benchBackend) Call(context.Context, *callerapi.Call) (callerapi.Reply, error) {
	return callerapi.Reply{}, nil
}
func (benchBackend) CommitStatus(string) (callerapi.Reply, error) { return callerapi.Reply{}, nil }

// discardWriter stands for the caller's connection and discards the answer.
type discardWriter struct {
	header http.Header
	bytes  int
	status int
}

func (w *discardWriter) Header() http.Header { return w.header }
func (w *discardWriter) WriteHeader(s int)   { w.status = s }
func (w *discardWriter) FlushError() error   { return nil }
func (w *discardWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func benchRequest(tokens int) *http.Request {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"class":"c"}`, strings.Repeat("lot ", 250), tokens)
	r := httptest.NewRequest(http.MethodPost, callerapi.PathGenerate, strings.NewReader(body))
	r.Header.Set(callerapi.HeaderDeadline, "60000")
	return r
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStream measures the CPU time and the allocations of one request by its number of tokens.
// The slope is the cost per token.
func BenchmarkStream(b *testing.B) {
	h := benchHandler(b)
	for _, tokens := range []int{1, 200, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			b.ReportAllocs()
			startedAt := cpuTime()
			for b.Loop() {
				w := &discardWriter{header: http.Header{}}
				h.ServeHTTP(w, benchRequest(tokens))
				if w.status != http.StatusOK {
					b.Fatal(w.status)
				}
			}
			b.ReportMetric(float64(cpuTime()-startedAt)/float64(b.N)/1000, "cpu-µs/op")
		})
	}
}

// BenchmarkOpenStreams measures the memory of one stream that waits for its next token, without its
// connections.
func BenchmarkOpenStreams(b *testing.B) {
	h := benchHandler(b)
	const open = 24 // initial concurrency limit of the pool
	for b.Loop() {
		releaseStreams = make(chan struct{})
		before := memoryInUse()
		var wg sync.WaitGroup
		for range open {
			wg.Go(func() { h.ServeHTTP(&discardWriter{header: http.Header{}}, benchRequest(200)) })
		}
		time.Sleep(100 * time.Millisecond)
		b.ReportMetric(float64(memoryInUse()-before)/open, "B/stream")
		close(releaseStreams)
		wg.Wait()
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkCommits measures the latency that the log adds to a commit and the number of appends per
// commit at several request rates. An append takes 3 ms, and the process may append 20 times per
// second.
func BenchmarkCommits(b *testing.B) {
	for _, rate := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				runCommits(b, rate)
			}
		})
	}
}

type instantDispatcher struct{}

func (instantDispatcher) Dispatch(_ context.Context, _ *commit.Call, permit func() error) ([]byte, error) {
	return []byte("{}"), permit()
}

func runCommits(b *testing.B, rate int) {
	const span = 4 * time.Second
	lg := logtest.New()
	lg.SetLatency(3 * time.Millisecond)
	client := logclient.New(logclient.Options{Log: lg, Writer: "w", VM: "vm"})
	t := commit.NewTable(clock.Boot{}, time.Hour)
	j := &journal{log: client, stream: "commits"}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = j.tailInto(ctx, t) })
	assert.NilError(b, j.awaitCaughtUp(ctx, t))
	c := commit.New(commit.Options{
		Writer: "w", Window: func() time.Duration { return time.Hour }, MaxWindow: time.Hour,
	}, t, j, instantDispatcher{})
	var mu sync.Mutex
	var latencies []time.Duration
	n := rate * int(span/time.Second)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			startedAt := time.Now()
			if _, err := c.Do(ctx, &commit.Request{Key: fmt.Sprint(i), Issued: startedAt}); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(startedAt))
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	calls.Wait()
	c.Close(ctx)
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[n/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[n*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(lg.Appends())/float64(n), "appends/commit")
	cancel()
	wg.Wait()
	_ = client.Close()
}
