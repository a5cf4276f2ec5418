//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	quarantineVMs       = 3
	quarantineEndpoints = 8
	// deadlyPath is the path of the request that crashes each endpoint which begins to run it.
	deadlyPath = "/saldo/deadly"
	// deadlyDelay is the time from the beginning of a run to the crash.
	deadlyDelay = 30 * time.Millisecond
	// deadlyInterval is the time between two attempts of its caller, longer than it may be asked to wait.
	deadlyInterval = 4 * time.Second
	// endpointReturn is how long after a crash the endpoint is back, as another process.
	endpointReturn = 3 * time.Second
	// soundInterval is the time between two commits of other callers at each machine.
	soundInterval = 60 * time.Millisecond
	commitTime    = 200 * time.Millisecond
	callerLimit   = 3 * time.Second
	// stableWindow is stableWindowMs of the settings.
	stableWindow = 3 * time.Second
	// crashesKnown is the number of crashes after which retries count, and maxLateRetries how many may reach an
	// endpoint later than stableWindow after the last of them, sent by machines in touch.
	crashesKnown   = 3
	maxLateRetries = 3
	// calmTime is the time between two losses of all machines.
	calmTime = 14 * time.Second
	losses   = 2
)

// arrival is a deadly request that has reached an endpoint.
type arrival struct {
	id, endpoint string
	at           time.Time
	vm           *vm       // that its caller sent it to
	sentAt       time.Time // by the caller
	inTouch      bool
}

type quarantineRun struct {
	w *world

	mu       sync.Mutex
	sent     map[string]arrival // by attempt
	arrivals []arrival
	crashes  []time.Time
	commits  map[string]int // outcomes of the other callers' commits
	nextID   int
	running  map[string]int // commits in progress, by endpoint
	lost     int            // commits that were in progress at endpoints which crashed
}

// serve is what an endpoint does with a request.
func (q *quarantineRun) serve(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	if r.URL.Path != deadlyPath {
		e.w.record("%s: runs commit %s", e.id, id)
		q.addRunning(e, 1)
		defer q.addRunning(e, -1)
		time.Sleep(commitTime)
		e.answer(rw, id)
		return
	}
	q.arrive(e, id)
	time.Sleep(deadlyDelay)
	q.mu.Lock()
	q.crashes = append(q.crashes, time.Now())
	n, cut := len(q.crashes), q.running[e.id]
	q.lost += cut
	q.mu.Unlock()
	e.w.record("%s: crashes under %s, crash %d, with %d commits in progress", e.id, id, n, cut)
	go q.comeBack()
	e.crash()
}

func (q *quarantineRun) addRunning(e *endpoint, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[e.id] += n
}

// arrive records that a deadly request has begun to run.
func (q *quarantineRun) arrive(e *endpoint, id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.sent[id]
	a.id, a.endpoint, a.at = id, e.id, time.Now()
	if a.vm != nil {
		since, running := a.vm.isRunning()
		a.inTouch = running && time.Since(since) > stableWindow
	}
	q.arrivals = append(q.arrivals, a)
	name := "?"
	if a.vm != nil {
		name = a.vm.name
	}
	e.w.record("%s: runs deadly %s from %s, in touch: %v", e.id, id, name, a.inTouch)
}

// comeBack starts another process in the place of an endpoint that has crashed.
func (q *quarantineRun) comeBack() {
	time.Sleep(endpointReturn)
	if err := q.addEndpoint(); err != nil && !q.w.isStopping() {
		q.w.record("endpoint not started: %v", err)
	}
}

func (q *quarantineRun) addEndpoint() error {
	q.mu.Lock()
	q.nextID++
	id := fmt.Sprintf("i-%06x", 0xc00+q.nextID)
	q.mu.Unlock()
	_, err := q.w.startEndpoint(id, q.serve, nil)
	return err
}

func quarantineConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": serviceName,
			"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": attempts, "priority": 2,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("consulta", "/saldo/", "idempotent", 1), route("recarga", "/carga/", "non_idempotent", 1)},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// send sends one request to a machine and returns the status, 0 if there was no answer.
func (q *quarantineRun) send(v *vm, c *http.Client, method, path, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerLimit.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
}

// callDeadly has one caller repeat the deadly request, each time at the next machine, until stop is closed.
func (q *quarantineRun) callDeadly(stop <-chan struct{}) {
	c := newClient()
	for i := 0; ; i++ {
		v := q.w.vms[i%len(q.w.vms)]
		id := q.w.newID()
		q.mu.Lock()
		q.sent[id] = arrival{vm: v, sentAt: time.Now()}
		q.mu.Unlock()
		status := q.send(v, c, http.MethodGet, deadlyPath, id)
		q.w.record("caller: deadly %s at %s: status %d", id, v.name, status)
		select {
		case <-stop:
			return
		case <-time.After(deadlyInterval):
		}
	}
}

// callSound has another caller send commits to a machine until stop is closed.
func (q *quarantineRun) callSound(v *vm, stop <-chan struct{}) {
	c := newClient()
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(soundInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if since, running := v.isRunning(); !running || time.Since(since) < stableWindow {
			continue
		}
		open.Go(func() {
			id := q.w.newID()
			status := q.send(v, c, http.MethodPost, "/carga/"+id, id)
			q.mu.Lock()
			defer q.mu.Unlock()
			q.commits[fmt.Sprint(status)]++
			if status != http.StatusOK {
				q.w.record("caller: commit %s at %s: status %d", id, v.name, status)
			}
		})
	}
}

// loseAll kills the processes of all machines at the same moment and starts them again.
func (q *quarantineRun) loseAll() error {
	var ends sync.WaitGroup
	for _, v := range q.w.vms {
		ends.Go(v.kill)
	}
	ends.Wait()
	time.Sleep(time.Second)
	for _, v := range q.w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// quarantineLost has a caller repeat a request that crashes its endpoints, while all machines are lost at once.
func quarantineLost(w *world) error {
	q := &quarantineRun{w: w, sent: map[string]arrival{}, commits: map[string]int{}, running: map[string]int{}}
	if err := w.putConfig(quarantineConfig()); err != nil {
		return err
	}
	for range quarantineEndpoints {
		if err := q.addEndpoint(); err != nil {
			return err
		}
	}
	if err := w.addVMs(quarantineVMs, machineMemoryMb); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	for _, v := range w.vms {
		if err := v.clearBootstrap(); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range w.vms {
		callers.Go(func() { q.callSound(v, stop) })
	}
	time.Sleep(2 * time.Second)
	callers.Go(func() { q.callDeadly(stop) })
	time.Sleep(calmTime)
	for i := range losses {
		if w.trouble {
			w.record("disruption: the processes of all machines are killed, %d of %d", i+1, losses)
			if err := q.loseAll(); err != nil {
				return err
			}
		}
		time.Sleep(calmTime)
	}
	close(stop)
	callers.Wait()
	return q.judge()
}

func (q *quarantineRun) judge() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.w.record("result: commits by status: %v; %d were in progress at endpoints that crashed", q.commits, q.lost)
	if q.commits["200"] == 0 {
		return errors.New("no sound request was served")
	}
	if len(q.crashes) < crashesKnown {
		return fmt.Errorf("the deadly request has crashed only %d endpoints", len(q.crashes))
	}
	known := q.crashes[crashesKnown-1].Add(stableWindow)
	attempts := map[string]bool{}
	for _, a := range q.arrivals {
		if a.inTouch && a.sentAt.After(known) {
			attempts[a.id] = true
		}
	}
	q.w.record("result: %d crashes; %d retries reached endpoints later than %v after crash %d, from machines in touch", len(q.crashes), len(attempts), stableWindow, crashesKnown)
	if len(attempts) > maxLateRetries {
		return fmt.Errorf("%w: %d retries reached endpoints, %d may", errBroken, len(attempts), maxLateRetries)
	}
	return nil
}
