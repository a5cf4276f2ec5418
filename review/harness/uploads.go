//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of a request's body. maxBodyBytes of the configuration allows it.
	uploadBytes  = 4_000_000
	maxBodyBytes = 4_194_304
	// uploadInterval is the time between two requests to a machine: 40 MB a second, a third of its link.
	uploadInterval = 100 * time.Millisecond
	// uploadTimeout is how long callers wait, and timeoutMs of the route.
	uploadTimeout = 10 * time.Second
	// slowBytesPerSecond is the pace at which endpoints read a body: 8 s for one, within the time limit.
	slowBytesPerSecond = 500_000
	// endpointWindow bounds what the kernel holds for a peer that doesn't read, as links have small windows.
	endpointWindow = 64 << 10
	// uploadTime is how long callers send.
	uploadTime = 45 * time.Second
	// machineMemoryMb is memoryMb of the settings, above which the platform kills a process.
	machineMemoryMb = 284
	memoryPoll      = 20 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	// maxMemoryEnds is the number of ends of a process from which a machine counts, and minMachines the number of
	// machines from which the rule is broken (a tenth of those in use, two at least).
	maxMemoryEnds = 3
	minMachines   = 2
)

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	p = p[:min(len(p), 16<<10)]
	n, err := c.Conn.Read(p)
	if n > 1<<10 { // a header isn't delayed
		time.Sleep(time.Duration(n) * time.Second / slowBytesPerSecond)
	}
	return n, err
}

func smallWindow(c net.Conn) net.Conn {
	_ = c.(*net.TCPConn).SetReadBuffer(endpointWindow)
	return c
}

// takeUpload is what an endpoint does with a request: it reads the body, waits for a slot and works.
func takeUpload(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.w.record("%s: request %s broken off after %d bytes", e.id, id, n)
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.w.record("%s: runs %s, %d bytes", e.id, id, n)
	time.Sleep(workTime)
	e.answer(rw, id)
}

// memoryEnds counts the processes that the platform has killed for their memory.
type memoryEnds struct {
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int64
}

// supervise does what the platform does: it kills a process that exceeds the memory of its machine, and starts ended
// processes again.
func (m *memoryEnds) supervise(v *vm) {
	for !v.w.isStopping() {
		time.Sleep(memoryPoll)
		if _, running := v.isRunning(); !running {
			time.Sleep(restartDelay)
			if v.start() != nil {
				return
			}
			continue
		}
		used := v.residentBytes()
		m.mu.Lock()
		m.peak[v.name] = max(m.peak[v.name], used)
		m.mu.Unlock()
		if used <= int64(v.memoryMb)<<20 {
			continue
		}
		v.w.record("platform: %s uses %d MB of %d MB, its process is killed", v.name, used>>20, v.memoryMb)
		v.kill()
		m.mu.Lock()
		m.ends[v.name]++
		m.mu.Unlock()
	}
}

// uploadResults counts the outcomes of the callers' requests.
type uploadResults struct {
	mu     sync.Mutex
	counts map[string]int
}

func (u *uploadResults) add(outcome string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[outcome]++
}

// upload sends one request to a machine.
func (u *uploadResults) upload(v *vm, c *http.Client, body []byte) {
	id := v.w.newID()
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+"/carga/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Host = host
	req.GetBody = nil // it isn't sent again
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(uploadTimeout.Milliseconds()))
	sent := time.Now()
	resp, err := c.Do(req)
	outcome := ""
	if err != nil {
		outcome = "no answer"
		if errors.Is(err, context.DeadlineExceeded) {
			outcome = "time limit"
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			outcome = "no connection"
		}
	} else {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		outcome = fmt.Sprintf("status %d", resp.StatusCode)
	}
	v.w.record("caller: %s at %s: %s after %d ms", id, v.name, outcome, time.Since(sent).Milliseconds())
	u.add(outcome)
}

func uploadConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "recarga", "host": host, "pathPrefix": "/carga/", "kind": "non_idempotent", "service": serviceName,
			"timeoutMs": uploadTimeout.Milliseconds(), "targetLatencyMs": 300, "maxAttempts": 1, "priority": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// uploads has callers send bodies of the allowed size to endpoints that read them slowly.
func uploads(w *world) error {
	if err := w.putConfig(uploadConfig()); err != nil {
		return err
	}
	wrap := smallWindow
	if w.trouble {
		w.record("disruption: endpoints read %d bytes a second of each connection", slowBytesPerSecond)
		wrap = func(c net.Conn) net.Conn { return slowConn{smallWindow(c)} }
	}
	for i := range 4 {
		if _, err := w.startEndpoint(fmt.Sprintf("i-%06x", 0xa1+i), takeUpload, wrap); err != nil {
			return err
		}
	}
	if err := w.addVMs(2, machineMemoryMb); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	m := &memoryEnds{ends: map[string]int{}, peak: map[string]int64{}}
	for _, v := range w.vms {
		if err := v.clearBootstrap(); err != nil {
			return err
		}
		go m.supervise(v)
	}
	u := &uploadResults{counts: map[string]int{}}
	body := bytes.Repeat([]byte("receipt "), uploadBytes/8)
	var callers sync.WaitGroup
	until := time.Now().Add(uploadTime)
	for _, v := range w.vms {
		callers.Go(func() { u.press(v, body, until) })
	}
	callers.Wait()
	return m.judge(w, u)
}

// press sends requests to a machine at a steady pace while it is ready.
func (u *uploadResults) press(v *vm, body []byte, until time.Time) {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	var open sync.WaitGroup
	tick := time.NewTicker(uploadInterval)
	defer tick.Stop()
	for time.Now().Before(until) && !v.w.isStopping() {
		<-tick.C
		if since, running := v.isRunning(); !running || time.Since(since) < 2*time.Second {
			continue // callers use other machines until this one is ready
		}
		open.Go(func() { u.upload(v, c, body) })
	}
	open.Wait()
}

func (m *memoryEnds) judge(w *world, u *uploadResults) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	machines := 0
	for _, v := range w.vms {
		w.record("result: %s: killed %d times for its memory, peak %d MB of %d MB", v.name, m.ends[v.name], m.peak[v.name]>>20, v.memoryMb)
		if m.ends[v.name] >= maxMemoryEnds {
			machines++
		}
	}
	w.record("result: requests by outcome: %v", u.counts)
	if u.counts["status 200"] == 0 && !w.trouble {
		return errors.New("no request was served without the disruption")
	}
	if machines >= minMachines {
		return fmt.Errorf("%w: processes of %d of %d machines ended %d times or more", errBroken, machines, len(w.vms), maxMemoryEnds)
	}
	return nil
}
