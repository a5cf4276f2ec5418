package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
)

const (
	poolEngines   = 12
	poolSlots     = 16
	poolStream    = 500 * time.Millisecond
	poolPerSecond = 64 // what arrives in the pause fits in the slots of all engines
	poolPauseAt   = time.Second
	poolPause     = 1200 * time.Millisecond
	poolLength    = 4 * time.Second
)

// slottedEngine runs as many streams as it has slots, and rejects others.
type slottedEngine struct {
	resume  time.Time // end of its pause
	pauseAt time.Time

	mu       sync.Mutex
	running  int
	rejected int
}

// stall returns once the engine isn't pausing.
func (e *slottedEngine) stall() {
	if now := time.Now(); !now.Before(e.pauseAt) && now.Before(e.resume) {
		time.Sleep(e.resume.Sub(now))
	}
}

// admit takes a slot if one is free.
func (e *slottedEngine) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= poolSlots {
		e.rejected++
		return false
	}
	e.running++
	return true
}

func (e *slottedEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *slottedEngine) handle(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	e.stall()
	if !e.admit() {
		return respond(c, 503, "", "Not-Run: 1")
	}
	defer e.leave()
	first := 1
	if r.Header.Get("Last") != "" {
		first = 2
	}
	events(c, first, 1, false)
	time.Sleep(poolStream)
	e.stall()
	_, err := io.WriteString(c, "13\r\nid: 2\ndata: piece\n\n\r\n0\r\n\r\n")
	return err == nil
}

// Guards against requests that are all sent to the only engine which doesn't pause, and are rejected there until the
// retry budget is spent: callers are refused though the other engines have room again.
func TestPauseOfMostEnginesRefusesNoOne(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		start := time.Now()
		var engines []*slottedEngine
		for i := range poolEngines {
			e := &slottedEngine{}
			if i < poolEngines-1 {
				e.pauseAt, e.resume = start.Add(poolPauseAt), start.Add(poolPauseAt+poolPause)
			}
			engines = append(engines, e)
			w.addEndpoint("e"+strconv.Itoa(i), catalog.Whole, w.serve(t, e.handle))
		}
		requests, whole := w.sendSteadily(t, poolPerSecond, poolLength)
		rejected := 0
		for _, e := range engines {
			rejected += e.rejected
		}
		refused := w.gateway.metrics.Snapshot().Codes[code.RetryBudgetSpent.String()]
		t.Logf("%d requests, %d answers whole, %d rejected attempts, %d refused as the retry budget is spent", requests, whole, rejected, refused)
		assert.Check(t, rejected*20 < requests, "a twentieth of the attempts at most is rejected")
		assert.Check(t, int(refused)*100 < requests, "a hundredth of the requests at most is refused")
	})
}

// sendSteadily has callers request streams at a constant rate. It returns the number of requests and of whole answers.
func (w *testGateway) sendSteadily(t *testing.T, perSecond int, length time.Duration) (requests, whole int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	interval := time.Second / time.Duration(perSecond)
	for at := time.Duration(0); at < length; at += interval {
		requests++
		id := strconv.Itoa(requests)
		wg.Go(func() {
			resp, body, err := w.request(t, "POST", "/x/", "", "Id", id, "Tokens", "100")
			mu.Lock()
			defer mu.Unlock()
			if err == nil && resp.StatusCode == 200 && eventIDs(body) == "1 2" {
				whole++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return requests, whole
}
