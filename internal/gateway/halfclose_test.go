package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// startFront serves a handler as callers reach it, and returns the address.
func startFront(t testing.TB, h http.Handler) (s *Server, addr string) {
	t.Helper()
	s = NewServer("front", "127.0.0.1:0", h, 0)
	assert.NilError(t, s.Provision(t.Context()))
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.ErrorIs(t, <-ran, context.Canceled)
	})
	return s, s.ln.Addr().String()
}

// rawCaller is a caller that sends its requests as text.
type rawCaller struct {
	*net.TCPConn
	answers *bufio.Reader
}

func dialFront(t testing.TB, addr string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *rawCaller) send(t testing.TB, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// finalAnswer is what a caller has got, interim responses apart.
type finalAnswer struct {
	status int
	seal   string
	body   string
	broken error // the answer is missing or isn't whole
}

func (c *rawCaller) read() finalAnswer {
	for {
		resp, err := http.ReadResponse(c.answers, nil)
		if err != nil {
			return finalAnswer{broken: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return finalAnswer{resp.StatusCode, resp.Header.Get("Seal"), string(body), err}
	}
}

// requestText is a whole request of a version of HTTP.
func requestText(version, id, body string) string {
	return fmt.Sprintf("POST /x/ HTTP/%s\r\nHost: h.example\r\nId: %s\r\nPatience: 3000\r\nTokens: 100\r\nContent-Length: %d\r\n\r\n%s",
		version, id, len(body), body)
}

// slowly makes an endpoint work before it answers.
func slowly(work time.Duration, handle func(*backend, int, *http.Request, net.Conn) bool) func(*backend, int, *http.Request, net.Conn) bool {
	return func(b *backend, n int, r *http.Request, c net.Conn) bool {
		time.Sleep(work)
		return handle(b, n, r, c)
	}
}

func answerStream(b *backend, _ int, _ *http.Request, c net.Conn) bool {
	b.runs.Add(1)
	return events(c, 1, 3, true)
}

// Guards against an answer that a caller doesn't get because it has closed its side for writing.
func TestHalfClosedCallerGetsTheEndpointsAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		route  catalog.Route
		handle func(*backend, int, *http.Request, net.Conn) bool
		body   string
	}{
		"lookup": {lookupRoute, answerSigned, "answer"},
		"commit": {commitRoute, answerSigned, "answer"},
		"stream": {streamRoute, answerStream, strings.Repeat("e", 3)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(tc.route)
			b := serve(t, slowly(halfClosedCallTime, tc.handle))
			w.addEndpoint("a", catalog.Whole, b)
			_, addr := startFront(t, w.gateway)
			c := dialFront(t, addr)
			c.send(t, requestText("1.1", "1", "abc"))
			assert.NilError(t, c.CloseWrite())
			got := c.read()
			assert.NilError(t, got.broken)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.seal, "s")
			if name == "stream" {
				assert.Equal(t, eventIDs(got.body), "1 2 3")
			} else {
				assert.Equal(t, got.body, tc.body)
			}
			assert.Equal(t, b.runs.Load(), int32(1))
		})
	}
}

// heldDialer lets no connection come about, and closes dialing with the first attempt.
type heldDialer struct {
	dialing chan struct{}
	once    sync.Once
}

func (d *heldDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	d.once.Do(func() { close(d.dialing) })
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a caller of HTTP/1.0, which can't be probed, that isn't told whether its request has run.
func TestHalfClosedCallerOfHTTP10IsTold(t *testing.T) {
	for name, statuses := range map[string][]int{"before it is sent": {503}, "while it runs": {502}, "at once": {502, 503}} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(commitRoute)
			mayClose := make(chan struct{})
			b := serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
				if name == "while it runs" {
					close(mayClose)
				}
				return slowly(halfClosedCallTime, answerSigned)(b, n, r, c)
			})
			w.addEndpoint("a", catalog.Whole, b)
			switch name {
			case "before it is sent":
				w.gateway.o.Pool.Dialer = &heldDialer{dialing: mayClose}
			case "at once":
				close(mayClose)
			}
			_, addr := startFront(t, w.gateway)
			c := dialFront(t, addr)
			c.send(t, requestText("1.0", "1", "abc"))
			<-mayClose
			assert.NilError(t, c.CloseWrite())
			got := c.read()
			assert.NilError(t, got.broken)
			assert.Assert(t, strings.HasPrefix(got.body, "1018 caller-gone"), got.body)
			assert.Assert(t, slices.Contains(statuses, got.status), "%d", got.status)
			time.Sleep(endsSettle)
			assert.Assert(t, got.status == 502 || b.arrivals.Load() == 0, "%d arrivals", b.arrivals.Load())
		})
	}
}
