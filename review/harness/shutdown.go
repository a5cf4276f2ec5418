//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// engineService is the service of the model engines, and streamPath the path of its route.
	engineService = "zigo56a"
	streamPath    = "/lohu930/2f"
	// eventGap is the time between two events of a stream, far below gapAimMs.
	eventGap = 50 * time.Millisecond
	// Short answers have minShortTokens to maxShortTokens tokens and take 0.5 to 1.5 s, long ones take 5.3 s. The sheet
	// has 32 tokens on average and 106 at most.
	minShortTokens = 10
	maxShortTokens = 30
	longTokens     = 106
	// streamLimit is how long callers wait, and timeoutMs of the route.
	streamLimit   = 8 * time.Second
	shortInterval = 150 * time.Millisecond
	warmTime      = 15 * time.Second
	graceTime     = 8 * time.Second
	// resolveLead is how long before the signal the callers with long requests asked for addresses. They keep the
	// answer three times as long as it says.
	resolveLead = 200 * time.Millisecond
	keepFactor  = 3
	// countedAfter is the time after a SIGTERM from which a request counts although its runner is still at work at the
	// end of graceS.
	countedAfter = 3 * time.Second
)

// longSends are the times after the signal at which long requests are sent.
var longSends = []time.Duration{3100 * time.Millisecond, 3300 * time.Millisecond, 3500 * time.Millisecond, 3700 * time.Millisecond}

// engineRuns are the streams that engines have run.
type engineRuns struct {
	mu       sync.Mutex
	complete map[string]bool // by attempt; false while it runs or when its connection was closed
	handles  atomic.Int64
}

// serve is what a model engine does with a call.
func (g *engineRuns) serve(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prefill := r.Header.Get("Stage") == "prefill"
	if prefill != (e.stage == "prefill") {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if prefill {
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"transferHandle":"h%d","tokens":620,"version":1}`, g.handles.Add(1))
		return
	}
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	e.w.record("%s: runs %s, %d tokens", e.id, id, tokens)
	g.set(id, false)
	rw.Header().Set("Server-Seal", "seal."+e.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	for n := 1; n <= tokens; n++ {
		select {
		case <-r.Context().Done():
			e.w.record("%s: the connection of %s was closed after event %d of %d", e.id, id, n-1, tokens)
			return
		case <-time.After(eventGap):
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %d of %d\n\n", n, id, n, tokens)
		_ = http.NewResponseController(rw).Flush()
	}
	g.set(id, true)
}

func (g *engineRuns) set(id string, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete[id] = complete
}

// ran reports whether an engine has begun to run a request, and whether it has sent the whole answer.
func (g *engineRuns) ran(id string) (begun, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	complete, begun = g.complete[id]
	return begun, complete
}

// serveControl answers the calls to an engine that aren't requests. It returns false for a request.
func serveControl(e *endpoint, rw http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		rw.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":1000000,"handles":0,"state":"ready"}`, e.stage)
	case r.URL.Path == "/kv-list":
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"epoch":1,"next":0,"held":[]}`)
	case r.URL.Path == "/order":
		rw.WriteHeader(http.StatusConflict) // another order is in progress
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
	default:
		return false
	}
	return true
}

func shutdownConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "respuesta", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "service": engineService, "sticky": true,
			"timeoutMs": streamLimit.Milliseconds(), "targetLatencyMs": 250, "gapAimMs": 250, "maxAttempts": 1, "priority": 1, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": engineService, "healthPath": "/health",
			"engine": map[string]any{"slots": 128, "kvTokens": 1001769, "kvTokenBytes": 18432, "linkMbps": 370000, "stageSwitchS": 3, "handleTtlS": 5},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// streamResult is what a caller saw of a stream.
type streamResult struct {
	id       string
	status   int  // 0 without a header
	complete bool // the answer has ended in order
	events   int
	sent     time.Time
	took     time.Duration
}

// stream sends one request and reads its answer.
func stream(w *world, address string, tokens int) streamResult {
	res := streamResult{id: w.newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+streamPath, bytes.NewReader(bytes.Repeat([]byte("q"), 830)))
	if err != nil {
		return res
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Attempt-Id", res.id)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Count", fmt.Sprintf("620,%d", tokens))
	req.Header.Set("Prompt-Prefix", "5c1e07a2:120,"+res.id+":500")
	req.Header.Set("Deadline-Ms", fmt.Sprint(streamLimit.Milliseconds()))
	resp, err := newClient().Do(req)
	if err == nil {
		defer resp.Body.Close()
		body, rerr := io.ReadAll(resp.Body)
		res.status, res.complete, res.events = resp.StatusCode, rerr == nil, bytes.Count(body, []byte("\n\n"))
	}
	res.took = time.Since(res.sent)
	return res
}

// callShort has callers send requests with short answers to a machine until stop is closed.
func callShort(w *world, v *vm, stop <-chan struct{}, done *atomic.Int64) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(shortInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		tokens := minShortTokens + rand.IntN(maxShortTokens-minShortTokens+1)
		open.Go(func() {
			if r := stream(w, v.front, tokens); r.status == http.StatusOK && r.complete && r.events == tokens {
				done.Add(1)
			} else {
				w.record("caller: short %s at %s: status %d, %d events", r.id, v.name, r.status, r.events)
			}
		})
	}
}

// resolve asks a machine for the addresses to use, as callers do.
func resolve(v *vm) (addresses []string, ttl time.Duration, err error) {
	resp, err := http.Get("http://" + v.directory + "/resolve?name=" + host + "&region=region-a&zone=zone-a")
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, time.Duration(answer.TTL * float64(time.Second)), err
}

// shutdownLong has callers whose answers are long use a machine that is stopped as planned.
func shutdownLong(w *world) error {
	g := &engineRuns{complete: map[string]bool{}}
	if err := w.putConfig(shutdownConfig()); err != nil {
		return err
	}
	for i, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		if _, err := w.startEngine(fmt.Sprintf("i-%06x", 0xe1+i), stage, g.serve); err != nil {
			return err
		}
	}
	if err := w.addVMs(3, machineMemoryMb); err != nil {
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
	time.Sleep(4 * time.Second)
	var short atomic.Int64
	stops := make([]chan struct{}, len(w.vms))
	var callers sync.WaitGroup
	for i, v := range w.vms {
		stops[i] = make(chan struct{})
		callers.Go(func() { callShort(w, v, stops[i], &short) })
	}
	time.Sleep(warmTime)
	lost, err := w.stopAsPlanned(g, w.vms[0], stops[0])
	for _, stop := range stops[1:] {
		close(stop)
	}
	callers.Wait()
	w.record("result: %d short answers were complete", short.Load())
	switch {
	case err != nil:
		return err
	case short.Load() == 0:
		return errors.New("no short answer was complete")
	case lost > 0:
		return fmt.Errorf("%w: %d requests that were passed on ended without a complete answer", errBroken, lost)
	}
	return nil
}

// stopAsPlanned sends SIGTERM to a machine's process and returns how many of the long requests were lost.
func (w *world) stopAsPlanned(g *engineRuns, v *vm, stopShort chan struct{}) (lost int, err error) {
	addresses, ttl, err := resolve(v)
	if err != nil {
		return 0, err
	}
	w.record("callers: %s gives %v for %v, which some keep for %v", v.name, addresses, ttl, keepFactor*ttl)
	if !slices.Contains(addresses, v.front) {
		return 0, errors.New("the machine isn't advertised")
	}
	time.Sleep(resolveLead)
	began := time.Now()
	if w.trouble {
		w.record("disruption: %s gets SIGTERM, graceS is %v", v.name, graceTime)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, v.kill)
	}
	time.AfterFunc(1500*time.Millisecond, func() { close(stopShort) }) // most callers know the new addresses by then
	var open sync.WaitGroup
	var mu sync.Mutex
	for _, after := range longSends {
		if after > keepFactor*ttl-resolveLead {
			break
		}
		time.Sleep(time.Until(began.Add(after)))
		open.Go(func() {
			r := stream(w, v.front, longTokens)
			begun, whole := g.ran(r.id)
			isLost := begun && !(r.status == http.StatusOK && r.complete && r.events == longTokens) && r.took < streamLimit && r.sent.Sub(began) > countedAfter
			w.record("caller: long %s sent %d ms after the signal: status %d, %d of %d events, in order %v, after %d ms; an engine ran it: %v, to its end: %v; lost: %v",
				r.id, r.sent.Sub(began).Milliseconds(), r.status, r.events, longTokens, r.complete, r.took.Milliseconds(), begun, whole, isLost)
			mu.Lock()
			defer mu.Unlock()
			if isLost {
				lost++
			}
		})
	}
	open.Wait()
	return lost, nil
}
