package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// endTolerance is the time that a refusal takes to reach a caller beside the limit that it follows.
const endTolerance = 100 * time.Millisecond

// Guards against callers that hold a request and the room for its body by sending it byte by byte or not at all.
func TestBodyEndsInTime(t *testing.T) {
	const length, chunked = "Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		patience string
		framing  string
		sent     string        // with the header
		part     string        // then, again and again
		interval time.Duration // between two parts, zero for none
		want     time.Duration
	}{
		"creeps beyond the caller's timeout": {"9000", length, strings.Repeat("x", 50), "x", 250 * time.Millisecond, 9 * time.Second},
		"pauses":                             {"60000", length, strings.Repeat("x", 50), "", 0, maxBodyPause},
		"creeps within the caller's timeout": {"60000", length, strings.Repeat("x", 50), "x", 250 * time.Millisecond, 0},
		"creeps, no timeout":                 {"", "Content-Length: 1000\r\n\r\n", "", "x", 4 * time.Second, maxSmallBodyTime},
		"creeps, long timeout":               {"86400000", "Content-Length: 1000\r\n\r\n", "", "x", 4 * time.Second, maxSmallBodyTime},
		"chunks creep":                       {"", chunked, "", "1\r\nx\r\n", 4 * time.Second, maxSmallBodyTime},
		"a chunk's line creeps":              {"", chunked, "", "0", 2 * time.Second, maxBodyPause},
		"an extension creeps":                {"", chunked, "1;", "x", 4 * time.Second, maxBodyPause},
		"a trailer creeps":                   {"", chunked, "1\r\nx\r\n0\r\nX-A: ", "x", 4 * time.Second, maxBodyPause},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1})
				w.addEndpoint("e", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					return respond(c, 200, "ok", "Seal: s")
				}))
				c, err := w.network.NewHost().DialContext(t.Context(), "tcp4", w.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = c.Close() }()
				began := time.Now()
				_, err = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nPatience: "+tc.patience+"\r\n"+tc.framing+tc.sent)
				assert.NilError(t, err)
				if tc.interval > 0 {
					go func() {
						for range 50 {
							time.Sleep(tc.interval)
							if _, err := io.WriteString(c, tc.part); err != nil {
								return
							}
						}
					}()
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				if tc.want == 0 {
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					return
				}
				assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
				took := time.Since(began)
				assert.Assert(t, took >= tc.want && took <= tc.want+endTolerance, "refused after %s, wanted %s", took, tc.want)
				assert.Equal(t, w.gateway.o.Bodies.Snapshot().Used, int64(0))
			})
		})
	}
}

// Guards against a header beyond the configuration's limit that is accepted.
func TestHeaderBeyondTheLimitIsRefused(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.addEndpoint("e", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return respond(c, 200, "ok", "Seal: s")
		}))
		for _, tc := range []struct {
			limit int64
			bytes int
			want  int
		}{
			{8192, 12000, http.StatusRequestHeaderFieldsTooLarge},
			{8192, 7500, http.StatusOK},
			{0, 12000, http.StatusOK},
		} {
			w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1})
			w.store.View().Config.Limits.HeaderBytes = tc.limit
			resp, _, err := w.request(t, http.MethodGet, "/x/", "", "Long", strings.Repeat("x", tc.bytes))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.want)
		}
	})
}

// Guards against a caller that gets no answer as its body is still being read at the end of a shutdown.
func TestBodyInProgressIsRefusedBeforeTheShutdownEnds(t *testing.T) {
	const shutdownTime = 2 * time.Second
	for name, part := range map[string]string{"pauses": "", "creeps": "x"} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1})
				c, err := w.network.NewHost().DialContext(t.Context(), "tcp4", w.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nPatience: 60000\r\nContent-Length: 100\r\n\r\nx")
				assert.NilError(t, err)
				time.Sleep(time.Millisecond)
				w.shutDown(t, shutdownTime)
				signal := time.Now()
				go func() {
					for range 20 {
						time.Sleep(250 * time.Millisecond)
						if _, err := io.WriteString(c, part); err != nil {
							return
						}
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Assert(t, time.Since(signal) < shutdownTime, "refused after %s", time.Since(signal))
			})
		})
	}
}
