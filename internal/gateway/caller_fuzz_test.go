package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const (
	// fuzzWork is how long the endpoint works, and fuzzPause how long a caller waits.
	fuzzWork  = 3 * time.Millisecond
	fuzzPause = 2 * time.Millisecond
	// maxFuzzSteps bounds the steps of a caller.
	maxFuzzSteps = 8
	// fuzzReadTimeout bounds the wait for an answer.
	fuzzReadTimeout = 2 * time.Second
)

// fuzzEndpoint keeps the bodies of the requests that it has run.
type fuzzEndpoint struct {
	mu   sync.Mutex
	runs map[string][]string // by id
}

func (e *fuzzEndpoint) serve(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Id")
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], string(body))
	e.mu.Unlock()
	time.Sleep(fuzzWork)
	return respond(c, 200, "answer to "+id, "Seal: s")
}

func (e *fuzzEndpoint) bodies(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// fuzzRequest is a request that a caller has sent, or a part of one.
type fuzzRequest struct {
	id    string
	whole bool // it may run
}

const fuzzBody = "abc"

// fuzzCaller is a caller that takes one step after the other.
type fuzzCaller struct {
	*rawCaller
	nextID   func() string
	requests []fuzzRequest
	answers  []finalAnswer
	ended    bool // nothing can be sent any more, or what follows would belong to a body that isn't whole
	broken   bool // the framing was broken: nothing that follows may run
	closed   bool // the caller has closed its connection
}

// fuzzSteps are what a caller does.
var fuzzSteps = []func(*fuzzCaller){
	func(c *fuzzCaller) { c.sendParts(true, "Content-Length: 3\r\n\r\nabc") },
	func(c *fuzzCaller) { c.sendParts(true, "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") },
	func(c *fuzzCaller) {
		c.sendParts(true, "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\nT: v\r\n\r\n")
	},
	func(c *fuzzCaller) { c.sendParts(true, "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", "abc") },
	func(c *fuzzCaller) { c.sendParts(true, "Content-Length: 3\r\n\r\na", "b", "c") },
	func(c *fuzzCaller) {
		c.sendParts(true, "Transfer-Enc", "oding: chunked\r\n\r\n3\r", "\nabc\r\n0\r\n", "\r\n")
	},
	func(c *fuzzCaller) { c.sendParts(false, "Content-Length: 3\r\n\r\nab"); c.ended = true },
	func(c *fuzzCaller) {
		c.sendParts(false, "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		c.ended = true
	},
	func(c *fuzzCaller) { c.sendParts(false, "Content-Len"); c.ended = true },
	func(c *fuzzCaller) {
		c.sendParts(false, "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		c.ended = true
	},
	func(c *fuzzCaller) {
		c.sendParts(false, "Transfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n")
		c.broken = true
	},
	func(c *fuzzCaller) {
		c.sendParts(false, "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n")
		c.broken = true
	},
	func(c *fuzzCaller) {
		c.sendParts(false, "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
		c.broken = true
	},
	func(c *fuzzCaller) { c.sendParts(false, "Content-Length: -3\r\n\r\nabc"); c.broken = true },
	func(c *fuzzCaller) {
		c.sendParts(false, "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n")
		c.broken = true
	},
	func(c *fuzzCaller) { time.Sleep(fuzzPause) },
	func(c *fuzzCaller) { c.readAnswer() },
	func(c *fuzzCaller) { _ = c.CloseWrite(); c.ended = true },
	func(c *fuzzCaller) { _ = c.reset(); c.ended, c.closed = true, true },
	func(c *fuzzCaller) { _ = c.Close(); c.ended, c.closed = true, true },
}

// sendParts sends a request in parts. whole is set if the framing is sound and the body whole.
func (c *fuzzCaller) sendParts(whole bool, parts ...string) {
	if c.ended {
		return
	}
	id := c.nextID()
	c.requests = append(c.requests, fuzzRequest{id, whole && !c.broken})
	parts[0] = "POST /x/ HTTP/1.1\r\nHost: h.example\r\nPatience: 3000\r\nId: " + id + "\r\n" + parts[0]
	for i, part := range parts {
		if i > 0 {
			time.Sleep(fuzzPause)
		}
		if _, err := io.WriteString(c, part); err != nil {
			c.ended = true // the server has closed the connection
			return
		}
	}
}

// readAnswer reads the next answer, if a request waits for one. It returns false if none came.
func (c *fuzzCaller) readAnswer() bool {
	if c.closed || len(c.answers) >= len(c.requests) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(fuzzReadTimeout))
	a := c.read()
	if a.broken != nil && a.status == 0 {
		return false
	}
	c.answers = append(c.answers, a)
	return true
}

// check compares the answers with what the endpoint has run.
func (c *fuzzCaller) check(t *testing.T, e *fuzzEndpoint) {
	t.Helper()
	for i, r := range c.requests {
		bodies := e.bodies(r.id)
		assert.Assert(t, len(bodies) <= 1, "request %d ran %d times", i, len(bodies))
		for _, b := range bodies {
			assert.Assert(t, r.whole, "request %d ran, which wasn't whole", i)
			assert.Equal(t, b, fuzzBody)
		}
		if i >= len(c.answers) {
			continue
		}
		switch a := c.answers[i]; {
		case a.broken != nil:
		case a.status < 300:
			assert.Assert(t, len(bodies) == 1 && a.seal == "s" && a.body == "answer to "+r.id, "request %d: %+v", i, a)
		case promisesNotRun(a.status) || a.status/100 == 4 || a.status == 501:
			assert.Equal(t, len(bodies), 0, "request %d: %+v", i, a)
		}
	}
}

// FuzzCaller checks that a caller gets only whole answers to its own requests, and truthful refusals, whatever it
// does to its connection, and that nothing runs that it hasn't sent whole.
func FuzzCaller(f *testing.F) {
	for step := range fuzzSteps {
		f.Add([]byte{byte(step)})
		f.Add([]byte{byte(step), 17})         // then the half-close
		f.Add([]byte{0, byte(step), 1, 17})   // between whole requests
		f.Add([]byte{3, 16, byte(step), 0})   // after an answer
		f.Add([]byte{byte(step), 15, 18})     // then a reset
		f.Add([]byte{2, 17, 15, byte(step)})  // after the half-close
		f.Add([]byte{10, 0, byte(step), 0})   // after broken framing
		f.Add([]byte{4, 15, byte(step), 19})  // then the full close
		f.Add([]byte{0, 0, 0, byte(step), 0}) // after pipelined requests
	}
	w := newTestGateway(f)
	w.setRoute(commitRoute)
	e := &fuzzEndpoint{runs: map[string][]string{}}
	w.addEndpoint("a", catalog.Whole, serve(f, e.serve))
	_, addr := startFront(f, w.gateway)
	var last atomic.Int64
	f.Fuzz(func(t *testing.T, steps []byte) {
		t.Parallel()
		c := &fuzzCaller{rawCaller: dialFront(t, addr), nextID: func() string { return fmt.Sprint("f", last.Add(1)) }}
		for _, step := range steps[:min(len(steps), maxFuzzSteps)] {
			fuzzSteps[int(step)%len(fuzzSteps)](c)
		}
		if !c.closed {
			_ = c.CloseWrite()
		}
		for c.readAnswer() {
		}
		time.Sleep(2 * fuzzWork)
		c.check(t, e)
		assert.Assert(t, !strings.Contains(fmt.Sprint(c.answers), "i/o timeout"), "%+v", c.answers)
	})
}
