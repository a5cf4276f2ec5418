// Package status serves one process's state to operators over HTTP: a status report as JSON, the
// report of its error-budget burn rates, a readiness check and its expvar metrics. The endpoint is
// read-only and meant for the operators' network only.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"fescuestand/internal/httpserver"
	"fescuestand/internal/limits"
	"fescuestand/internal/policy/connlimit"
)

// Paths of the status endpoint.
const (
	PathStatus  = "/status"
	PathBurn    = "/burn"
	PathMetrics = "/debug/vars"
	PathReady   = "/ready"
)

// Report is the state of one process.
type Report struct {
	VM           string     `json:"vm"`
	Zone         string     `json:"zone"`
	Process      string     `json:"process"`
	Incarnation  string     `json:"incarnation"`
	Ready        bool       `json:"ready"`   // the process has an accepted sheet
	CommitsReady bool       `json:"commits"` // commits can run, as the commits stream has been read to its end
	Leaving      bool       `json:"leaving"`
	SheetVersion uint64     `json:"sheet_version"`
	Log          Log        `json:"log"`
	Requests     int        `json:"requests"` // in progress
	Endpoints    []Endpoint `json:"endpoints,omitempty"`
	Members      []Member   `json:"members,omitempty"`
	Scopes       []Scope    `json:"scopes,omitempty"`
}

// Log is the state of the log service as this process observes it.
type Log struct {
	Healthy   bool   `json:"healthy"`
	LastError string `json:"last_error,omitempty"`
	Offset    uint64 `json:"offset"` // next offset to read from the config stream
}

// Endpoint is the state of an engine, or of an endpoint of a plain service, as this process has it.
type Endpoint struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	Role     string `json:"role,omitempty"`
	Phase    string `json:"phase"`
	InFlight int    `json:"in_flight"`
	Reason   string `json:"reason,omitempty"` // why it is sent fewer requests or none
}

// Member is the membership state of a VM as this process has it.
type Member struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Scope is the authority over one engine.
type Scope struct {
	Engine   string `json:"engine"`
	Holder   string `json:"holder"` // the VM that has the authority
	Token    uint64 `json:"token"`
	HeldHere bool   `json:"held"`            // this process has the authority and its lease is running
	Activity string `json:"doing,omitempty"` // reason of the last reconcile step
}

// Source returns the current report. It must not block.
type Source func() Report

// BurnSource returns the process's burn report as JSON.
type BurnSource func() ([]byte, error)

// connShare is the share of the connections of the process (docs/design/0023).
var connShare = connlimit.Share{Sockets: 2, Memory: 4}

// Server is the kernel unit that serves the status endpoint.
type Server struct {
	addr   string
	source Source
	burn   BurnSource
	ln     net.Listener
	http   *httpserver.Server
}

// NewServer returns a server that listens on addr. If burn is nil, PathBurn answers 404.
func NewServer(addr string, source Source, burn BurnSource) *Server {
	return &Server{addr: addr, source: source, burn: burn}
}

// Name implements kernel.Unit.
func (s *Server) Name() string { return "status" }

const (
	httpTimeout = 5 * time.Second
	idleTimeout = time.Minute
)

// Provision implements kernel.Provisioner.
func (s *Server) Provision(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	s.ln = ln
	base := &http.Server{ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: idleTimeout}
	s.http = httpserver.New(s.routes(), base, httpserver.Options{Name: s.Name()})
	s.http.SetConnectionLimits(connShare.Limits(limits.Sockets(0), limits.Memory()))
	return nil
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	mux.HandleFunc("GET "+PathReady, s.serveReady)
	mux.HandleFunc("GET "+PathBurn, s.serveBurn)
	mux.Handle("GET "+PathMetrics, expvar.Handler())
	return mux
}

// Run implements kernel.Runner.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	return s.http.Serve(s.ln)
}

// Close implements kernel.Closer.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.source())
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r := s.source(); !r.Ready || r.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

var errNoReport = errors.New("there is no report")

func (s *Server) serveBurn(w http.ResponseWriter, _ *http.Request) {
	if s.burn == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b, err := s.burn()
	if err == nil && len(b) == 0 {
		err = errNoReport
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
