//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineSpec describes a model server, which is a process of its own.
type engineSpec struct {
	ID, Stage string
	Slots     int
	Born      int64
	Address   string // to listen on
}

// The figures of the model servers, those of cevallos-luz where the page states them.
const (
	stageSwitchTime  = 3 * time.Second
	promptTokensOfMs = 157
	handleTime       = 5 * time.Second
)

// engineProcess is a model server in its process. It writes a line to the standard output for each run and for each
// change of its stage.
type engineProcess struct {
	engineSpec
	out sync.Mutex

	mu       sync.Mutex
	stage    string
	busy     bool
	orders   int
	running  int
	handles  map[string]bool
	lastHand int
}

// serveEngine serves until the process is killed or its parent ends.
func serveEngine(text string) int {
	e := &engineProcess{handles: map[string]bool{}}
	if err := json.Unmarshal([]byte(text), &e.engineSpec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	e.stage = e.Stage
	ln, err := net.Listen("tcp4", e.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	e.line("listens %s", ln.Addr())
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, IdleTimeout: 15 * time.Second}
	fmt.Fprintln(os.Stderr, s.Serve(ln))
	return exitCant
}

func (e *engineProcess) line(format string, args ...any) {
	e.out.Lock()
	defer e.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// ServeHTTP implements http.Handler.
func (e *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.ID)
	case r.URL.Path == "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": e.stage, "models": models, "busy": e.busy, "sequence": e.orders, "waiting": 0, "running": e.running, "kvUsed": 0,
			"kvTotal": 1001769, "handles": len(e.handles), "state": "ready", "born": e.Born,
		})
	case r.URL.Path == "/kv-list":
		writeJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
	case r.URL.Path == "/order":
		e.serveOrder(w, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.takeHandle(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	default:
		e.serveRequest(w, r)
	}
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []any{}}}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engineProcess) serveOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Opcode, Stage, Holder string
		Fence                 *int64
		Expected              *int
	}
	if json.Unmarshal(body, &o) != nil || o.Opcode != "stage" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stage == o.Stage:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.busy = true
	e.line("order %s to %s", o.Holder, o.Stage)
	time.AfterFunc(stageSwitchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.stage = false, o.Stage
		e.line("stage %s", o.Stage)
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engineProcess) newHandle() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHand++
	h := fmt.Sprintf("%s-%d-%d", e.ID, e.Born, e.lastHand)
	e.handles[h] = true
	time.AfterFunc(handleTime, func() { e.takeHandle(h) })
	return h
}

func (e *engineProcess) takeHandle(h string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.handles[h]
	delete(e.handles, h)
	return ok
}

// begin reports whether a request may run in this stage and finds a slot, and otherwise answers it.
func (e *engineProcess) begin(w http.ResponseWriter, stage string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stage != stage:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case e.busy || e.running >= e.Slots:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	e.running++
	return true
}

func (e *engineProcess) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// The query of a request says how many events its answer has and how long each takes.
const (
	queryEvents = "events"
	queryMs     = "ms"
)

func (e *engineProcess) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	n, _ := strconv.Atoi(tokens)
	reading := time.Duration(n) * time.Millisecond / promptTokensOfMs
	if r.Header.Get("Stage") == "prefill" {
		if !e.begin(w, "prefill") {
			return
		}
		defer e.end()
		time.Sleep(reading)
		writeJSON(w, http.StatusOK, map[string]any{"transferHandle": e.newHandle(), "tokens": n, "version": 1})
		return
	}
	if !e.begin(w, "decode") {
		return
	}
	defer e.end()
	if source := r.Header.Get("Kv-Source"); source == "" {
		time.Sleep(2 * reading)
	} else if !fetch(source) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, id)
}

// fetch takes a handle at the engine that holds it, as a transfer does.
func fetch(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	resp, err := http.Get("http://" + address + "/kv-take/" + handle)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func (e *engineProcess) stream(w http.ResponseWriter, r *http.Request, id string) {
	events, _ := strconv.Atoi(r.URL.Query().Get(queryEvents))
	ms, _ := strconv.Atoi(r.URL.Query().Get(queryMs))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.line("run %s", id)
	w.Header().Set("Server-Seal", "seal-of-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= events; n++ {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		if flush() != nil {
			return
		}
	}
	e.line("done %s", id)
}

// engine is a model server as the world sees it: its process, and what it writes to the store.
type engine struct {
	engineSpec
	w    *world
	cmd  *exec.Cmd
	stop chan struct{}

	mu       sync.Mutex
	sequence int
	stage    string
	crashed  time.Time // zero while it runs
}

// engineRun is a run at a model server.
type engineRun struct {
	id     string
	engine *engine
	at     time.Time
	done   bool
}

// engineRuns are all runs at model servers.
type engineRuns struct {
	mu   sync.Mutex
	runs []*engineRun
}

// startEngine starts a model server's process and its beats. address is empty for a new one.
func (w *world) startEngine(runs *engineRuns, id, stage, address string) (*engine, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	e := &engine{
		engineSpec: engineSpec{ID: id, Stage: stage, Slots: 128, Born: time.Now().UnixMilli(), Address: address}, w: w, stage: stage, stop: make(chan struct{}),
	}
	spec, err := json.Marshal(e.engineSpec)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(self, "-engine", string(spec))
	e.cmd.Stderr = os.Stderr
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.Join(errCantRun, lines.Err())
	}
	e.Address = strings.TrimPrefix(lines.Text(), "listens ")
	go e.read(lines, runs)
	e.beat()
	go e.keepBeating()
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	return e, nil
}

// read reads what the process writes.
func (e *engine) read(lines *bufio.Scanner, runs *engineRuns) {
	open := map[string]*engineRun{}
	for lines.Scan() {
		kind, rest, _ := strings.Cut(lines.Text(), " ")
		switch kind {
		case "run":
			r := &engineRun{id: rest, engine: e, at: time.Now()}
			open[rest] = r
			runs.mu.Lock()
			runs.runs = append(runs.runs, r)
			runs.mu.Unlock()
		case "done":
			runs.mu.Lock()
			if r := open[rest]; r != nil {
				r.done = true
			}
			runs.mu.Unlock()
		case "stage":
			e.mu.Lock()
			e.stage = rest
			e.mu.Unlock()
			e.w.note("%s is in stage %s", e.ID, rest)
			e.beat()
		default:
			e.w.note("%s: %s", e.ID, lines.Text())
		}
	}
	_ = e.cmd.Wait()
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashed.IsZero() {
		return
	}
	e.sequence++
	e.w.put(e.ID, map[string]any{
		"service": "llm", "address": e.Address, "zone": "zone-a", "version": "v1", "slots": e.Slots, "state": "ready", "coldRemainingMs": 0,
		"stage": e.stage, "models": models, "sequence": e.sequence, "born": e.Born,
	})
}

func (e *engine) keepBeating() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-tick.C:
			e.beat()
		}
	}
}

// crash kills the process. The store removes its entry after three intervals of silence.
func (e *engine) crash() {
	e.mu.Lock()
	e.crashed = time.Now()
	e.mu.Unlock()
	close(e.stop)
	_ = e.cmd.Process.Kill()
	e.w.note("%s has crashed", e.ID)
	time.AfterFunc(3*beatInterval, func() { e.w.store.Put("keyed.servers", e.ID, "") })
}

func (e *engine) crashedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}
