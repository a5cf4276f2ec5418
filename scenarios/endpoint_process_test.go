package scenarios

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

// endpointEnv holds the endpointSpec of a process of this test binary that is an endpoint.
const endpointEnv = "FESCUE_TEST_ENDPOINT"

// endpointSpec describes an endpoint that is a process of its own. A signal pauses it with its sockets: connections are
// still accepted and requests still received then, and are served once it goes on.
type endpointSpec struct {
	ID, Service, Stage, Version string
	Slots, Queue                int
	KeepAlive                   time.Duration // of an idle connection
	CallTime, EventTime         time.Duration
	Late                        int // a copy of a rejection is sent when the request of that number after it arrives, zero for none
}

// endpointRecord is what an endpoint's process writes of a request.
type endpointRecord struct {
	Kind, ID, Path string
	Endpoint       string `json:",omitempty"`
	At             time.Time
}

// The kinds of records.
const (
	recordArrived  = "arrived"
	recordRun      = "run"
	recordRejected = "rejected"
	recordEnded    = "ended"
	recordLeft     = "left" // the connection closed while the request waited or ran
)

// endpointServer is the endpoint in its process.
type endpointServer struct {
	endpointSpec
	slots   chan struct{}
	waiting atomic.Int64

	mu  sync.Mutex
	out *json.Encoder
}

// serveEndpoint runs an endpoint until the parent process closes the standard input.
func serveEndpoint(text string) error {
	e := &endpointServer{out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(text), &e.endpointSpec); err != nil {
		return err
	}
	e.slots = make(chan struct{}, e.Slots)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends with the parent
		os.Exit(0)
	}()
	server := &http.Server{Handler: e, IdleTimeout: e.KeepAlive, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, endpointConnKey{}, c)
	}}
	return server.Serve(endpointListener{ln})
}

// endpointListener accepts an endpointConn each time.
type endpointListener struct{ net.Listener }

// Accept implements net.Listener.
func (l endpointListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endpointConn{Conn: c}, nil
}

type endpointConnKey struct{}

// endpointConn sends what is left of an earlier answer when the next request arrives.
type endpointConn struct {
	net.Conn

	mu      sync.Mutex
	late    string // the copy of an answer, empty for none
	arrives int    // the number of requests until late is sent
}

// setLate has a copy of an answer sent when the request of a number after it arrives.
func (c *endpointConn) setLate(text string, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.arrives = text, after
}

// takeLate returns what is to be sent as a request arrives.
func (c *endpointConn) takeLate() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrives--; c.arrives != 0 {
		return ""
	}
	return c.late
}

// Read implements net.Conn.
func (c *endpointConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		_, _ = io.WriteString(c.Conn, c.takeLate())
	}
	return n, err
}

func (e *endpointServer) record(kind string, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.out.Encode(endpointRecord{Kind: kind, ID: r.Header.Get("Attempt-Id"), Path: r.URL.Path, At: time.Now()})
}

// ServeHTTP implements http.Handler.
func (e *endpointServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(e.KeepAlive.Seconds())))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"busy":false,"sequence":0,"running":%d,"waiting":%d}`, e.Stage, len(e.slots), e.waiting.Load())
	case "/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
	case "/order":
		w.WriteHeader(http.StatusConflict)
	default:
		e.serve(w, r)
	}
}

// serve runs a request in a slot for as long as its sender waits.
func (e *endpointServer) serve(w http.ResponseWriter, r *http.Request) {
	e.record(recordArrived, r)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !e.acquire(ctx) {
		e.reject(w, r)
		return
	}
	defer func() { <-e.slots }()
	w.Header().Set("Server-Seal", "sealed-by-"+e.ID)
	e.record(recordRun, r)
	defer e.record(recordEnded, r)
	if r.Header.Get("Token-Count") != "" {
		e.serveStream(ctx, w, r)
		return
	}
	e.serveCall(ctx, w, r)
}

// acquire waits for a slot, unless the queue is full, until the sender doesn't wait any more.
func (e *endpointServer) acquire(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	defer e.waiting.Add(-1)
	if e.waiting.Add(1) > int64(e.Queue) {
		return false
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// reject answers that the request wasn't run, unless its connection is closed.
func (e *endpointServer) reject(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		e.record(recordLeft, r)
		return
	}
	e.record(recordRejected, r)
	if c, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok && e.Late > 0 {
		text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n",
			r.Header.Get("Attempt-Id"), e.load())
		c.setLate(text, e.Late)
	}
	w.Header().Set("Server-Load", e.load())
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// load returns what an endpoint announces of its load.
func (e *endpointServer) load() string {
	return fmt.Sprintf("%d,%d,%d", len(e.slots), min(e.waiting.Load(), int64(e.Queue)), e.Slots)
}

// waitFor waits for d, and reports whether the sender still waits.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (e *endpointServer) serveCall(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if !waitFor(ctx, e.CallTime) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(w, standin.CallBody(r.Header.Get("Attempt-Id")))
}

func (e *endpointServer) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= standin.Events; n++ {
		if !waitFor(ctx, e.EventTime) {
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.Header.Get("Attempt-Id"), cmp.Or(e.Version, standin.DefaultVersion))
		if err != nil || flush() != nil {
			return
		}
	}
}

// endpointProcess is such a process as its parent sees it.
type endpointProcess struct {
	endpointSpec
	cmd  *exec.Cmd
	addr string
	born time.Time
	seq  int
}

// startEndpoint starts an endpoint's process and passes its records on until it ends.
func startEndpoint(t *testing.T, spec *endpointSpec, record func(endpointRecord)) *endpointProcess {
	text, err := json.Marshal(spec)
	assert.NilError(t, err)
	self, err := os.Executable()
	assert.NilError(t, err)
	e := &endpointProcess{endpointSpec: *spec, cmd: command(self), born: time.Now()}
	e.cmd.Env = append(os.Environ(), endpointEnv+"="+string(text))
	e.cmd.Stderr = os.Stderr
	in, err := e.cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := e.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, e.cmd.Start())
	lines := bufio.NewReader(out)
	addr, err := lines.ReadString('\n')
	assert.NilError(t, err)
	e.addr = strings.TrimSpace(addr)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for decoder := json.NewDecoder(lines); ; {
			var r endpointRecord
			if decoder.Decode(&r) != nil {
				return
			}
			r.Endpoint = e.ID
			record(r)
		}
	}()
	t.Cleanup(func() {
		e.signal(syscall.SIGCONT)
		_ = in.Close()
		<-ended
		_ = e.cmd.Wait()
	})
	return e
}

// signal sends a signal to the process. It hasn't been waited for, so that its id is its own.
func (e *endpointProcess) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// entry returns a new store entry of the endpoint.
func (e *endpointProcess) entry() string {
	e.seq++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":%q,"slots":%d,"state":"ready","stage":%q,"sequence":%d,"born":%d}`,
		e.Service, e.addr, e.Version, e.Slots, e.Stage, e.seq, e.born.UnixMilli())
}
