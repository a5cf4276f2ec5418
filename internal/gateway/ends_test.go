package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/repeat"
)

const (
	// endsPatience is how long the callers of these tests wait, endsDeadline that of those whose deadline ends
	// first, and endsWork how long an endpoint works before it answers.
	endsPatience = 700 * time.Millisecond
	endsDeadline = 100 * time.Millisecond
	endsWork     = 20 * time.Millisecond
	// endsSettle is within which an endpoint begins a request that has been sent.
	endsSettle = 30 * time.Millisecond
)

const wholeCallBody, wholeStreamEvents = "answer", "1 2 3"

// endpointEnds are the ways in which an endpoint ends an exchange. Those that run the request count it.
var endpointEnds = map[string]func(b *backend, stream bool, c net.Conn) bool{
	"whole": func(b *backend, stream bool, c net.Conn) bool {
		b.runs.Add(1)
		if stream {
			return events(c, 1, 3, true)
		}
		return respond(c, 200, wholeCallBody, "Seal: s")
	},
	"not run": func(_ *backend, _ bool, c net.Conn) bool { return respond(c, 503, "", "Not-Run: 1") },
	"misdirected": func(_ *backend, _ bool, c net.Conn) bool {
		return respond(c, 421, "", "Gone: 1")
	},
	"failure": func(b *backend, _ bool, c net.Conn) bool {
		b.runs.Add(1)
		return respond(c, 500, "failure", "Seal: s")
	},
	"failure that looks like a refusal": func(b *backend, _ bool, c net.Conn) bool {
		b.runs.Add(1)
		return respond(c, 503, "", "Seal: s")
	},
	"unsigned": func(b *backend, _ bool, c net.Conn) bool {
		b.runs.Add(1)
		return respond(c, 200, wholeCallBody)
	},
	"other request": func(b *backend, _ bool, c net.Conn) bool {
		b.runs.Add(1)
		return respond(c, 200, wholeCallBody, "Seal: s", "Id: other")
	},
	"no header": func(b *backend, _ bool, _ net.Conn) bool {
		b.runs.Add(1)
		return false
	},
	"cut body": func(b *backend, stream bool, c net.Conn) bool {
		b.runs.Add(1)
		if stream {
			return events(c, 1, 2, false)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")
		return false
	},
	"silent": func(b *backend, _ bool, c net.Conn) bool {
		b.runs.Add(1)
		_ = c.SetReadDeadline(time.Now().Add(2 * endsPatience))
		_, _ = c.Read(make([]byte, 1))
		return false
	},
}

// requestEnds are what else may end a request.
var requestEnds = map[string]struct {
	prepare func(t *testing.T, w *testGateway)
	version string
	close   func(c *rawCaller) error
	patient time.Duration
	relayed bool
	notRun  bool // the request must not run
}{
	"nothing":                   {},
	"half-close":                {close: (*rawCaller).CloseWrite},
	"half-close of HTTP/1.0":    {version: "1.0", close: (*rawCaller).CloseWrite},
	"close":                     {close: (*rawCaller).Close},
	"reset":                     {close: (*rawCaller).reset},
	"deadline":                  {patient: endsDeadline},
	"deadline after half-close": {patient: endsDeadline, close: (*rawCaller).CloseWrite},
	"shutdown":                  {prepare: func(t *testing.T, w *testGateway) { w.shutDown(t, endsDeadline) }},
	"quarantine":                {prepare: quarantineAll, notRun: true},
	"budget":                    {prepare: func(_ *testing.T, w *testGateway) { w.budget.SetConfig(repeat.Config{Window: time.Second}) }},
	"relay":                     {relayed: true},
	"relay and half-close":      {relayed: true, close: (*rawCaller).CloseWrite},
	"relay and close":           {relayed: true, close: (*rawCaller).Close},
}

func (c *rawCaller) reset() error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

func quarantineAll(_ *testing.T, w *testGateway) {
	request := fingerprint(&Call{Host: "h.example", Target: "/x/", Body: []byte("abc")})
	for i := range 3 {
		w.crashes.Record(clock.Boot{}.Now(), crash.Crash{Request: request, Endpoint: fmt.Sprint("crashed-", i)})
	}
}

// judge returns how an answer contradicts what the endpoints did, "" if it doesn't.
func (a *finalAnswer) judge(stream bool, runs int32) string {
	whole := a.body == wholeCallBody
	if stream {
		whole = eventIDs(a.body) == wholeStreamEvents && strings.HasSuffix(a.body, "\n\n")
	}
	switch {
	case a.broken != nil:
		return ""
	case a.status < 300 && a.seal != "s":
		return "a success without the endpoint's signature"
	case a.status < 300 && !whole:
		return "a success without the whole body"
	case a.status < 300 && runs == 0:
		return "a success that nobody ran"
	case promisesNotRun(a.status) && runs > 0:
		return "a refusal that denies the run"
	case a.status >= 300 && a.seal != "" && (a.status != 500 || a.body != "failure"):
		return "another failure than the endpoint's with its signature"
	case a.status >= 300 && a.seal == "" && !strings.Contains(a.body, ": "):
		return "a refusal without its number"
	}
	return ""
}

// Guards against an end of a request that tells its caller what didn't happen.
func TestEveryEndOfARequestIsTruthful(t *testing.T) {
	routes := map[string]catalog.Route{"lookup": lookupRoute, "commit": commitRoute, "stream": streamRoute}
	for kind, route := range routes {
		for end, answer := range endpointEnds {
			for cause := range requestEnds {
				t.Run(kind+"/"+end+"/"+cause, func(t *testing.T) {
					t.Parallel()
					testEnd(t, route, answer, cause)
				})
			}
		}
	}
}

func testEnd(t *testing.T, route catalog.Route, answer func(*backend, bool, net.Conn) bool, cause string) {
	how, stream := requestEnds[cause], route.Kind == catalog.Stream
	id := t.Name()
	var others atomic.Int32
	b := serve(t, func(b *backend, _ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Id") != id { // another process may call the endpoint that had the port before
			others.Add(1)
			return respond(c, 421, "", "Gone: 1")
		}
		time.Sleep(endsWork)
		return answer(b, stream, c)
	})
	w := newTestGateway(t)
	target := w
	if how.relayed {
		target = newTestGateway(t)
		_, addr := startFront(t, target.gateway)
		w.cutOff.Store(true)
		w.relayTargets = []string{addr}
	}
	for _, g := range []*testGateway{w, target} {
		g.setRoute(route)
		for _, endpoint := range []string{"a", "b", "c"} {
			g.addEndpoint(endpoint, catalog.Whole, b)
		}
	}
	if how.prepare != nil {
		how.prepare(t, w)
	}
	front, addr := startFront(t, w.gateway)
	c := dialFront(t, addr)
	version, patience := "1.1", endsPatience
	if how.version != "" {
		version = how.version
	}
	if how.patient > 0 {
		patience = how.patient
	}
	c.send(t, strings.Replace(requestText(version, id, "abc"), "3000", fmt.Sprint(patience.Milliseconds()), 1))
	if how.close != nil {
		assert.NilError(t, how.close(c))
	}
	got := c.read()
	time.Sleep(endsSettle)
	runs := b.runs.Load()
	assert.Equal(t, got.judge(stream, runs), "", "%+v, %d runs, %d requests of others", got, runs, others.Load())
	assert.Assert(t, runs <= int32(max(route.MaxAttempts, 1)), "%d runs, %d requests of others", runs, others.Load())
	assert.Assert(t, !how.notRun || runs == 0, "%d runs", runs)
	assert.Equal(t, front.Counts().Unanswered+front.Counts().Faults, int64(0))
}
