// Package service is a fake of one endpoint of a plain service, for tests and the demo. It counts the
// executions of each idempotency key, so that a test detects a call that ran twice.
package service

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
	"fescuestand/internal/standin/oracle"
)

// Names of the faults that POST /fault injects.
const (
	FaultLostAnswer = "lost-answer" // executes, then closes the connection
	FaultLate       = "late"        // executes, then answers after Delay
	FaultCrossed    = "crossed"     // answers with the attempt id and body of another call
	FaultFail       = "fail"        // executes, then answers 500
	FaultRefuse     = "refuse"      // answers 503 without executing
	FaultSlow       = "slow"        // multiplies the service time by Factor
)

const (
	defaultServiceTime = 5 * time.Millisecond
	defaultWorkers     = 16
	maxBodyBytes       = 16 << 20
	outOfService       = "out-of-service"
)

// Config configures a Service. Zero fields take defaults.
type Config struct {
	Operations  []string // if empty, every operation is accepted
	ServiceTime time.Duration
	Workers     int           // calls executed concurrently; further calls are queued
	ReportLag   time.Duration // age of load reports
}

// Execution records how often a key was executed, and by which attempts.
type Execution struct {
	Operation string   `json:"operation"`
	Count     int      `json:"count"`
	Attempts  []string `json:"attempts"`
}

// Executions is the response body of GET /executions.
type Executions struct {
	Keys      map[string]*Execution `json:"keys"`      // calls with a key
	Unkeyed   map[string]int        `json:"unkeyed"`   // calls without a key, by operation
	Duplicate int                   `json:"duplicate"` // keys executed more than once
}

// Service is one fake endpoint.
type Service struct {
	cfg          Config
	faults       *httpjson.Faults
	workers      chan struct{}
	mu           sync.Mutex
	executed     Executions
	running      int
	queued       int
	previousCall lastCall
	reports      []timedReport
}

type lastCall struct {
	attempt string
	answer  []byte
}

type timedReport struct {
	at time.Time
	httpapi.Report
}

// New returns an idle endpoint.
func New(cfg Config) *Service {
	cfg.ServiceTime = cmp.Or(cfg.ServiceTime, defaultServiceTime)
	cfg.Workers = cmp.Or(cfg.Workers, defaultWorkers)
	return &Service{
		cfg: cfg,
		faults: httpjson.NewFaults(FaultLostAnswer, FaultLate, FaultCrossed, FaultFail,
			FaultRefuse, FaultSlow),
		workers:      make(chan struct{}, cfg.Workers),
		executed:     Executions{Keys: map[string]*Execution{}, Unkeyed: map[string]int{}},
		previousCall: lastCall{attempt: "another-attempt", answer: []byte("{}")},
	}
}

// Handler returns the endpoint's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpapi.PathCall+"{operation}", s.call)
	mux.HandleFunc("GET "+httpapi.PathReport, s.report)
	mux.HandleFunc("GET /executions", s.executions)
	mux.Handle("POST /fault", s.faults)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(httpapi.HeaderAttempt)
	w.Header().Set(httpapi.HeaderAttempt, attempt)
	operation := r.PathValue("operation")
	if len(s.cfg.Operations) > 0 && !slices.Contains(s.cfg.Operations, operation) {
		httpjson.Refuse(w, http.StatusNotFound, "unknown-operation", operation)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "bad-body", err.Error())
		return
	}
	if _, on := s.faults.Consume(FaultRefuse, ""); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, outOfService, "")
		return
	}
	s.execute(operation, r.Header.Get(httpapi.HeaderKey), attempt)
	s.answer(w, attempt, oracle.Answer(operation, body))
}

// execute waits for the service time and counts the execution. Like a real endpoint, it continues when
// the caller has disconnected.
func (s *Service) execute(operation, key, attempt string) {
	s.addTo(&s.queued, 1)
	s.workers <- struct{}{}
	s.addTo(&s.queued, -1)
	s.addTo(&s.running, 1)
	took := s.cfg.ServiceTime
	if f, on := s.faults.Consume(FaultSlow, ""); on {
		took = time.Duration(float64(took) * f.Factor)
	}
	time.Sleep(took)
	s.record(operation, key, attempt)
	s.addTo(&s.running, -1)
	<-s.workers
}

func (s *Service) addTo(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

func (s *Service) record(operation, key, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		s.executed.Unkeyed[operation]++
		return
	}
	e, ok := s.executed.Keys[key]
	if !ok {
		e = &Execution{Operation: operation}
		s.executed.Keys[key] = e
	}
	e.Count++
	e.Attempts = append(e.Attempts, attempt)
	if e.Count == 2 {
		s.executed.Duplicate++
	}
}

func (s *Service) answer(w http.ResponseWriter, attempt string, body []byte) {
	if _, on := s.faults.Consume(FaultLostAnswer, ""); on {
		httpjson.Abort()
	}
	if _, on := s.faults.Consume(FaultFail, ""); on {
		httpjson.Fail(w, http.StatusInternalServerError, httpapi.Failure{Name: "failed", Ran: true})
		return
	}
	if f, on := s.faults.Consume(FaultLate, ""); on {
		time.Sleep(f.Delay.D())
	}
	s.mu.Lock()
	other := s.previousCall
	s.previousCall = lastCall{attempt: attempt, answer: body}
	s.mu.Unlock()
	if _, on := s.faults.Consume(FaultCrossed, ""); on {
		attempt, body = other.attempt, other.answer
	}
	w.Header().Set(httpapi.HeaderAttempt, attempt)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, s.executed)
}

// report answers with the load as it was ReportLag ago, since a real endpoint's report is delayed too.
func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.reports = append(s.reports, timedReport{now, httpapi.Report{Running: s.running, Queued: s.queued}})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.ReportLag {
		s.reports = s.reports[1:]
	}
	rep := s.reports[0].Report
	rep.AgeMS = now.Sub(s.reports[0].at).Milliseconds()
	httpjson.Write(w, rep)
}
