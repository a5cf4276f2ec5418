package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against an answer that contradicts what the endpoints did, as an endpoint's answer and the end of the caller's
// time come at the same moment.
func TestAnswerAtTheDeadlineIsTruthful(t *testing.T) {
	const patience, span, step = endsDeadline, 1500 * time.Microsecond, 50 * time.Microsecond
	for kind, route := range map[string]catalog.Route{"lookup": lookupRoute, "commit": commitRoute, "stream": streamRoute} {
		for end, answer := range endpointEnds {
			t.Run(kind+"/"+end, func(t *testing.T) {
				t.Parallel()
				simulated(t, func(t *testing.T, w *testGateway) {
					w.setRoute(route)
					stream := route.Kind == catalog.Stream
					var work atomic.Int64 // of an endpoint, in nanoseconds
					b := w.serve(t, func(b *backend, _ int, _ *http.Request, c net.Conn) bool {
						time.Sleep(time.Duration(work.Load()))
						return answer(b, stream, c)
					})
					w.addEndpoint("a", catalog.Whole, b)
					w.addEndpoint("b", catalog.Whole, b)
					for after := patience - span; after < patience+span; after += step {
						work.Store(int64(after))
						before := b.runs.Load()
						resp, body, err := w.request(t, "POST", "/x/", fmt.Sprint(after), "Tokens", "100",
							"Patience", fmt.Sprint(patience.Milliseconds()))
						time.Sleep(2 * patience)
						got := finalAnswer{broken: err, body: body}
						if err == nil {
							got.status, got.seal = resp.StatusCode, resp.Header.Get("Seal")
						}
						runs := b.runs.Load() - before
						assert.Equal(t, got.judge(stream, runs), "", "after %v: %+v, %d runs", after, got, runs)
						assert.Assert(t, runs <= int32(max(route.MaxAttempts, 1)), "after %v: %d runs", after, runs)
					}
				})
			})
		}
	}
}
