//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one execution of a request at a server.
type run struct {
	id, server, path string
	at               time.Time
	whole            bool // the answer was sent
}

// ledger records what servers have received and run.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(id, server, path string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{id: id, server: server, path: path, at: time.Now()}
	l.runs = append(l.runs, r)
	return r
}

func (l *ledger) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.whole = true
}

// list returns copies of the runs so far.
func (l *ledger) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// server is a server of a plain service, as PROTOCOL.md describes it.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	w                 *world
	ledger            *ledger
	address           string
	born              int64
	http              *http.Server

	mu       sync.Mutex
	sequence int
	draining bool
	running  int
	ended    bool
	stop     chan struct{}
}

// startServer starts a server and its beats.
func (w *world) startServer(l *ledger, id, service, zone string, slots int, work time.Duration) (*server, error) {
	s := &server{id: id, service: service, zone: zone, slots: slots, work: work, w: w, ledger: l, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 15 * time.Second}
	w.servers = append(w.servers, s.http)
	go func() { _ = s.http.Serve(ln) }()
	s.beat()
	go s.keepBeating()
	return s, nil
}

func (s *server) keepBeating() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.beat()
		}
	}
}

// entry returns the server's next entry.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	}
}

// beat writes the server's entry to the store.
func (s *server) beat() { s.w.put(s.id, s.entry()) }

// put writes an entry under servers/ID. The store has accepted it when put returns.
func (w *world) put(id string, entry map[string]any) {
	text, _ := json.Marshal(entry) // a map of plain values
	w.store.Put("keyed.servers", id, string(text))
}

// drain reports that the server leaves, and returns the time of the store's acknowledgement.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
	return time.Now()
}

// remove ends the server's entry. The returned time is that of the store's acknowledgement.
func (s *server) remove() time.Time {
	close(s.stop)
	s.w.store.Put("keyed.servers", s.id, "")
	return time.Now()
}

// exit ends the server's process, and its connections with the requests on them.
func (s *server) exit() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.http.Close()
}

func (s *server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.isDraining() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		if s.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/report":
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if !s.acquire() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	run := s.ledger.begin(r.Header.Get("Attempt-Id"), s.id, r.URL.Path)
	time.Sleep(s.work)
	body := fmt.Sprintf("%s did %s\n", s.id, r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal-of-"+s.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.load(), s.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if _, err := io.WriteString(w, body); err == nil && !ended {
		s.ledger.end(run)
	}
}

func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= 2*s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
