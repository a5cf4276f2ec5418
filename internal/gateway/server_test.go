package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/standin/readgate"
)

// maxDrainTime bounds how long a test waits for a server that drains.
const maxDrainTime = 5 * time.Second

// gateOpenTime is how long a server may take, from the begin of its drain, to close idle connections.
const gateOpenTime = 300 * time.Millisecond

// Guards against a shutdown that takes a connection for idle whose next request has already been read, and closes it unanswered.
func TestDrainAnswersARequestThatHasBeenRead(t *testing.T) {
	s := NewServer("front", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}), 0)
	assert.NilError(t, s.Provision(t.Context()))
	gate := readgate.New()
	s.ln = gate.Listen(s.ln)
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan error, 1)
	go func() { ran <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.ErrorIs(t, <-ran, context.Canceled)
	})

	c, err := net.Dial("tcp4", s.ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	assert.Equal(t, exchangeOn(t, c, answers), "answer")
	gate.Arm()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-gate.Reached

	drainCtx, cancel := context.WithTimeout(t.Context(), maxDrainTime)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(drainCtx) }()
	time.AfterFunc(gateOpenTime, gate.Open)
	assert.Equal(t, readAnswer(t, answers), "answer")
	assert.NilError(t, <-drained)
}

// exchangeOn sends a request on a kept connection and returns the body of its answer.
func exchangeOn(t *testing.T, c net.Conn, answers *bufio.Reader) string {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	return readAnswer(t, answers)
}

func readAnswer(t *testing.T, answers *bufio.Reader) string {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// halfClosedCallTime is how long an endpoint takes to answer a caller that has closed its side.
const halfClosedCallTime = 50 * time.Millisecond

// Guards against a success that no endpoint gave, to a caller that closes its side after a whole request.
func TestHalfClosedCallerGetsNoInventedSuccess(t *testing.T) {
	for _, route := range []catalog.Route{lookupRoute, commitRoute} {
		w := newTestGateway(t)
		w.setRoute(route)
		w.addEndpoint("a", catalog.Whole, serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			time.Sleep(halfClosedCallTime)
			return answerSigned(b, n, r, c)
		}))
		c, err := net.Dial("tcp4", w.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nPatience: 3000\r\nContent-Length: 3\r\n\r\nabc")
		assert.NilError(t, err)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && resp.StatusCode/100 == 2 {
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body)+resp.Header.Get("Seal"), "answers", "kind %v", route.Kind)
		}
		_ = c.Close()
	}
}
