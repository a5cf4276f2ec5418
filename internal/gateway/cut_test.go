package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/simnet"
)

// cutAnswer is an endpoint's answer, which a test cuts at each of its bytes.
type cutAnswer struct {
	before string // interim responses and the status line
	fields string
	frame  func(body string) (field, framed string)
}

func framedByLength(body string) (field, framed string) {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
}

func framedByChunks(body string) (field, framed string) {
	half := len(body) / 2
	return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
}

func framedByClose(body string) (field, framed string) { return "", body }

// text returns the answer and the length of what precedes its body.
func (a *cutAnswer) text(body, lineEnd string) (text string, header int) {
	field, framed := a.frame(body)
	head := strings.ReplaceAll(a.before+"Seal: s\r\n"+a.fields+field+"\r\n", "\r\n", lineEnd)
	return head + framed, len(head)
}

var cutAnswers = map[string]cutAnswer{
	"length":                  {"HTTP/1.1 200 OK\r\n", "", framedByLength},
	"chunks":                  {"HTTP/1.1 200 OK\r\n", "", framedByChunks},
	"close":                   {"HTTP/1.1 200 OK\r\n", "", framedByClose},
	"folded field":            {"HTTP/1.1 200 OK\r\n", "Folded: a\r\n b\r\n \r\n", framedByLength},
	"folded field, close":     {"HTTP/1.1 200 OK\r\n", "Folded: a\r\n b\r\n \r\n", framedByClose},
	"interim response":        {"HTTP/1.1 103 Early Hints\r\nSeal: s\r\n\r\nHTTP/1.1 200 OK\r\n", "", framedByLength},
	"interim response, close": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "", framedByClose},
	"partial content":         {"HTTP/1.1 206 Partial Content\r\n", "Content-Range: bytes 0-5/6\r\n", framedByLength},
	"partial content, close":  {"HTTP/1.1 206 Partial Content\r\n", "", framedByClose},
	"HTTP/1.0":                {"HTTP/1.0 200 OK\r\n", "", framedByLength},
	"HTTP/1.0, close":         {"HTTP/1.0 200 OK\r\n", "", framedByClose},
}

// cutEnds are the ways in which an endpoint cuts its answer.
var cutEnds = map[string]struct {
	reset   bool
	packets int
}{
	"end":                     {false, 1},
	"end after two packets":   {false, 2},
	"reset":                   {true, 1},
	"reset after two packets": {true, 2},
}

// cutRoutes are the ways of an answer to the caller.
var cutRoutes = map[string]struct {
	route   catalog.Route
	stage   catalog.Stage
	relayed bool
	body    string
}{
	"lookup": {lookupRoute, catalog.Whole, false, wholeCallBody},
	"commit": {commitRoute, catalog.Whole, false, wholeCallBody},
	"stream": {catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, catalog.Decode, false, cutStream},
	"relay":  {commitRoute, catalog.Whole, true, wholeCallBody},
}

const cutStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against an answer that looks complete to the caller, though its endpoint, or the VM that relays it, has ended
// within it.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for route, tr := range cutRoutes {
		for answer, ta := range cutAnswers {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				text, header := ta.text(tr.body, lineEnd)
				t.Run(fmt.Sprintf("%s/%s/%q", route, answer, lineEnd), func(t *testing.T) {
					t.Parallel()
					for end, te := range cutEnds {
						simulated(t, func(t *testing.T, w *testGateway) {
							w.setRoute(tr.route)
							cut := newCutRun(t, w, text)
							cut.reset, cut.packets = te.reset, te.packets
							if !te.reset && ta.endsWithConnection() {
								cut.header, cut.events = header, tr.stage == catalog.Decode
							}
							if tr.relayed {
								w.cutOff.Store(true)
								w.relayTargets = []string{cut.b.addr}
							}
							w.addEndpoint("a", tr.stage, cut.b)
							cut.everywhere(t, w, end)
						})
					}
				})
			}
		}
	}
}

// Guards against an answer to HEAD that is taken for one which was cut off after its header.
func TestAnswerToHeadIsWhole(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n")(c)
			return false
		}))
		resp, _, err := w.request(t, "HEAD", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// Guards against an answer without content that is lost, though its status says that it has none.
func TestAnswerWhoseStatusHasNoContentIsWhole(t *testing.T) {
	for _, head := range []string{"204 No Content", "205 Reset Content", "304 Not Modified"} {
		t.Run(head, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(commitRoute)
				w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					write("HTTP/1.1 " + head + "\r\nSeal: s\r\n\r\n")(c)
					return false
				}))
				resp, _, err := w.request(t, "POST", "/x/", "x")
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, head)
			})
		})
	}
}

// endsWithConnection reports whether only the end of the connection shows that of the answer.
func (a *cutAnswer) endsWithConnection() bool {
	field, _ := a.frame("")
	return field == ""
}

// cutRun is an endpoint that cuts its answers.
type cutRun struct {
	b           *backend
	text        string
	at, packets int
	reset       bool
	header      int  // length of the header, if only the end of the connection shows that of the answer
	events      bool // the answer consists of events
}

func newCutRun(t *testing.T, w *testGateway, text string) *cutRun {
	t.Helper()
	r := &cutRun{text: text}
	r.b = w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		if r.packets > 1 {
			_, _ = io.WriteString(c, text[:r.at/r.packets])
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(c, text[r.at/r.packets*(r.packets-1):r.at])
		if r.reset {
			time.Sleep(time.Millisecond)
			c.(*simnet.Conn).Reset()
		}
		return false
	})
	return r
}

// looksWhole reports whether nothing tells the answer from a whole one.
func (r *cutRun) looksWhole() bool {
	if r.header == 0 || r.at <= r.header {
		return false
	}
	return !r.events || strings.HasSuffix(r.text[:r.at], "\n\n")
}

// everywhere sends a request for each byte at which the answer is cut.
func (r *cutRun) everywhere(t *testing.T, w *testGateway, end string) {
	t.Helper()
	for r.at = range len(r.text) {
		if r.looksWhole() {
			continue
		}
		resp, body, err := w.request(t, "POST", "/x/", fmt.Sprint(r.at), "Tokens", "100")
		if err == nil && resp.StatusCode < 300 {
			t.Fatalf("%s at byte %d of %q: %d %q", end, r.at, r.text, resp.StatusCode, body)
		}
	}
}
