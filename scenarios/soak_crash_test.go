package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

const (
	// crashRetryInterval is the mean time between two retries of a request that crashes endpoints.
	crashRetryInterval = 200 * time.Millisecond
	// endpointRestartTime is the time until an endpoint that has crashed is replaced.
	endpointRestartTime = 800 * time.Millisecond
	// maxCrashes is the number of endpoints that one request may crash, and maxLateRetries the number of
	// its retries that may reach an endpoint later than quarantineBound after the last of them.
	maxCrashes      = 3
	maxLateRetries  = 3
	quarantineBound = 3 * time.Second
	// restartPause is the time before each of the restarts.
	restartPause = 2 * time.Second
)

// crashingRequest is a request that crashes each endpoint that runs it. Its caller retries it at any VM.
type crashingRequest struct {
	s    *soak
	path string
	body string
	rng  *rand.Rand

	mu  sync.Mutex
	ids map[string]bool // of its attempts
}

func (s *soak) newCrashingRequest(name, path string, p standin.CrashPoint) *crashingRequest {
	return &crashingRequest{
		s: s, path: path, body: standin.CrashBody(name, p), ids: map[string]bool{},
		rng: rand.New(rand.NewPCG(uint64(s.seed), 99)),
	}
}

// retry sends the request until ctx ends, to one VM after the other without waiting for its answers.
func (c *crashingRequest) retry(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("crash-%s-%d", strings.ReplaceAll(c.body, " ", "-"), n)
		c.mu.Lock()
		c.ids[id] = true
		c.mu.Unlock()
		v := c.s.vms[c.rng.IntN(len(c.s.vms))]
		c.s.wg.Go(func() { c.send(v.front, id) })
		select {
		case <-ctx.Done():
		case <-time.After(crashRetryInterval/2 + time.Duration(c.rng.Int64N(int64(crashRetryInterval)))):
		}
	}
}

func (c *crashingRequest) send(front, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		c.s.t.Error(err)
		return
	}
	req.Host, req.GetBody = soakHost, nil
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if c.path == pathResumable {
		req.Header.Set("Token-Count", "300,20")
		req.Header.Set("Prompt-Prefix", "cc:200,dd:100")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return // the VM is stopped, or the stream broke off
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // breaks off if the endpoint crashed within its answer
}

// runs returns when the request ran.
func (c *crashingRequest) runs() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []time.Time
	for _, r := range c.s.ledger.Runs() {
		if c.ids[r.ID] {
			out = append(out, r.At)
		}
	}
	return out
}

// lateRuns returns how often the request ran later than quarantineBound after it had crashed maxCrashes
// endpoints.
func (c *crashingRequest) lateRuns() int {
	runs := c.runs()
	n := 0
	for i, at := range runs {
		if i >= maxCrashes && at.Sub(runs[maxCrashes-1]) > quarantineBound {
			n++
		}
	}
	return n
}

// checkQuarantines checks that no request but those that crash endpoints was refused as one.
func (s *soak) checkQuarantines() {
	for _, v := range s.vms {
		text, err := os.ReadFile(v.proc.log)
		if err != nil {
			s.addViolation("%s", err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, " code=3010 ") && !strings.Contains(line, " id=crash-") {
				s.addViolation("%s: quarantined by mistake: %s", v.name, line)
			}
		}
	}
}

// Guards against requests that crash endpoint after endpoint, in each way that an endpoint can end and
// while VMs restart, and against refusing the requests that ran beside them.
func TestCrashingRequestsAreContained(t *testing.T) {
	for _, path := range []string{pathReads, pathResumable} {
		for _, p := range standin.CrashPoints() {
			t.Run(fmt.Sprintf("%s%d", strings.Trim(path, "/"), p), func(t *testing.T) {
				t.Parallel()
				s := newSoak(t, int64(p))
				s.awaitServing()
				ctx, stop := context.WithCancel(s.ctx)
				s.callers(ctx)
				time.Sleep(warmUpTime)
				c := s.newCrashingRequest("alone", path, p)
				s.wg.Go(func() { c.retry(ctx) })
				s.restartInTurn(s.vms[:3])
				time.Sleep(quarantineBound)
				stop()
				time.Sleep(callerTimeout)

				t.Logf("%d runs, %d of them late", len(c.runs()), c.lateRuns())
				if n := c.lateRuns(); n > maxLateRetries {
					s.addViolation("%d runs later than %s after the third crash", n, quarantineBound)
				}
				s.checkQuarantines()
				s.checkProcesses()
				s.reportViolations()
			})
		}
	}
}

// restartInTurn kills the VMs' processes and starts them again, one after the other.
func (s *soak) restartInTurn(vms []*soakVM) {
	for _, v := range vms {
		time.Sleep(restartPause)
		v.proc.kill()
		time.Sleep(restartDelay)
		assert.Check(s.t, v.proc.start())
	}
}
