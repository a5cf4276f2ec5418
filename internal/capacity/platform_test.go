package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	_ "fescuestand/internal/driver/httpdriver" // registers the drivers to measure
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
	"fescuestand/internal/standin/logservice"
)

// serveHTTP runs h on loopback and counts the bytes of its connections.
func serveHTTP(tb testing.TB, h http.Handler) *countingListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	l := &countingListener{Listener: ln}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return l
}

// renewalBytes is the length of a lease renewal record; BenchmarkRenewalRecord in package fold measures it.
const renewalBytes = 42

// BenchmarkLogRead measures the cost of reading a record, in CPU time of both ends and in bytes, by the
// number of records per read: one on an idle stream, many on a busy one.
func BenchmarkLogRead(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			l := serveHTTP(b, logservice.New(logservice.Config{AppendsPerSecond: 1e6}).Handler())
			open, err := driver.Logs.Get("http")
			assert.NilError(b, err)
			lg, err := open(driver.Target{Driver: "http", Address: l.Addr().String()})
			assert.NilError(b, err)
			ctx := context.Background()
			for range n {
				_, err := lg.Append(ctx, "control", make([]byte, renewalBytes))
				assert.NilError(b, err)
			}
			before, began := l.bytes.Load(), cpuTime()
			for b.Loop() {
				page, err := lg.Read(ctx, "control", 1, n, 0)
				assert.NilError(b, err)
				assert.Equal(b, len(page.Records), n)
			}
			reportCPU(b, began, b.N*n, "cpu-µs/record")
			b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N*n), "wire-B/record")
		})
	}
}

// pollMux answers the three requests with which an entry polls an engine.
func pollMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathReport, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, httpapi.Report{})
	})
	mux.HandleFunc("GET "+httpapi.PathState, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, driver.EngineState{
			Incarnation: writerOf(1), Role: driver.RoleMixed, Loaded: []driver.Loaded{{Model: "model-01", Version: "1"}},
		})
	})
	mux.HandleFunc("GET "+httpapi.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, httpapi.CacheEvents{})
	})
	return mux
}

// BenchmarkPoll measures the cost of one polling round of an entry, in CPU time of both ends and in bytes:
// report, state and cache events of each runner.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{1, 12, 120} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			l := serveHTTP(b, pollMux())
			open, err := driver.Engines.Get("http")
			assert.NilError(b, err)
			engines := make([]driver.Engine, n)
			for i := range engines {
				engines[i], err = open(driver.Target{Driver: "http", Address: l.Addr().String()})
				assert.NilError(b, err)
				pollOnce(b, engines[i])
			}
			before, began := l.bytes.Load(), cpuTime()
			for b.Loop() {
				for _, e := range engines {
					pollOnce(b, e)
				}
			}
			reportCPU(b, began, b.N*n, "cpu-µs/poll")
			b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N*n), "wire-B/poll")
		})
	}
}

func pollOnce(b *testing.B, e driver.Engine) {
	ctx := context.Background()
	_, err := e.Report(ctx)
	assert.NilError(b, err)
	_, err = e.State(ctx)
	assert.NilError(b, err)
	_, err = e.CacheEvents(ctx, 0)
	assert.NilError(b, err)
}
