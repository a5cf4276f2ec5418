package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against a request that is refused with a promise though an endpoint may run it: a rejection was cut within its
// header.
func TestCutRejectionIsNoPromise(t *testing.T) {
	for _, rejection := range []string{
		"HTTP/1.1 503 X\r\nNot-Run: 1\r\nHeld: 8\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nGone: 1\r\n\r\n",
		"HTTP/1.1 429 X\nNot-Run: 1\nContent-Length: 0\n\n",
	} {
		for name, tr := range cutRoutes {
			for end, te := range cutEnds {
				t.Run(fmt.Sprintf("%s/%s/%.12s", name, end, rejection), func(t *testing.T) {
					t.Parallel()
					for at := range len(rejection) + 1 {
						simulated(t, func(t *testing.T, w *testGateway) {
							w.setRoute(tr.route)
							cut := newCutRun(t, w, rejection)
							cut.at, cut.reset, cut.packets = at, te.reset, te.packets
							if tr.relayed {
								w.cutOff.Store(true)
								w.relayTargets = []string{cut.b.addr}
							}
							w.addEndpoint("a", tr.stage, cut.b)
							resp, _, err := w.request(t, "POST", "/x/", "x", "Tokens", "100")
							assert.Assert(t, cut.b.arrivals.Load() > 0)
							if at == len(rejection) {
								assert.Assert(t, tr.relayed || te.reset || err == nil && promisesNotRun(resp.StatusCode))
								return
							}
							assert.Assert(t, err != nil || !promisesNotRun(resp.StatusCode), "byte %d of %q", at, rejection)
						})
					}
				})
			}
		}
	}
}

// Guards against a stream that goes on from a KV cache which its prefill engine hasn't named: the answer to the prefill
// was cut.
func TestCutAnswerToAPrefillNamesNoKVCache(t *testing.T) {
	for name, frame := range map[string]func(string) (string, string){"length": framedByLength, "chunks": framedByChunks, "close": framedByClose} {
		field, body := frame(`"h1"`)
		text := "HTTP/1.1 200 OK\r\nId: 1\r\n" + field + "\r\n" + body
		for end, te := range cutEnds {
			t.Run(name+"/"+end, func(t *testing.T) {
				t.Parallel()
				for at := range len(text) {
					simulated(t, func(t *testing.T, w *testGateway) {
						w.setRoute(streamRoute)
						cut := newCutRun(t, w, text)
						cut.at, cut.reset, cut.packets = at, te.reset, te.packets
						w.addEndpoint("p", catalog.Prefill, cut.b)
						w.addEndpoint("d", catalog.Decode, w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
							assert.Check(t, !strings.Contains(r.Header.Get("Kv"), "/"), "byte %d of %q", at, text)
							return events(c, 1, 1, true)
						}))
						_, _, _ = w.request(t, "POST", "/x/", "", "Tokens", "5000")
						assert.Assert(t, cut.b.arrivals.Load() > 0)
					})
				}
			})
		}
	}
}
