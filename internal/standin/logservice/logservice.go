// Package logservice is a fake of the platform's append-only log for tests and the demo. It keeps the
// records in memory only: a restart loses all of them.
package logservice

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

// Names of the faults that POST /fault injects.
const (
	FaultOutage     = "outage"      // answers 503 without appending
	FaultCut        = "cut"         // closes connections unanswered, without appending
	FaultSlow       = "slow"        // waits Delay before processing a request
	FaultLostAnswer = "lost-answer" // appends, then closes the connection
	FaultLateAppend = "late-append" // closes the connection, appends after Delay
	FaultStaleRead  = "stale-read"  // hides the newest Factor records from readers
)

const (
	defaultAppendsPerSecond = 400
	defaultKeepRecords      = 1_000_000
	defaultKeepTime         = time.Hour
	defaultPage             = 1000    // records
	defaultMaxRecord        = 1 << 20 // bytes
	burstShare              = 4       // the burst is 1/burstShare of the appends per second
	maxWait                 = time.Minute
)

// Config configures a Service. Zero fields take defaults.
type Config struct {
	AppendsPerSecond float64
	MaxRecords       int
	Retention        time.Duration
	MaxRecordBytes   int
}

// Service is the fake log service.
type Service struct {
	cfg     Config
	limit   *rate.Limiter
	faults  *httpjson.Faults
	mu      sync.Mutex
	streams map[string]*stream
}

// New returns a service with empty streams.
func New(cfg Config) *Service {
	cfg.AppendsPerSecond = cmp.Or(cfg.AppendsPerSecond, defaultAppendsPerSecond)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, defaultKeepRecords)
	cfg.Retention = cmp.Or(cfg.Retention, defaultKeepTime)
	cfg.MaxRecordBytes = cmp.Or(cfg.MaxRecordBytes, defaultMaxRecord)
	burst := max(1, int(cfg.AppendsPerSecond)/burstShare)
	return &Service{
		cfg:   cfg,
		limit: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), burst),
		faults: httpjson.NewFaults(FaultOutage, FaultCut, FaultSlow, FaultLostAnswer,
			FaultLateAppend, FaultStaleRead),
		streams: map[string]*stream{},
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpapi.PathStreams+"{stream}", s.append)
	mux.HandleFunc("GET "+httpapi.PathStreams+"{stream}", s.read)
	mux.Handle("POST /fault", s.faults)
	return mux
}

func (s *Service) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream(s.cfg.MaxRecords, s.cfg.Retention)
		s.streams[name] = st
	}
	return st
}

// reachable applies the faults that take effect before a request is processed. It returns false if it
// has answered.
func (s *Service) reachable(w http.ResponseWriter, r *http.Request) bool {
	client := r.Header.Get(httpapi.HeaderClient)
	if _, on := s.faults.Consume(FaultCut, client); on {
		httpjson.Abort()
	}
	if _, on := s.faults.Consume(FaultOutage, client); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, FaultOutage, "the log service is down")
		return false
	}
	if f, on := s.faults.Consume(FaultSlow, client); on {
		time.Sleep(f.Delay.D())
	}
	return true
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	if !s.reachable(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.MaxRecordBytes)))
	if err != nil {
		httpjson.Refuse(w, http.StatusRequestEntityTooLarge, "bad-record", err.Error())
		return
	}
	if !s.limit.Allow() {
		httpjson.Refuse(w, http.StatusTooManyRequests, "append-rate", "over the appends a second")
		return
	}
	st, client := s.stream(r.PathValue("stream")), r.Header.Get(httpapi.HeaderClient)
	if f, on := s.faults.Consume(FaultLateAppend, client); on {
		time.AfterFunc(f.Delay.D(), func() { st.append(data) })
		httpjson.Abort()
	}
	offset := st.append(data)
	if _, on := s.faults.Consume(FaultLostAnswer, client); on {
		httpjson.Abort()
	}
	httpjson.Write(w, httpapi.Appended{Offset: offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	if !s.reachable(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil || from == 0 {
		httpjson.Refuse(w, http.StatusBadRequest, "bad-offset", "from: allowed: a number from 1 on")
		return
	}
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	limit = cmp.Or(max(0, limit), defaultPage)
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	hide := uint64(0)
	if f, on := s.faults.Consume(FaultStaleRead, r.Header.Get(httpapi.HeaderClient)); on {
		hide = uint64(max(1, f.Factor))
		wait = 0
	}
	page, expired := s.stream(r.PathValue("stream")).read(r.Context(), from, limit, wait, hide)
	if expired {
		httpjson.Fail(w, http.StatusGone, httpapi.Failure{
			Name: httpapi.Expired, First: page.First, End: page.End,
		})
		return
	}
	// A partition that starts during the wait loses the answer too.
	if _, on := s.faults.Consume(FaultCut, r.Header.Get(httpapi.HeaderClient)); on {
		httpjson.Abort()
	}
	httpjson.Write(w, page)
}
