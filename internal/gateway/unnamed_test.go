package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const rejectionWithoutAnID = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n"

// Guards against a request that is refused with a promise, or sent once more, while an endpoint runs it: a late copy of the
// rejection of another request, without its id, has arrived in the place of its answer.
func TestLateCopyOfARejectionThatNamesNoRequestIsNoAnswer(t *testing.T) {
	for name, first := range map[string]string{
		"after its original": rejectionWithoutAnID,
		"after an answer":    "HTTP/1.1 200 X\r\nContent-Length: 0\r\nSeal: s\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(commitRoute)
				used := map[net.Conn]bool{}
				b := w.serve(t, func(b *backend, _ int, r *http.Request, c net.Conn) bool {
					if r.Header.Get("Id") == "1" {
						used[c] = true
						write(first)(c)
						return true
					}
					if used[c] {
						write(rejectionWithoutAnID)(c)
					}
					b.runs.Add(1)
					time.Sleep(silenceCallTime)
					return respond(c, 200, "answer", "Seal: s", "Id: 2")
				})
				w.addEndpoint("a", catalog.Whole, b)
				_, _, err := w.request(t, "POST", "/x/", "x", "Id", "1", "Patience", "300")
				assert.NilError(t, err)
				resp, _, err := w.request(t, "POST", "/x/", "x", "Id", "2")
				assert.NilError(t, err)
				time.Sleep(settleTime)
				assert.Equal(t, b.runs.Load(), int32(1))
				assert.Assert(t, !promisesNotRun(resp.StatusCode), "%d", resp.StatusCode)
			})
		})
	}
}

// Guards against a request that is refused with a promise, or sent once more, while an endpoint runs it: a late copy of its
// own rejection arrives on a connection that has carried another request since.
func TestLateCopyOfARejectionAfterAnotherExchangeIsNoAnswer(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		const rejection = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\nHeld: 8\r\nId: 1\r\n\r\n"
		rejected := map[net.Conn]bool{}
		b := w.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			id := r.Header.Get("Id")
			switch {
			case n == 1:
				rejected[c] = true
				write(rejection)(c)
				return true
			case id == "1":
				if rejected[c] {
					write(rejection)(c)
				}
				b.runs.Add(1)
				time.Sleep(silenceCallTime)
			}
			return respond(c, 200, "answer", "Seal: s", "Id: "+id)
		})
		w.addEndpoint("a", catalog.Whole, b)
		go func() {
			time.Sleep(2 * time.Millisecond) // the first request has been rejected
			_, _, _ = w.request(t, "POST", "/x/", "x", "Id", "2")
		}()
		resp, _, err := w.request(t, "POST", "/x/", "x")
		assert.NilError(t, err)
		time.Sleep(settleTime)
		assert.Equal(t, b.runs.Load(), int32(1))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// Guards against a stream that goes on from the KV cache of another request, as a late copy of the answer to that one's
// prefill, without its id, has arrived in the place of its own.
func TestAnswerToAPrefillThatNamesNoRequestIsNotThatOfAnother(t *testing.T) {
	for name, named := range map[string]bool{"after its original": false, "after an answer with an id": true} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(streamRoute)
				used := map[net.Conn]bool{}
				w.addEndpoint("p", catalog.Prefill, w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
					id := r.Header.Get("Id")
					if r.Method == http.MethodDelete {
						return respond(c, 200, "")
					}
					if used[c] {
						respond(c, 200, `"of-1"`)
					}
					used[c] = true
					if named {
						return respond(c, 200, `"of-`+id+`"`, "Id: "+id)
					}
					return respond(c, 200, `"of-`+id+`"`)
				}))
				taken := make(chan string, 8)
				w.addEndpoint("d", catalog.Decode, w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
					taken <- r.Header.Get("Id") + " " + r.Header.Get("Kv")
					return events(c, 1, 1, true)
				}))
				for _, id := range []string{"1", "2"} {
					_, _, _ = w.request(t, "POST", "/x/", "", "Tokens", "5000", "Id", id)
				}
				time.Sleep(settleTime)
				close(taken)
				for line := range taken {
					id, kv, _ := strings.Cut(line, " ")
					assert.Assert(t, kv == "" || strings.HasSuffix(kv, "/of-"+id), line)
				}
			})
		})
	}
}
