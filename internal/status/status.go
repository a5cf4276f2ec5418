// Package status serves what operators read of one process: its state as JSON,
// its service-level burn and its expvar metrics. The endpoint is for the
// control room's network only and takes no orders.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"
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
	Ready        bool       `json:"ready"`   // there is an accepted sheet
	CommitsReady      bool       `json:"commits"` // the commits stream was read to its end: commits can run
	Leaving      bool       `json:"leaving"`
	SheetVersion uint64     `json:"sheet_version"`
	Log          Log        `json:"log"`
	Requests     int        `json:"requests"` // in hand now
	Endpoints    []Endpoint `json:"endpoints,omitempty"`
	Members      []Member   `json:"members,omitempty"`
	Scopes       []Scope    `json:"scopes,omitempty"`
}

// Log is the process's view of the log service.
type Log struct {
	Healthy   bool   `json:"healthy"`
	LastError string `json:"last_error,omitempty"`
	Offset    uint64 `json:"offset"` // of the config stream, next to be read
}

// Endpoint is an engine or an endpoint of a plain service as this process
// sees it.
type Endpoint struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	Role     string `json:"role,omitempty"`
	Phase    string `json:"phase"`
	InFlight int    `json:"in_flight"`
	Reason   string `json:"reason,omitempty"` // why it gets less or no work
}

// Member is a VM as this process sees it.
type Member struct {
	VM    string `json:"vm"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Scope is the authority over one engine.
type Scope struct {
	Engine string `json:"engine"`
	Holder string `json:"holder"` // VM
	Token  uint64 `json:"token"`
	HeldHere   bool   `json:"held"` // by this process, with a running lease
	Activity  string `json:"doing,omitempty"`
}

// Source gives the current report. It must not block.
type Source func() Report

// BurnSource gives the process's burn report in its JSON form.
type BurnSource func() ([]byte, error)

// Server is the kernel unit that serves the status endpoint.
type Server struct {
	addr   string
	source Source
	burn   BurnSource
	ln     net.Listener
	http   *http.Server
}

// NewServer returns a server for addr. burn may be nil.
func NewServer(addr string, source Source, burn BurnSource) *Server {
	return &Server{addr: addr, source: source, burn: burn}
}

// Name implements kernel.Unit.
func (s *Server) Name() string { return "status" }

const readTimeout = 5 * time.Second

// Provision implements kernel.Provisioner.
func (s *Server) Provision(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	s.ln = ln
	s.http = &http.Server{Handler: s.routes(), ReadTimeout: readTimeout, WriteTimeout: readTimeout}
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
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
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
	}
}

func (s *Server) serveBurn(w http.ResponseWriter, _ *http.Request) {
	if s.burn == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b, err := s.burn()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
