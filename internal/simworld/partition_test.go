package simworld

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/simnet"
)

const (
	// cutTime is how long the VMs are cut off, and cutReactionTime the time after which their callers must be served.
	cutTime         = 9 * time.Second
	cutReactionTime = 3 * time.Second
	// probeTime is the time with load after the recovery.
	probeTime = 3 * time.Second
	// Callers enough that the others go on while some wait for answers that don't come.
	partitionCallers  = 40
	partitionInterval = 300 * time.Millisecond
	partitionTimeout  = 4 * time.Second // of a caller
	partitionEngines  = 4
	partitionServices = 3 // endpoints of the plain service
	// partitionEventInterval is the time between two events, and partitionCallTime that of a call.
	partitionEventInterval = 15 * time.Millisecond
	partitionCallTime      = 5 * time.Millisecond
	// minServedShare is the share of the requests that must succeed at VMs that aren't cut off.
	minServedShare = 0.95
	// maxIsolatedShare is the maximum share of the requests that callers send to VMs that are cut off.
	maxIsolatedShare = 0.2
	// dropShare is the share of the new streams that callers drop after droppedBytes and take up elsewhere, and
	// maxTakeUps how often they do.
	dropShare    = 0.05
	droppedBytes = 150
	maxTakeUps   = 2
	// addressTTL is how long callers keep the addresses of VMs; some keep them three times as long.
	addressTTL = 1500 * time.Millisecond
)

// reply is the outcome of a request as observed by its caller.
type reply struct {
	id, path, vm   string
	status         int  // 0 if there was no answer
	complete       bool // the answer is complete and belongs to the request
	problem        string
	sent, answered time.Time
	err            error

	root    string // the attempt that brought the stream's first event, empty for a new stream
	events  int    // of the stream, including those that earlier attempts brought
	version string // of the endpoints that made them
}

func (r *reply) isStream() bool { return r.path == pathResumable || r.path == pathOnce }

// canBeTakenUp reports whether the stream broke off after an event, so that another VM may continue it.
func (r *reply) canBeTakenUp() bool {
	return r.path == pathResumable && r.events > 0 && !r.complete && r.problem == ""
}

// partitionRun sends requests to VMs, some of which are cut off from all endpoints for a while.
type partitionRun struct {
	*world

	mu      sync.Mutex
	replies []reply
}

// partitionCaller is one caller with its connections and resolved addresses.
type partitionCaller struct {
	p         *partitionRun
	name      string
	rng       *rand.Rand
	http      *http.Client
	addresses []string
	expires   time.Time
}

func (p *partitionRun) newCaller(i int) *partitionCaller {
	return &partitionCaller{
		p: p, name: fmt.Sprint("c", i), rng: p.rand("caller", i),
		http: &http.Client{Transport: &http.Transport{
			DialContext: p.network.NewHost().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4,
		}},
	}
}

// run sends requests until ctx ends.
func (c *partitionCaller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	time.Sleep(time.Duration(c.rng.Int64N(int64(partitionInterval)))) // callers don't begin in step
	for n := 0; ctx.Err() == nil; n++ {
		c.send(n)
		time.Sleep(partitionInterval)
	}
}

// address returns a random address of the last resolution and resolves again after it has expired.
func (c *partitionCaller) address() string {
	if time.Now().After(c.expires) {
		if list := c.resolve(); len(list) > 0 {
			keep := addressTTL
			if c.rng.IntN(3) == 0 {
				keep *= 3
			}
			c.addresses, c.expires = list, time.Now().Add(keep)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *partitionCaller) resolve() (list []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	v := c.p.vms[c.rng.IntN(len(c.p.vms))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(portDirectory), nil)
	assert.NilError(c.p.t, err)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil
	}
	return list
}

func (c *partitionCaller) send(n int) {
	at := c.address()
	if at == "" {
		return
	}
	path := []string{pathResumable, pathOnce, pathPay, pathReads}[c.rng.IntN(4)]
	r := reply{id: fmt.Sprintf("%s-%d", c.name, n), path: path, vm: at, sent: time.Now()}
	c.exchange(&r)
	c.record(&r)
	for i := 0; i < maxTakeUps && r.canBeTakenUp(); i++ {
		if at = c.address(); at == "" {
			return
		}
		r = reply{
			id: fmt.Sprintf("%s-%d-%d", c.name, n, i), path: path, vm: at, sent: time.Now(),
			root: cmp.Or(r.root, r.id), events: r.events, version: r.version,
		}
		c.exchange(&r)
		c.record(&r)
	}
}

func (c *partitionCaller) record(r *reply) {
	r.answered = time.Now()
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.replies = append(c.p.replies, *r)
}

func (c *partitionCaller) exchange(r *reply) {
	ctx, cancel := context.WithTimeout(context.Background(), partitionTimeout)
	defer cancel()
	// A body that can't be read again keeps net/http from sending the request twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.vm+r.path, io.NopCloser(strings.NewReader("x")))
	assert.NilError(c.p.t, err)
	req.ContentLength, req.Host = 1, routeHost
	req.Header.Set(headerID, r.id)
	req.Header.Set(headerPatience, fmt.Sprint(partitionTimeout.Milliseconds()))
	if r.isStream() {
		req.Header.Set(headerTokens, "300")
		req.Header.Set(headerParts, fmt.Sprintf(`[{"ID":%d,"Tokens":200},{"ID":%d,"Tokens":100}]`, c.rng.IntN(4), c.rng.Uint32()))
	}
	if r.root != "" {
		req.Header.Set(headerResumes, r.root)
		req.Header.Set(headerLast, fmt.Sprint(r.events))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.status = resp.StatusCode
	body, err := c.readBody(r, resp.Body)
	r.err = err
	if r.status == http.StatusOK {
		r.read(body, err)
	}
}

var errDropped = errors.New("the caller dropped the stream")

func (c *partitionCaller) readBody(r *reply, body io.Reader) ([]byte, error) {
	if r.path == pathResumable && r.root == "" && c.rng.Float64() < dropShare {
		part := make([]byte, droppedBytes)
		n, err := io.ReadFull(body, part)
		return part[:n], cmp.Or(err, errDropped)
	}
	return io.ReadAll(body)
}

// read checks the body of an answer with status 200.
func (r *reply) read(body []byte, err error) {
	if !r.isStream() {
		r.complete = err == nil && string(body) == callBody(r.id)
		if err == nil && !r.complete {
			r.problem = fmt.Sprintf("body %q", body)
		}
		return
	}
	r.readEvents(body, errors.Is(err, errDropped))
	if r.problem == "" && err == nil && r.events != eventCount {
		r.problem = fmt.Sprintf("ended without an error after %d events", r.events)
	}
	r.complete = err == nil && r.problem == ""
}

// readEvents counts the events of a stream. They must be numbered consecutively, carry the id, and be of one version.
// Only a caller that dropped the stream may have a part of an event.
func (r *reply) readEvents(body []byte, dropped bool) {
	for text := range bytes.SplitAfterSeq(body, []byte("\n\n")) {
		if len(text) == 0 || dropped && !bytes.HasSuffix(text, []byte("\n\n")) {
			return
		}
		var number int
		var id, version string
		_, err := fmt.Sscanf(string(text), "id: %d\ndata: %s %s\n\n", &number, &id, &version)
		switch {
		case err != nil || number != r.events+1 || id != r.id:
			r.problem = fmt.Sprintf("%q after event %d", text, r.events)
			return
		case r.version != "" && r.version != version:
			r.problem = fmt.Sprintf("%q after %d events of %s", text, r.events, r.version)
			return
		}
		r.events, r.version = number, version
	}
}

// cutOff cuts VMs off from all endpoints, or ends that.
func (p *partitionRun) cutOff(vms []*machine, cut simnet.Cut) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	for _, v := range vms {
		for _, e := range p.endpoints {
			p.network.SetCut(v.host, e.host, cut)
		}
	}
}

// run cuts off the first VMs for a while and judges what callers saw.
func (p *partitionRun) run(cut simnet.Cut, isolated int) {
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range partitionCallers {
		callers.Go(func() { p.newCaller(i).run(ctx) })
	}
	time.Sleep(warmUpTime)
	began := time.Now()
	p.cutOff(p.vms[:isolated], cut)
	time.Sleep(cutTime)
	p.cutOff(p.vms[:isolated], simnet.NoCut)
	ended := time.Now()
	time.Sleep(cutReactionTime)
	recovered := time.Now()
	clock.Sleep(ctx, probeTime)
	stop()
	callers.Wait()
	p.end()
	p.checkServedInPartition(isolated, began.Add(cutReactionTime), ended)
	p.checkServed("after the partition", p.vms, recovered, recovered.Add(probeTime))
	p.checkReplies()
	quarantined := p.logged.mistakes()
	assert.Check(p.t, len(quarantined) == 0, "seed %d: quarantined by mistake: %s", p.seed, quarantined)
}

// servedShare returns how many of the requests to the given VMs that were sent in a time span were served.
func (p *partitionRun) servedShare(vms []*machine, from, to time.Time) (served, sent int) {
	for i := range p.replies {
		r := &p.replies[i]
		toOneOf := slices.ContainsFunc(vms, func(v *machine) bool { return v.address(portCallers) == r.vm })
		if !toOneOf || !r.sent.After(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.complete {
			served++
		}
	}
	return served, sent
}

// checkServedInPartition checks what callers got in a time span at the first VMs, which were cut off, and at the others.
func (p *partitionRun) checkServedInPartition(isolated int, from, to time.Time) {
	served, sent := p.servedShare(p.vms[:isolated], from, to)
	servedElsewhere, sentElsewhere := p.servedShare(p.vms[isolated:], from, to)
	failed, all := sent+sentElsewhere-served-servedElsewhere, sent+sentElsewhere
	p.t.Logf("seed %d: served %d of %d at the isolated VMs, %d of %d at the others", p.seed, served, sent, servedElsewhere, sentElsewhere)
	isWorse := 3*served*sentElsewhere < 2*sent*servedElsewhere && failed > 10+all/50
	assert.Check(p.t, !isWorse, "seed %d: %d of %d requests failed during the partition", p.seed, failed, all)
	isAvoided := float64(sent) <= maxIsolatedShare*float64(all)
	assert.Check(p.t, isAvoided, "seed %d: %d of %d requests were sent to VMs that were cut off", p.seed, sent, all)
	p.checkServed("at the other VMs", p.vms[isolated:], from, to)
}

// checkServed checks that enough of the requests to the given VMs were served.
func (p *partitionRun) checkServed(when string, vms []*machine, from, to time.Time) {
	served, sent := p.servedShare(vms, from, to)
	isEnough := sent > 0 && float64(served) >= minServedShare*float64(sent)
	assert.Check(p.t, isEnough, "seed %d: %d of %d requests were served %s", p.seed, served, sent, when)
}

// checkReplies checks that nothing was invented, nothing ran twice that may run once, and nothing ran that was refused.
func (p *partitionRun) checkReplies() {
	for i := range p.replies {
		r := &p.replies[i]
		runs := p.ledger.runsOf(r.id)
		assert.Check(p.t, r.problem == "", "seed %d: %s %s: %s", p.seed, r.id, r.path, r.problem)
		once := r.path == pathPay || r.path == pathOnce
		assert.Check(p.t, !once || runs <= 1, "seed %d: %s %s ran %d times", p.seed, r.id, r.path, runs)
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			assert.Check(p.t, !once || runs == 0, "seed %d: %s %s: answered %d, but it ran", p.seed, r.id, r.path, r.status)
		case 0:
			early := r.answered.Sub(r.sent) < partitionTimeout && !errors.Is(r.err, syscall.ECONNREFUSED)
			assert.Check(p.t, !early, "seed %d: %s %s got no answer: %v", p.seed, r.id, r.path, r.err)
		case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			assert.Check(p.t, false, "seed %d: %s %s: status %d", p.seed, r.id, r.path, r.status)
		}
	}
}

// partitionEndpoints returns the endpoints, whose engines are of two versions.
func partitionEndpoints() []endpointSpec {
	var all []endpointSpec
	for i := range partitionEngines {
		all = append(all, endpointSpec{
			service: "m", version: fmt.Sprint("v", 1+i%2), stage: catalog.Decode, interval: partitionEventInterval,
		})
	}
	for range partitionServices {
		all = append(all, endpointSpec{service: "s", callTime: partitionCallTime})
	}
	return all
}

// Guards against VMs that are partitioned from all endpoints and still take callers' requests, which other VMs could
// serve.
func TestWorldOfVMsThatReachNoEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		cut simnet.Cut
		vms int
	}{
		"hang1": {simnet.Hang, 1}, "hang3": {simnet.Hang, 3}, "reset2": {simnet.Reset, 2}, "refused2": {simnet.RefuseNew, 2},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*worldSeeds) {
				synctest.Test(t, func(t *testing.T) {
					p := &partitionRun{world: newWorld(t, *worldFirst+i, partitionEndpoints())}
					p.run(tc.cut, tc.vms)
				})
			}
		})
	}
}
