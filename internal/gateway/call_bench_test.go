package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// BenchmarkCall measures a lookup, with its caller's and its endpoint's part in it.
func BenchmarkCall(b *testing.B) {
	for name, bytes := range map[string]int{"100B": 100, "10KB": 10 << 10, "4MB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			w := newTestGateway(b)
			w.setRoute(lookupRoute)
			answer := strings.Repeat("a", bytes)
			w.addEndpoint("a", catalog.Whole, serve(b, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				return respond(c, 200, answer, "Seal: s")
			}))
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(b.Context(), "GET", w.URL+"/x/", nil)
				assert.NilError(b, err)
				req.Host = "h.example"
				req.Header.Set("Id", "1")
				resp, err := w.caller.Do(req)
				assert.NilError(b, err)
				n, err := io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.Equal(b, int(n), bytes)
				assert.NilError(b, resp.Body.Close())
			}
		})
	}
}

// BenchmarkUpload measures a call with a body, with its caller's and its endpoint's part in it.
func BenchmarkUpload(b *testing.B) {
	for name, bytes := range map[string]int{"100B": 100, "10KB": 10 << 10, "1MB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			w := newTestGateway(b)
			w.setRoute(lookupRoute)
			w.store.View().Config.Limits.BodyBytes = 1 << 20
			body := strings.Repeat("b", bytes)
			w.addEndpoint("a", catalog.Whole, serve(b, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				return respond(c, 200, "ok", "Seal: s")
			}))
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(b.Context(), "POST", w.URL+"/x/", strings.NewReader(body))
				assert.NilError(b, err)
				req.Host = "h.example"
				req.Header.Set("Id", "1")
				resp, err := w.caller.Do(req)
				assert.NilError(b, err)
				assert.Equal(b, resp.StatusCode, 200)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.NilError(b, resp.Body.Close())
			}
		})
	}
}
