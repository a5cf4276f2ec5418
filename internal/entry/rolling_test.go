package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/loopback"
	"fescuestand/internal/standin/service"
)

// load is a constant number of callers that send a mix of requests to the advertised addresses.
type load struct {
	cl        *cluster
	stop      chan struct{}
	wg        sync.WaitGroup
	completed atomic.Int64
	refused   atomic.Int64
	mu        sync.Mutex
	failures  []string
	slowest   time.Duration
}

func (cl *cluster) startLoad(callers int) *load {
	l := &load{cl: cl, stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() { l.caller(i) })
	}
	return l
}

// caller sends requests in a loop, each to a random address of its last address answer, which it
// refreshes after addressTTL.
func (l *load) caller(id int) {
	addrs, askedAt := []string{*l.cl.newestAddr.Load()}, time.Time{}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if time.Since(askedAt) > addressTTL {
			if newAddrs := l.addresses(addrs); len(newAddrs) > 0 {
				addrs, askedAt = newAddrs, time.Now()
			}
		}
		addr := addrs[rand.IntN(len(addrs))]
		startedAt := time.Now()
		if l.send(addr, fmt.Sprintf("%d-%d", id, n), n%4) {
			// The address is unreachable: drop it and request others.
			addrs = slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == addr })
			addrs, askedAt = append(addrs, *l.cl.newestAddr.Load()), time.Time{}
		}
		l.mu.Lock()
		l.slowest = max(l.slowest, time.Since(startedAt))
		l.mu.Unlock()
	}
}

func (l *load) addresses(addrs []string) []string {
	for _, k := range addrs {
		resp, err := l.cl.client.Get("http://" + k + "/v1/addresses")
		if err != nil {
			continue
		}
		var a struct{ Addresses []struct{ Address string } }
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		var out []string
		for _, address := range a.Addresses {
			out = append(out, address.Address)
		}
		return out
	}
	return nil
}

// send sends one request and reports whether the address was unreachable.
func (l *load) send(addr, id string, kind int) (unreachable bool) {
	var a *answer
	var err error
	want := ""
	switch kind {
	case 0:
		a, err = l.cl.topup(addr, "key-"+id, `{}`, false, time.Now())
	case 1:
		a, err = l.cl.post(l.cl.ctx, addr, "/v1/services/lantern/balance", `{}`, nil)
	default:
		a, err = l.cl.generate(addr, id, 30)
		want = wantText(id, 30)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.failures = append(l.failures, fmt.Sprintf("%s %s: %v", addr, id, err))
	case a.refusal.Code != 0 && a.refusal.Run == "not-run":
		l.refused.Add(1)
	case kind > 1 && (!a.complete || a.text != want), a.refusal.Code != 0:
		l.failures = append(l.failures, fmt.Sprintf("%s %s: %+v", addr, id, a))
	default:
		l.completed.Add(1)
	}
	return false
}

// rate returns the number of complete answers per second while f runs.
func (l *load) rate(f func()) float64 {
	before, startedAt := l.completed.Load(), time.Now()
	f()
	return float64(l.completed.Load()-before) / time.Since(startedAt).Seconds()
}

// replaceVM starts a new VM for entry i and then stops the old one.
func (cl *cluster) replaceVM(i, generation int) {
	vm := httpapi.VM{
		Name: fmt.Sprintf("vm%d-%d", i, generation), Zone: "z",
		Caller: loopback.FreeAddress(), Peer: loopback.FreeAddress(), Status: loopback.FreeAddress(),
	}
	old := cl.entries[i]
	cl.vms[i].Leaving = true
	cl.putVMs(append(slices.Clone(cl.vms), vm))
	replacement := cl.startEntry(vm)
	cl.awaitReady(replacement)
	cl.newestAddr.Store(&replacement.addr)
	old.terminate()
	assert.NilError(cl.t, <-old.done)
	cl.vms[i] = vm
	cl.putVMs(cl.vms)
	cl.entries[i] = replacement
}

func (cl *cluster) putVMs(vms []httpapi.VM) {
	b, err := json.Marshal(httpapi.VMs{VMs: vms})
	assert.NilError(cl.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+cl.vmListAddr+httpapi.PathVMs, bytes.NewReader(b))
	assert.NilError(cl.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(cl.t, err)
	assert.NilError(cl.t, resp.Body.Close())
	assert.Assert(cl.t, resp.StatusCode < 300, resp.Status)
}

// All entry VMs are replaced one by one while callers send completions, lookups and commits. No
// caller may receive an interrupted stream or an answer with an unknown outcome.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("replaces three VMs, about 12 s")
	}
	cl := newCluster(t, clusterConfig{entries: 3, engines: []engine.Config{fastEngine(), fastEngine(), fastEngine()}, services: []service.Config{{}, {}}})
	l := cl.startLoad(8)
	steady := l.rate(func() { time.Sleep(3 * time.Second) })
	rolling := l.rate(func() {
		for i := range 3 {
			cl.replaceVM(i, 1)
		}
	})
	close(l.stop)
	l.wg.Wait()
	t.Logf("steady %.0f/s, during the replacement %.0f/s, refused %d, slowest %v", steady, rolling, l.refused.Load(), l.slowest)
	assert.Equal(t, len(l.failures), 0, "%v", l.failures)
	assert.Assert(t, rolling > 0.5*steady)
}
