package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/simnet"
)

const (
	plainVMs       = 8
	plainEndpoints = 3
	plainSlots     = 6
	plainQueue     = 12
	plainTime      = 30 * time.Millisecond
	plainTarget    = 150 * time.Millisecond
	plainLength    = 6 * time.Second
	plainBeat      = 100 * time.Millisecond
)

// queuedEndpoint runs as many calls as it has slots, queues some and rejects the others.
type queuedEndpoint struct {
	slots chan struct{}

	mu       sync.Mutex
	held     int
	rejected int
}

func (e *queuedEndpoint) handle(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	e.mu.Lock()
	if e.held >= plainSlots+plainQueue {
		e.rejected++
		e.mu.Unlock()
		return respond(c, 503, "", "Not-Run: 1", "Held: "+strconv.Itoa(plainSlots+plainQueue))
	}
	e.held++
	held := e.held
	e.mu.Unlock()
	e.slots <- struct{}{}
	time.Sleep(plainTime)
	<-e.slots
	e.mu.Lock()
	e.held--
	e.mu.Unlock()
	return respond(c, 200, "ok", "Seal: s", "Held: "+strconv.Itoa(held))
}

// plainResult counts calls.
type plainResult struct{ calls, served, onTime, rejected int }

// callInBursts has callers of several VMs send more calls than the endpoints can do, in every other second.
func callInBursts(t *testing.T, kind catalog.Kind) (out plainResult) {
	synctest.Test(t, func(t *testing.T) {
		n := simnet.New(simnet.Options{Seed: 1, Latency: testLatency, Jitter: testJitter})
		t.Cleanup(func() { time.Sleep(settleTime); n.Close() })
		var vms []*testGateway
		var endpoints []*queuedEndpoint
		for i := range plainVMs {
			w := newSimulatedGatewayOn(t, n, uint64(i+1))
			w.network = n
			w.gateway.held.seed = uint64(i + 1)
			w.budget.SetMembers(plainVMs)
			w.gossip.Held = w.gateway.HeldRequests()
			w.setRoute(catalog.Route{Kind: kind, MaxAttempts: 2, LatencyTarget: plainTarget, Timeout: 1200 * time.Millisecond, Priority: 2})
			vms = append(vms, w)
		}
		for i := range plainEndpoints {
			e := &queuedEndpoint{slots: make(chan struct{}, plainSlots)}
			endpoints = append(endpoints, e)
			b := vms[0].serve(t, e.handle)
			for _, w := range vms {
				w.store.SetEndpoint(&catalog.Endpoint{ID: "p" + strconv.Itoa(i), Service: "s", Address: b.addr, Zone: "z", Stage: catalog.Whole, Slots: plainSlots, Born: 1, Sequence: 1})
				w.gateway.o.Planner.SetView(w.store.View())
			}
		}
		var mu sync.Mutex
		var callers sync.WaitGroup
		begin := time.Now()
		for time.Since(begin) < plainLength {
			perSecond := 350
			if int(time.Since(begin)/time.Second)%2 == 1 {
				perSecond = 900
			}
			w := vms[out.calls%plainVMs]
			out.calls++
			id := strconv.Itoa(out.calls)
			callers.Go(func() {
				at := time.Now()
				resp, _, err := w.request(t, "POST", "/x/", id, "Id", id, "Patience", "2500")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && resp.StatusCode == http.StatusOK {
					out.served++
					if time.Since(at) <= plainTarget {
						out.onTime++
					}
				}
			})
			before := time.Since(begin) / plainBeat
			time.Sleep(time.Second / time.Duration(perSecond))
			if time.Since(begin)/plainBeat > before {
				exchangeBeats(vms)
			}
		}
		callers.Wait()
		for _, e := range endpoints {
			out.rejected += e.rejected
		}
	})
	return out
}

// Guards against calls that are sent to endpoints whose queues are full, are rejected there until the retry budget is
// spent, and are refused although their callers would have waited.
func TestCallsAreHeldWhileAllQueuesAreFull(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			r := callInBursts(t, kind)
			t.Logf("%+v", r)
			assert.Check(t, r.served*100 >= r.calls*85, "fifteen in a hundred calls at most aren't served")
			assert.Check(t, r.onTime*100 >= r.calls*70, "seventy in a hundred calls are on time")
			assert.Check(t, r.rejected*20 <= r.calls, "a twentieth of the arrivals at most is rejected")
		})
	}
}
