package scenarios

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

const (
	// partEndpoints is the number of engines, and that of endpoints of the plain service.
	partEndpoints = 16
	// partRestartTime is the time until an endpoint that has crashed is replaced.
	partRestartTime = 2 * time.Second
	partCallers     = 24
	// fewEndpoints is the number of engines of a pool that one wave of crashes takes down whole.
	fewEndpoints   = 4
	fewRestartTime = 4 * time.Second
	// partFaultTime is how long requests that crash endpoints come.
	partFaultTime = 16 * time.Second
	// maxRestarts is how often all VMs are killed together.
	maxRestarts = 2
	// minSoundRequests is the number of sound requests before and after the crashes that a verdict needs.
	minSoundRequests = 20
	// maxPartCrashes is the number of endpoints that requests with one part may crash, and maxLatePartSends
	// how many of them may reach an endpoint later than quarantineBound after the last of these crashes.
	maxPartCrashes   = 5
	maxLatePartSends = 3
	// minBegunShare is the minimum ratio of the shares of sound requests that begin, from twice
	// quarantineBound after the crashes on, and before them.
	minBegunShare = 0.5
	// partSubjects is the number of second parts, which requests of all callers share.
	partSubjects = 40
	// partCrashInterval is the time between two endpoints that end for another reason.
	partCrashInterval = 1200 * time.Millisecond
)

// The parts that crash endpoints.
const (
	crashingPart       = "bad1"
	secondCrashingPart = "bad2"
)

// partCase is a way in which requests with a prompt part crash endpoints.
type partCase struct {
	path     string
	point    standin.CrashPoint
	unframed bool          // answers have neither a length nor chunks
	share    float64       // of the requests that have the part
	first    bool          // it is the first part of the prompt
	two      bool          // there are two such parts
	restarts time.Duration // the time between two kills of a VM, zero for none
	all      bool          // all VMs are killed together
	own      bool          // endpoints end for another reason, and no part crashes them
	known    bool          // requests with the part are answered until the faults begin
	few      bool          // there are fewEndpoints, which take fewRestartTime to come back
}

// partRequest is one attempt of a caller and its outcome.
type partRequest struct {
	id    string
	vm    *soakVM
	part  string // the crashing part it has, empty for a sound request
	sent  time.Time
	begun bool
}

// partRun sends requests of which some have a part that crashes endpoints.
type partRun struct {
	*soak
	tc partCase

	mu       sync.Mutex
	requests []partRequest
	down     map[*soakVM][]span
	crashing bool // requests with a crashing part come, and it crashes endpoints

	faultsBegan time.Time
}

// engines returns the setup of the endpoints.
func (p *partRun) engines() engineSetup {
	out := engineSetup{
		count: partEndpoints, versions: []string{"v1"}, services: partEndpoints, unframed: p.tc.unframed, restartTime: partRestartTime,
		crashParts: map[string]standin.CrashPoint{crashingPart: p.tc.point, secondCrashingPart: p.tc.point},
		partsSound: func() bool { return !p.isCrashing() },
	}
	if p.tc.few {
		out.count, out.restartTime = fewEndpoints, fewRestartTime
	}
	return out
}

func (p *partRun) beginFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashing, p.faultsBegan = true, time.Now()
}

func (p *partRun) isCrashing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashing
}

// prompt returns the parts of a request. Sound requests share the first part and the subjects with those
// that have a crashing part.
func (p *partRun) prompt(rng *rand.Rand, part string) string {
	parts := []string{"aa:200", fmt.Sprintf("cc%02x:100", rng.IntN(partSubjects))}
	switch {
	case part == "":
	case p.tc.first:
		parts = append([]string{part + ":150"}, parts...)
	default:
		parts = append(parts[:1], append([]string{part + ":150"}, parts[1:]...)...)
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:50", rng.Uint64())), ",")
}

// pickPart returns the crashing part that the next request has.
func (p *partRun) pickPart(rng *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.crashing && !p.tc.known || rng.Float64() >= p.tc.share:
		return ""
	case p.tc.two && rng.IntN(2) == 0:
		return secondCrashingPart
	}
	return crashingPart
}

// call sends requests until ctx ends.
func (p *partRun) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(uint64(p.seed), uint64(caller)+7))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := partRequest{id: fmt.Sprintf("p%d-%d", caller, n), vm: p.vms[rng.IntN(len(p.vms))], part: p.pickPart(rng), sent: time.Now()}
		r.begun = p.exchange(client, &r, p.prompt(rng, r.part))
		p.mu.Lock()
		p.requests = append(p.requests, r)
		p.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

// exchange reports whether an endpoint began to answer the request.
func (p *partRun) exchange(client *http.Client, r *partRequest, prompt string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.vm.front+p.tc.path, io.NopCloser(strings.NewReader(r.id)))
	if err != nil {
		p.t.Error(err)
		return false
	}
	req.ContentLength, req.Host = int64(len(r.id)), soakHost
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Prompt-Prefix", prompt)
	if p.tc.path == pathResumable {
		req.Header.Set("Token-Count", "300,20")
	}
	resp, err := client.Do(req)
	if err != nil {
		return false // the VM is stopped
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK && (err == nil || p.tc.path == pathResumable)
}

// disturb kills VMs or endpoints, as the case says, until ctx ends.
func (p *partRun) disturb(ctx context.Context) {
	interval := p.tc.restarts
	if p.tc.own {
		interval = partCrashInterval
	}
	if interval == 0 {
		return
	}
	for n := 0; !p.tc.all || n < maxRestarts; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		switch {
		case p.tc.own:
			p.crashEngine(false)
		case p.tc.all:
			p.restart(p.vms)
		default:
			p.restart(p.vms[n%len(p.vms):][:1])
		}
	}
}

// restart kills VMs at the same moment and starts them again.
func (p *partRun) restart(vms []*soakVM) {
	killed := time.Now()
	for _, v := range vms {
		v.proc.kill()
	}
	time.Sleep(restartDelay)
	for _, v := range vms {
		if err := v.proc.start(); err != nil {
			p.t.Error(err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range vms {
		p.down[v] = append(p.down[v], span{killed, time.Now().Add(settledTime)})
	}
}

// counts reports whether the VM had been running for a while when the request was sent.
func (p *partRun) counts(r *partRequest) bool {
	for _, d := range p.down[r.vm] {
		if r.sent.After(d.from) && r.sent.Before(d.to) {
			return false
		}
	}
	return true
}

// checkPart checks how often requests with the part reached endpoints after it had crashed maxPartCrashes.
func (p *partRun) checkPart(part string) (crashes []time.Time) {
	requests := map[string]*partRequest{}
	for i := range p.requests {
		if r := &p.requests[i]; r.part == part && r.sent.After(p.faultsBegan) {
			requests[r.id] = r
		}
	}
	crashes = endpointCrashes(p.ledger.Runs(), requests)
	if len(crashes) < maxPartCrashes {
		return crashes
	}
	late := 0
	for _, a := range p.ledger.Arrivals() {
		if r := requests[a.ID]; r != nil && p.counts(r) && a.At.Sub(crashes[maxPartCrashes-1]) > quarantineBound {
			late++
		}
	}
	p.t.Logf("%s: %d endpoints crashed, %d sends later than %s after the fifth", part, len(crashes), late, quarantineBound)
	if late > maxLatePartSends {
		p.addViolation("%s: %d sends later than %s after the fifth crash, %d endpoints crashed", part, late, quarantineBound, len(crashes))
	}
	return crashes
}

// endpointCrashes returns when endpoints began the first run of one of the requests, each of which ends its
// endpoint. Further requests may have begun to run there until it ended.
func endpointCrashes(runs []standin.Run, requests map[string]*partRequest) []time.Time {
	var out []time.Time
	crashed := map[string]bool{}
	for _, r := range runs {
		if requests[r.ID] == nil || crashed[r.Endpoint] {
			continue
		}
		crashed[r.Endpoint] = true
		out = append(out, r.At)
	}
	return out
}

// checkSound checks that sound requests begin after the crashes as they did before the faults.
func (p *partRun) checkSound(crashes []time.Time) {
	settled := p.faultsBegan
	if n := len(crashes); n > 0 {
		settled = crashes[min(n, maxPartCrashes)-1]
	}
	settled = settled.Add(2 * quarantineBound)
	before, begunBefore, after, begunAfter, all, begun := 0, 0, 0, 0, 0, 0
	for i := range p.requests {
		r := &p.requests[i]
		if r.part != "" || !p.counts(r) {
			continue
		}
		all++
		begun += number(r.begun)
		switch {
		case r.sent.Before(p.faultsBegan):
			before++
			begunBefore += number(r.begun)
		case r.sent.After(settled):
			after++
			begunAfter += number(r.begun)
		}
	}
	shareBefore, shareAfter := float64(begunBefore)/float64(before), float64(begunAfter)/float64(after)
	p.t.Logf("sound requests that began: %.2f before, %.2f after (%d, %d), %.3f of all", shareBefore, shareAfter, before, after, float64(begun)/float64(all))
	if before < minSoundRequests || after < minSoundRequests {
		p.addViolation("too few sound requests to judge: %d before, %d after", before, after)
	}
	if shareAfter < minBegunShare*shareBefore {
		p.addViolation("sound requests begin less than half as often as before: %.2f of %d, %.2f of %d", shareAfter, after, shareBefore, before)
	}
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

var partCases = map[string]partCase{
	"body":             {path: pathReads, point: standin.InsideBody, share: 0.05},
	"body_unframed":    {path: pathReads, point: standin.InsideBody, share: 0.05, unframed: true},
	"event":            {path: pathResumable, point: standin.InsideEvent, share: 0.05},
	"event_unframed":   {path: pathResumable, point: standin.InsideEvent, share: 0.05, unframed: true},
	"header":           {path: pathResumable, point: standin.BeforeHeader, share: 0.05},
	"first_part":       {path: pathResumable, point: standin.InsideEvent, share: 0.05, first: true},
	"a_fifth":          {path: pathResumable, point: standin.InsideEvent, share: 0.2},
	"two_parts":        {path: pathResumable, point: standin.InsideEvent, share: 0.05, two: true},
	"vm_killed":        {path: pathResumable, point: standin.InsideEvent, share: 0.05, restarts: 2400 * time.Millisecond},
	"all_killed":       {path: pathResumable, point: standin.InsideEvent, share: 0.05, restarts: 4 * time.Second, all: true},
	"answered_before":  {path: pathResumable, point: standin.InsideEvent, share: 0.05, known: true},
	"few_endpoints":    {path: pathResumable, point: standin.InsideEvent, share: 0.05, few: true},
	"few_header":       {path: pathResumable, point: standin.BeforeHeader, share: 0.1, few: true},
	"endpoints_at_own": {path: pathResumable, own: true},
}

// Guards against requests with a common prompt part that crash endpoint after endpoint, though no two of them
// are alike, and against refusing sound requests that share other parts with them.
func TestCrashingPartsAreContained(t *testing.T) {
	for name, tc := range partCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &partRun{tc: tc, down: map[*soakVM][]span{}}
			p.soak = newSoakOf(t, 3, p.engines())
			s := p.soak
			s.awaitAnswers(tc.path)
			ctx, stop := context.WithCancel(s.ctx)
			for i := range partCallers {
				s.wg.Go(func() { p.call(ctx, i) })
			}
			time.Sleep(2 * warmUpTime)
			p.beginFaults()
			faults, end := context.WithTimeout(ctx, partFaultTime)
			p.disturb(faults)
			<-faults.Done()
			end()
			stop()
			time.Sleep(callerTimeout)

			p.mu.Lock()
			defer p.mu.Unlock()
			crashes := p.checkPart(crashingPart)
			if tc.two {
				p.checkPart(secondCrashingPart)
			}
			p.checkSound(crashes)
			s.checkProcesses()
			s.reportViolations()
		})
	}
}

// Guards against counting several requests that one endpoint was running when it ended as several crashes.
func TestRunsAtOneEndpointAreOneCrash(t *testing.T) {
	began := time.Now()
	run := func(id, endpoint string, after time.Duration) standin.Run {
		return standin.Run{ID: id, Endpoint: endpoint, At: began.Add(after)}
	}
	requests := map[string]*partRequest{"p1": {}, "p2": {}, "p3": {}}
	crashes := endpointCrashes([]standin.Run{
		run("p1", "e1", 0), run("p2", "e1", time.Millisecond), run("sound", "e2", 2*time.Millisecond),
		run("p1", "e3", 3*time.Millisecond), run("p3", "e3", 4*time.Millisecond), run("p3", "e4", 5*time.Millisecond),
	}, requests)
	assert.DeepEqual(t, crashes, []time.Time{began, began.Add(3 * time.Millisecond), began.Add(5 * time.Millisecond)})
}
