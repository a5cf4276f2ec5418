package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/bytebudget"
)

const (
	uploadMemory = 64 << 20 // of the VM
	uploadBytes  = 1_000_000
	// uploadPace is in bytes a second.
	uploadPace    = 500_000
	uploadTimeout = 10 * time.Second
)

var uploadRoute = catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 1, Timeout: uploadTimeout}

// pacedEndpoint reads bodies of 64 KB and more at a pace, zero for not at all, and answers then.
type pacedEndpoint struct {
	pace    int
	pause   time.Duration // after the first bytes of the first body
	reading atomic.Int64  // bodies
	most    atomic.Int64  // of reading
}

func (w *testGateway) addPacedEndpoint(t *testing.T, id string, e *pacedEndpoint) *backend {
	t.Helper()
	ln, err := w.network.NewHost().Listen(0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &backend{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(b, c)
		}
	}()
	w.addEndpoint(id, catalog.Whole, b)
	return b
}

func (e *pacedEndpoint) serve(b *backend, c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.arrivals.Add(1)
		if r.ContentLength >= 64<<10 && !e.read(r.Body) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.runs.Add(1)
		if !respond(c, 200, "ok", "Seal: s") {
			return
		}
	}
}

func (e *pacedEndpoint) read(body io.Reader) bool {
	e.most.Store(max(e.most.Load(), e.reading.Add(1)))
	defer e.reading.Add(-1)
	if e.pace == 0 {
		time.Sleep(time.Minute)
		return false
	}
	part := make([]byte, 16<<10)
	for {
		n, err := body.Read(part)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(e.pace))
		if e.pause > 0 {
			time.Sleep(e.pause)
			e.pause = 0
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// setUploadRoutes installs a configuration with the given routes /NAME/, whose bodies may have uploadBytes.
func (w *testGateway) setUploadRoutes(names ...string) {
	var routes []*catalog.Route
	for _, name := range names {
		r := uploadRoute
		r.Name, r.Host, r.PathPrefix, r.Shares = name, "h.example", "/"+name+"/", []catalog.Share{{Service: "s", Weight: 1}}
		routes = append(routes, &r)
	}
	c := catalog.NewConfig(1, routes, []*catalog.Service{{Name: "s", Engine: &catalog.Engine{CacheTokens: 100_000}}})
	c.Limits.BodyBytes = uploadBytes
	w.store.SetConfig(c)
}

// upload sends a body and returns the status of the answer, zero for none, and the Retry-After delay.
func (w *testGateway) upload(t *testing.T, path string, size int, chunked bool) (status int, retryAfter string) {
	ctx, cancel := context.WithTimeout(t.Context(), uploadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", w.URL+path, strings.NewReader(strings.Repeat("b", size)))
	if !assert.Check(t, err) {
		return 0, ""
	}
	if chunked {
		req.ContentLength = -1
	}
	req.GetBody = nil // it isn't sent again
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	req.Header.Set("Patience", strconv.FormatInt(uploadTimeout.Milliseconds(), 10))
	resp, err := w.caller.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// uploadOutcomes counts requests by status.
type uploadOutcomes struct {
	mu       sync.Mutex
	statuses map[string]int
}

func (o *uploadOutcomes) add(what string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.statuses == nil {
		o.statuses = map[string]int{}
	}
	o.statuses[fmt.Sprint(what, " ", status)]++
}

// Guards against endpoints that read slowly and make their VM hold more bodies than its memory allows, against requests
// that end without an answer for it, and against small ones that are refused beside them.
func TestSlowEndpointsDoNotFillTheMemoryWithBodies(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.gateway.o.Bodies.SetMemory(uploadMemory)
				w.setUploadRoutes("large", "small")
				var endpoints []*pacedEndpoint
				var backends []*backend
				for i := range 4 {
					e := &pacedEndpoint{pace: uploadPace}
					endpoints, backends = append(endpoints, e), append(backends, w.addPacedEndpoint(t, "e"+strconv.Itoa(i), e))
				}
				var o uploadOutcomes
				var callers sync.WaitGroup
				for range 200 { // 10 MB a second
					callers.Go(func() {
						status, retryAfter := w.upload(t, "/large/", uploadBytes, chunked)
						o.add("large", status)
						assert.Check(t, status != 503 || retryAfter != "")
					})
					callers.Go(func() {
						status, _ := w.upload(t, "/small/", 100, chunked)
						o.add("small", status)
					})
					time.Sleep(100 * time.Millisecond)
				}
				callers.Wait()
				t.Log(o.statuses)
				assert.Equal(t, o.statuses["large 200"]+o.statuses["large 503"], 200)
				assert.Equal(t, o.statuses["small 200"], 200)
				runs, most := 0, int64(0)
				for i, e := range endpoints {
					runs += int(backends[i].runs.Load())
					most += e.most.Load()
				}
				assert.Equal(t, runs, 200+o.statuses["large 200"], "a refused request has run")
				assert.Check(t, most*uploadBytes <= uploadMemory/4, "%d bodies were on their way", most)
				assert.Check(t, o.statuses["large 200"] >= 30, "the room is used")
				assert.Equal(t, w.gateway.o.Bodies.Snapshot().Used, int64(0))
			})
		})
	}
}

// Guards against a refusal that comes only once the body has been read, and against bodies that are read although there
// is no room for them.
func TestBodyWithoutRoomIsNotRead(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.gateway.o.Bodies.SetMemory(uploadMemory)
		w.setUploadRoutes("large")
		b := w.addPacedEndpoint(t, "e", &pacedEndpoint{pace: uploadPace})
		claim := w.gateway.o.Bodies.NewClaim("other", "")
		assert.Equal(t, claim.Take(w.gateway.o.Bodies.MaxRequest(), bytebudget.LargeBytes), bytebudget.Granted)
		for name, head := range map[string]string{
			"length":   "Content-Length: 1000000\r\n\r\n",
			"expected": "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n",
		} {
			c, err := w.network.NewHost().DialContext(t.Context(), "tcp4", w.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(c, "POST /large/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nPatience: 3000\r\n"+head)
			assert.NilError(t, err)
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 503, name)
			assert.Check(t, resp.Header.Get("Retry-After") != "")
			assert.Check(t, time.Since(began) < 50*time.Millisecond, "%s: %s", name, time.Since(began))
			assert.NilError(t, c.Close())
		}
		assert.Equal(t, b.arrivals.Load(), int32(0))
		claim.End(0)
		status, _ := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 200)
	})
}

// Guards against a caller that sends its whole body before it reads, and finds the connection reset instead of the refusal.
func TestRefusalReachesACallerThatSendsItsWholeBodyFirst(t *testing.T) {
	w := newTestGateway(t)
	w.setUploadRoutes("large")
	claim := w.gateway.o.Bodies.NewClaim("other", "")
	assert.Equal(t, claim.Take(w.gateway.o.Bodies.MaxRequest(), bytebudget.LargeBytes), bytebudget.Granted)
	_, addr := startFront(t, w.gateway)
	c := dialFront(t, addr)
	c.send(t, "POST /large/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("b", uploadBytes))
	got := c.read()
	assert.NilError(t, got.broken)
	assert.Equal(t, got.status, 503)
}

// Guards against one route whose bodies take all the room for large ones, so that those of another route are refused.
func TestRouteLeavesRoomForAnother(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.gateway.o.Bodies.SetMemory(uploadMemory)
		w.setUploadRoutes("one", "two")
		for i := range 4 {
			w.addPacedEndpoint(t, "e"+strconv.Itoa(i), &pacedEndpoint{pace: uploadPace})
		}
		var o uploadOutcomes
		var callers sync.WaitGroup
		for i := range 200 {
			callers.Go(func() {
				status, _ := w.upload(t, "/one/", uploadBytes, false)
				o.add("one", status)
			})
			if i%25 == 20 {
				callers.Go(func() {
					status, _ := w.upload(t, "/two/", uploadBytes, false)
					o.add("two", status)
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		callers.Wait()
		t.Log(o.statuses)
		assert.Equal(t, o.statuses["two 200"], 8)
		assert.Check(t, o.statuses["one 200"] >= 30)
		assert.Check(t, w.gateway.o.Bodies.Snapshot().ShareRefused > 0)
	})
}

// Guards against a slow endpoint to which so many bodies are on their way that those for other endpoints are refused, and
// against a refusal without a time to come back where all endpoints are slow.
func TestSlowEndpointLeavesRoomForOthers(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		budget := w.gateway.o.Bodies
		budget.SetMemory(uploadMemory)
		w.setUploadRoutes("large")
		slow := w.addPacedEndpoint(t, "slow", &pacedEndpoint{pace: uploadPace})
		fast := w.addPacedEndpoint(t, "fast", &pacedEndpoint{pace: 100 * uploadPace})
		toSlow, ok := budget.BeginSend("slow", budget.MaxRequest()/3, false)
		assert.Assert(t, ok)
		for range 20 {
			status, _ := w.upload(t, "/large/", uploadBytes, false)
			assert.Equal(t, status, 200)
		}
		assert.Equal(t, slow.arrivals.Load(), int32(0))
		assert.Equal(t, fast.runs.Load(), int32(20))
		assert.Check(t, budget.Snapshot().ShareDenied > 0)

		toFast, ok := budget.BeginSend("fast", budget.MaxRequest()/3, false)
		assert.Assert(t, ok)
		status, retryAfter := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 503)
		assert.Check(t, retryAfter != "")
		assert.Equal(t, w.gateway.Metrics().Snapshot().Codes["body-budget-spent"], int64(1))
		status, _ = w.upload(t, "/large/", 100, false)
		assert.Equal(t, status, 200, "a small one is still sent")
		toSlow.End()
		toFast.End()
		status, _ = w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 200)
	})
}

// Guards against an endpoint that stops reading and keeps a body in memory for as long as its caller waits.
func TestEndpointThatDoesNotReadIsGivenUp(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setUploadRoutes("large")
		b := w.addPacedEndpoint(t, "e", &pacedEndpoint{})
		began := time.Now()
		status, _ := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 502)
		assert.Check(t, time.Since(began) < 6*time.Second, "%s", time.Since(began))
		assert.Equal(t, b.arrivals.Load(), int32(1))
		s := w.gateway.Metrics().Snapshot()
		assert.Equal(t, s.Exceeded["upload"], int64(1))
		assert.Equal(t, s.Bodies.Used, int64(0))
	})
}

// Guards against a caller that takes the room for a large body and sends it byte by byte.
func TestLargeBodyMustMakeProgress(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setUploadRoutes("large")
		c, err := w.network.NewHost().DialContext(t.Context(), "tcp4", w.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		began := time.Now()
		_, err = io.WriteString(c, "POST /large/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nPatience: 60000\r\nContent-Length: 1000000\r\n\r\n")
		assert.NilError(t, err)
		go func() {
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
		took := time.Since(began)
		assert.Check(t, took >= maxBodyPause && took < maxBodyPause+time.Second, "%s", took)
		assert.Equal(t, w.gateway.o.Bodies.Snapshot().Used, int64(0))
	})
}

// Guards against a body that is sent on although its endpoint can't read it in time, so that it takes memory until its
// caller has left without an answer.
func TestUploadThatCannotEndInTimeIsGivenUp(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setUploadRoutes("large")
		w.addPacedEndpoint(t, "e", &pacedEndpoint{pace: uploadBytes / 40})
		began := time.Now()
		status, _ := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 502)
		assert.Check(t, time.Since(began) < uploadTimeout-time.Second, "%s", time.Since(began))
		assert.Equal(t, w.gateway.o.Bodies.Snapshot().Used, int64(0))
	})
}

// Guards against a caller that leaves without an answer as its endpoint has read the body hardly in time.
func TestLateUploadIsAnsweredBeforeItsCallerLeaves(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setUploadRoutes("large")
		w.addPacedEndpoint(t, "e", &pacedEndpoint{pace: uploadBytes / 11})
		status, _ := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 504)
		assert.Equal(t, w.gateway.o.Bodies.Snapshot().Used, int64(0))
	})
}

// Guards against an endpoint that is taken for a slow one as it pauses while it reads.
func TestPauseDuringAnUploadIsNoSlowness(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setUploadRoutes("large")
		w.addPacedEndpoint(t, "e", &pacedEndpoint{pace: 10 * uploadPace, pause: 4 * time.Second})
		status, _ := w.upload(t, "/large/", uploadBytes, false)
		assert.Equal(t, status, 200)
	})
}

// Guards against a log line for each refused request, and against an end of the refusals that isn't logged.
func TestRefusalsForBytesAreLoggedAtTheirBeginAndEnd(t *testing.T) {
	entries := memory.New()
	simulated(t, func(t *testing.T, w *testGateway) {
		w.gateway.bytesRefused.log = &log.Logger{Handler: entries, Level: log.InfoLevel}
		w.setUploadRoutes("large")
		for range 2 {
			claim := w.gateway.o.Bodies.NewClaim("other", "")
			assert.Equal(t, claim.Take(w.gateway.o.Bodies.MaxRequest(), bytebudget.LargeBytes), bytebudget.Granted)
			for range 30 {
				status, _ := w.upload(t, "/large/", uploadBytes, false)
				assert.Equal(t, status, 503)
				time.Sleep(time.Second)
			}
			claim.End(0)
			time.Sleep(2 * bytesRefusedPause)
		}
	})
	lines := map[string]int{}
	for _, e := range entries.Entries {
		lines[e.Message]++
		if e.Message == "byte budget has room again" {
			assert.Equal(t, e.Fields.Get("refused"), 30)
		}
	}
	assert.Equal(t, lines["byte budget refuses requests"], 2)
	assert.Equal(t, lines["byte budget has room again"], 2)
}

// Guards against a body of the allowed length that takes twice its memory for the byte which shows that it has ended.
func TestBodyOfTheAllowedLengthIsHeldOnce(t *testing.T) {
	for _, limit := range []int64{1 << 10, 64 << 10, 1 << 20} {
		for _, size := range []int64{limit - 1, limit} {
			budget := bytebudget.New()
			claim := &bodyClaim{Claim: budget.NewClaim("r", "")}
			body, err := readUnknown(strings.NewReader(strings.Repeat("b", int(size))), limit, claim)
			assert.NilError(t, err)
			assert.Equal(t, int64(len(body)), size)
			assert.Check(t, claim.Bytes() <= max(limit+1, minBodyBytes), "%d bytes for %d", claim.Bytes(), size)
			assert.Check(t, budget.Snapshot().Peak <= max(limit+1, minBodyBytes)*3/2, "%d bytes at a time for %d", budget.Snapshot().Peak, size)
		}
	}
}
