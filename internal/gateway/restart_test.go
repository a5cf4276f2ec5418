package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against a part of an answer that is delivered as a whole one, as it had neither a length nor chunks and its
// endpoint's process ended within it: another process listens at the address at once.
func TestAnswerCutByARestartIsNotWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		route catalog.Route
		part  string
		used  bool // the VM has a connection to the endpoint before
		gone  bool // the endpoint's entry is removed within the answer
	}{
		"stream":                      {catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, "id: 1\n\n", false, false},
		"stream at a used one":        {catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, "id: 1\n\n", true, false},
		"call at a used one":          {commitRoute, "part", true, false},
		"stream at one without entry": {catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, "id: 1\n\n", false, true},
		"call at one without entry":   {commitRoute, "part", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.route)
				host := w.network.NewHost()
				ln, err := host.Listen(0)
				assert.NilError(t, err)
				restart := func() {
					host.CloseAll()
					ln, err := host.Listen(uint16(ln.Addr().(*net.TCPAddr).Port))
					assert.Check(t, err)
					serveOn(t, ln, answerSigned)
				}
				w.addEndpoint("a", catalog.Whole, serveOn(t, ln, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
					if r.Header.Get("Id") != "cut" {
						time.Sleep(time.Millisecond)
						return respond(c, 500, "", "Seal: s")
					}
					write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + tc.part)(c)
					time.Sleep(silenceCallTime)
					if tc.gone {
						w.store.RemoveEndpoint("a", false)
						time.Sleep(time.Millisecond) // until the gateway has closed idle connections
					}
					restart()
					return false
				}))
				if tc.used {
					for i := range 2 { // at the same time, on two connections
						go func() { _, _, _ = w.request(t, "POST", "/x/", fmt.Sprint(i), "Id", fmt.Sprint(i), "Tokens", "100") }()
					}
					time.Sleep(silenceCallTime)
				}
				resp, body, err := w.request(t, "POST", "/x/", "x", "Id", "cut", "Tokens", "100")
				assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%d %q", resp.StatusCode, body)
			})
		})
	}
}

// Guards against an answer with neither a length nor chunks that is lost though its endpoint goes on.
func TestAnswerWithoutALengthIsWhole(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 1})
		b := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nid: 1\n\n")(c)
			time.Sleep(silenceCallTime)
			return false
		})
		w.addEndpoint("a", catalog.Whole, b)
		for range 10 {
			resp, body, err := w.request(t, "POST", "/x/", "x", "Tokens", "100")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, eventIDs(body), "1")
		}
		dials := w.gateway.o.Pool.Stats().Dials
		assert.Assert(t, dials <= 11, "%d connections for ten answers", dials)
	})
}

// Guards against a part of an answer that is delivered as a whole one, as the caller's time was over before the endpoint
// could be found to have ended.
func TestAnswerThatCannotBeVerifiedInTimeIsNotWhole(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		host := w.network.NewHost()
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		w.addEndpoint("a", catalog.Whole, serveOn(t, ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart")(c)
			_ = c.Close()
			time.Sleep(testLatency + 2*testJitter) // the end has arrived, and no new connection is open
			host.Silence()
			return false
		}))
		resp, body, err := w.request(t, "POST", "/x/", "x", "Patience", "100")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout, body)
	})
}

// Guards against a whole answer without a length that is lost, as its endpoint closes an idle connection right before its
// end.
func TestAnswerBesideTheEndOfAnIdleConnectionIsWhole(t *testing.T) {
	for name, after := range map[string]time.Duration{"1 ms": time.Millisecond, "20 ms": 20 * time.Millisecond, "45 ms": 45 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 1})
				const idle = time.Second
				ln, err := w.network.NewHost().Listen(0)
				assert.NilError(t, err)
				t.Cleanup(func() { _ = ln.Close() })
				go serveClosingIdle(ln, idle, after)
				w.addEndpoint("a", catalog.Whole, &backend{addr: ln.Addr().String()})
				resp, body, err := w.request(t, "POST", "/x/", "x", "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, eventIDs(body), "1 2")
			})
		})
	}
}

// serveClosingIdle serves streams without a length which end the given time after idle connections that were opened at
// their beginning are closed.
func serveClosingIdle(ln net.Listener, idle, after time.Duration) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(idle))
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nid: 1\n\n")(c)
			time.Sleep(idle + after)
			write("id: 2\n\n")(c)
		}()
	}
}

// Guards against a part of an answer to a call that is delivered as a whole one: its endpoint, to which there was no idle
// connection, has ended within it, and another process listens at the address at once.
func TestCallCutByARestartAtAnUnusedEndpointIsNotWhole(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		host := w.network.NewHost()
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		w.addEndpoint("a", catalog.Whole, serveOn(t, ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart")(c)
			time.Sleep(silenceCallTime)
			host.CloseAll()
			ln, err := host.Listen(uint16(ln.Addr().(*net.TCPAddr).Port))
			assert.Check(t, err)
			serveOn(t, ln, answerSigned)
			return false
		}))
		resp, body, err := w.request(t, "POST", "/x/", "x")
		assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%d %q", resp.StatusCode, body)
	})
}
