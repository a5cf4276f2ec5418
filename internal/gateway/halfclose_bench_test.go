package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// abandonedWorkTime is how long the requests of callers that leave would last.
const abandonedWorkTime = 3 * time.Second

// endReporter reports when its handler has ended a request.
type endReporter struct {
	http.Handler
	ended chan time.Time
}

func (h *endReporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { h.ended <- time.Now() }()
	h.Handler.ServeHTTP(w, r)
}

// abandoned is an endpoint that works until its connection closes.
type abandoned struct {
	begun, left chan time.Time
	stream      bool
}

func (a *abandoned) serve(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	a.begun <- time.Now()
	if a.stream {
		go writeEvents(c)
	}
	_ = c.SetReadDeadline(time.Now().Add(abandonedWorkTime))
	_, _ = c.Read(make([]byte, 1))
	a.left <- time.Now()
	return false
}

// writeEvents writes a stream without an end, until that fails.
func writeEvents(c net.Conn) {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	for id := 1; err == nil; id++ {
		e := fmt.Sprintf("id: %d\ndata: piece\n\n", id)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		time.Sleep(40 * time.Millisecond)
	}
}

// BenchmarkFullClose measures the time from a caller's full close to the end of the work.
func BenchmarkFullClose(b *testing.B) {
	b.Run("lookup", func(b *testing.B) { benchmarkFullClose(b, lookupRoute, false) })
	b.Run("commit", func(b *testing.B) { benchmarkFullClose(b, commitRoute, false) })
	b.Run("stream", func(b *testing.B) { benchmarkFullClose(b, streamRoute, true) })
	b.Run("queued", benchmarkFullCloseQueued)
}

func benchmarkFullClose(b *testing.B, route catalog.Route, stream bool) {
	w := newTestGateway(b)
	w.setRoute(route)
	a := &abandoned{make(chan time.Time, 1), make(chan time.Time, 1), stream}
	w.addEndpoint("a", catalog.Whole, serve(b, a.serve))
	_, addr := startFront(b, w.gateway)
	var times []time.Duration
	for b.Loop() {
		c := dialFront(b, addr)
		c.send(b, requestText("1.1", "1", "abc"))
		<-a.begun
		if stream {
			_, err := c.answers.Peek(1)
			assert.NilError(b, err)
		}
		closed := time.Now()
		assert.NilError(b, c.Close())
		times = append(times, (<-a.left).Sub(closed))
	}
	reportTimes(b, times)
}

// benchmarkFullCloseQueued measures requests that wait for an endpoint whose limit leaves no room.
func benchmarkFullCloseQueued(b *testing.B) {
	w := newTestGateway(b)
	w.setRoute(lookupRoute)
	e := serve(b, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 200, "ok", "Seal: s", "Limit: 0.2")
	})
	w.addEndpoint("a", catalog.Whole, e)
	h := &endReporter{w.gateway, make(chan time.Time, 1)}
	_, addr := startFront(b, h)
	// A caller with less time than the wait is refused, one with more of it waits.
	first := dialFront(b, addr)
	first.send(b, requestText("1.1", "1", "abc"))
	<-h.ended
	for first.read().status == http.StatusOK {
		first.send(b, requestText("1.1", "1", "abc"))
		<-h.ended
	}
	before := e.arrivals.Load()
	var times []time.Duration
	for b.Loop() {
		c := dialFront(b, addr)
		c.send(b, strings.Replace(requestText("1.1", "1", "abc"), "3000", "30000", 1))
		time.Sleep(queueingTime)
		assert.Equal(b, len(h.ended), 0, "not queued")
		closed := time.Now()
		assert.NilError(b, c.Close())
		times = append(times, (<-h.ended).Sub(closed))
	}
	assert.Equal(b, e.arrivals.Load(), before)
	reportTimes(b, times)
}

// queueingTime is within which a request has been read and waits.
const queueingTime = 5 * time.Millisecond

func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "µs-median")
	b.ReportMetric(float64(times[len(times)-1].Microseconds()), "µs-worst")
}

// BenchmarkHalfClose counts what callers get that close their side after a whole request.
func BenchmarkHalfClose(b *testing.B) {
	for name, tc := range map[string]struct {
		route  catalog.Route
		handle func(*backend, int, *http.Request, net.Conn) bool
	}{"lookup": {lookupRoute, answerSigned}, "commit": {commitRoute, answerSigned}, "stream": {streamRoute, answerStream}} {
		for _, version := range []string{"1.0", "1.1"} {
			b.Run(name+"/"+version, func(b *testing.B) { benchmarkHalfClose(b, version, tc.route, tc.handle) })
		}
	}
}

// halfClosedBenchTime is how long an endpoint works for a caller that has closed its side.
const halfClosedBenchTime = 10 * time.Millisecond

func benchmarkHalfClose(b *testing.B, version string, route catalog.Route, handle func(*backend, int, *http.Request, net.Conn) bool) {
	w := newTestGateway(b)
	w.setRoute(route)
	e := serve(b, slowly(halfClosedBenchTime, handle))
	w.addEndpoint("a", catalog.Whole, e)
	_, addr := startFront(b, w.gateway)
	counts := map[string]float64{"sealed": 0, "unsealed": 0, "503": 0, "502": 0, "broken": 0}
	for b.Loop() {
		c := dialFront(b, addr)
		c.send(b, requestText(version, "1", "abc"))
		assert.NilError(b, c.CloseWrite())
		switch got := c.read(); {
		case got.broken != nil:
			counts["broken"]++
		case got.status != http.StatusOK:
			counts[strconv.Itoa(got.status)]++
		case got.seal == "s" && (got.body == "answer" || eventIDs(got.body) == "1 2 3"):
			counts["sealed"]++
		default:
			counts["unsealed"]++
		}
		assert.NilError(b, c.Close())
	}
	counts["begun"] = float64(e.arrivals.Load())
	for unit, n := range counts {
		b.ReportMetric(n, unit)
	}
}
