//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is beatIntervalMs of the settings: an endpoint writes its entry that often.
	beatInterval = 1200 * time.Millisecond
	// expiryBeats is the number of beats after which the entry of a silent endpoint is removed.
	expiryBeats = 3
	// endpointSlots is the number of requests that an endpoint of the plain service processes at a time.
	endpointSlots = 32
	// workTime is the processing time of a request.
	workTime = 60 * time.Millisecond
	// serviceName and host are names of the day.
	serviceName = "gopu72b"
	host        = "ficu95.example"
)

// endpoint is an endpoint of a plain service. Its handler decides what it does with a request.
type endpoint struct {
	w      *world
	id     string
	addr   string
	born   time.Time
	ln     net.Listener
	server *http.Server
	slots  chan struct{}
	handle handler

	service  string
	stage    string // of a model engine, empty for a plain endpoint
	sequence atomic.Int64

	once sync.Once
	gone chan struct{} // closed when the endpoint has crashed or was stopped
}

// handler is what an endpoint does with a request.
type handler func(*endpoint, http.ResponseWriter, *http.Request)

// startEndpoint starts an endpoint of the plain service. wrap wraps its connections, unless it is nil.
func (w *world) startEndpoint(id string, handle handler, wrap func(net.Conn) net.Conn) (*endpoint, error) {
	return w.start(&endpoint{id: id, service: serviceName, handle: handle}, wrap)
}

// startEngine starts a model engine.
func (w *world) startEngine(id, stage string, handle handler) (*endpoint, error) {
	return w.start(&endpoint{id: id, service: engineService, stage: stage, handle: handle}, nil)
}

func (w *world) start(e *endpoint, wrap func(net.Conn) net.Conn) (*endpoint, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.w, e.addr, e.born, e.ln = w, ln.Addr().String(), time.Now(), ln
	e.slots, e.gone = make(chan struct{}, endpointSlots), make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(&wrappedListener{ln, wrap}) }()
	go e.report()
	return e, nil
}

type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.wrap == nil {
		return c, err
	}
	return l.wrap(c), nil
}

// report writes the endpoint's entry to the store until it is gone. The entry then expires.
func (e *endpoint) report() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		e.write()
		select {
		case <-e.w.stopping:
			return
		case <-e.gone:
			time.Sleep(expiryBeats * beatInterval)
			e.w.store.Put("keyed.servers", e.id, "")
			return
		case <-tick.C:
		}
	}
}

// write writes the endpoint's entry to the store.
func (e *endpoint) write() {
	stage := ""
	if e.stage != "" {
		stage = fmt.Sprintf(`"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],`, e.stage)
	}
	e.w.store.Put("keyed.servers", e.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":%d,"state":"ready",%s"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		e.service, e.addr, endpointSlots, stage, e.sequence.Add(1), e.born.UnixMilli()))
}

// crash ends the endpoint as the end of its process does.
func (e *endpoint) crash() {
	e.once.Do(func() {
		close(e.gone)
		_ = e.server.Close()
	})
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.stage != "" && serveControl(e, rw, r) {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("Attempt-Id", id)
	e.handle(e, rw, r)
}

// answer answers a request that has run.
func (e *endpoint) answer(rw http.ResponseWriter, id string) {
	rw.Header().Set("Server-Seal", "seal."+e.id+"."+id)
	rw.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(rw, "answer to "+id)
}
