package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

type timedReport struct {
	at time.Time
	httpapi.Report
}

// HistoryAnswer is the response body of GET /history.
type HistoryAnswer struct {
	Orders []HistoryEntry `json:"orders"`
}

func (r *run) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathState, r.serveState)
	mux.HandleFunc("GET "+httpapi.PathReport, r.serveReport)
	mux.HandleFunc("GET "+httpapi.PathCacheEvents, r.serveCacheEvents)
	mux.HandleFunc("POST "+httpapi.PathGenerate, r.serveGenerate)
	mux.HandleFunc("POST "+httpapi.PathPrefill, r.servePrefill)
	mux.HandleFunc("POST "+httpapi.PathExport, r.serveExport)
	mux.HandleFunc("POST "+httpapi.PathKV+"{id}", r.serveKV)
	mux.HandleFunc("POST "+httpapi.PathOrder, r.serveOrder)
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, HistoryAnswer{Orders: r.history.Entries()})
	})
	mux.HandleFunc("GET /attempts", r.serveAttempts)
	mux.HandleFunc("POST /fault", r.serveFault)
	return mux
}

// serveFault injects a fault. A crash takes effect immediately, without a further request.
func (r *run) serveFault(w http.ResponseWriter, req *http.Request) {
	r.faults.ServeHTTP(w, req)
	if _, on := r.faults.Consume(FaultCrash, ""); on {
		r.faults.Remove(FaultCrash)
		_ = http.NewResponseController(w).Flush()
		time.AfterFunc(time.Millisecond, r.crash)
	}
}

func (r *run) serveState(w http.ResponseWriter, _ *http.Request) {
	if f, on := r.faults.Consume(FaultSlowState, ""); on {
		clock.Sleep(r.ctx, f.Delay.D())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	httpjson.Write(w, driver.EngineState{
		Incarnation: r.incarnation,
		Role:        r.role,
		Changing:    r.activeOrders > 0,
		Loaded:      append([]driver.Loaded{}, r.loaded...),
		Running:     len(r.batch),
		Queued:      len(r.queue),
		Fence:       r.fence,
		LastOrder:   r.lastOrder,
	})
}

// serveReport answers with the load as it was ReportLag ago, since a real engine's report is delayed too.
func (r *run) serveReport(w http.ResponseWriter, _ *http.Request) {
	lag := r.cfg.ReportLag
	if f, on := r.faults.Consume(FaultStaleReport, ""); on {
		lag += f.Delay.D()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.reports = append(r.reports, timedReport{now, r.report()})
	for len(r.reports) > 1 && now.Sub(r.reports[1].at) >= lag {
		r.reports = r.reports[1:]
	}
	rep := r.reports[0].Report
	rep.AgeMS = now.Sub(r.reports[0].at).Milliseconds()
	httpjson.Write(w, rep)
}

func (r *run) report() httpapi.Report {
	rep := httpapi.Report{
		Running:         len(r.batch),
		Queued:          len(r.queue),
		PrefillRate:     r.cfg.PrefillRate,
		DecodeStepUS:    r.decodeStepTime.Microseconds(),
		FreeCacheBlocks: r.cache.free(),
	}
	for _, s := range r.batch {
		if s.prefillLeft > 0 {
			rep.PrefillRequests++
			rep.QueuedTokens += int(s.prefillLeft)
		}
	}
	for _, s := range r.queue {
		rep.PrefillRequests++
		rep.QueuedTokens += s.promptTokens()
	}
	return rep
}

func (r *run) serveCacheEvents(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.FormValue("after"), 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	httpjson.Write(w, httpapi.CacheEvents{Events: r.cache.eventsAfter(after, time.Now())})
}

// serveKV gives an exported KV cache to another engine. Each can be fetched once.
func (r *run) serveKV(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.exportedKV[req.PathValue("id")]
	if !ok {
		httpjson.Refuse(w, http.StatusNotFound, "no-kv", "not here any more")
		return
	}
	delete(r.exportedKV, h.ID)
	httpjson.Write(w, h)
}

// retainKV keeps a KV cache for kvRetention, so that another engine can fetch it.
func (r *run) retainKV(tokens int) driver.KVHandle {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := driver.KVHandle{
		Endpoint: r.cfg.Address,
		ID:       randomID(),
		Tokens:   tokens,
		Bytes:    int64(tokens) * r.cfg.KVPerToken,
	}
	r.exportedKV[h.ID] = h
	time.AfterFunc(kvRetention, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.exportedKV, h.ID)
	})
	return h
}

func (r *run) serveExport(w http.ResponseWriter, req *http.Request) {
	var body httpapi.Export
	if !httpjson.Read(w, req, &body) {
		return
	}
	r.mu.Lock()
	s := r.removeDecoding(body.Attempt)
	if s != nil {
		s.end(exported)
	}
	r.mu.Unlock()
	if s == nil {
		httpjson.Refuse(w, http.StatusNotFound, "no-attempt", body.Attempt)
		return
	}
	httpjson.Write(w, r.retainKV(httpapi.Tokens(s.req.Prompt)+s.pos))
}

// removeDecoding takes an attempt out of the batch. It returns nil unless the attempt is decoding.
func (r *run) removeDecoding(attempt string) *sequence {
	for i, s := range r.batch {
		if s.req.Attempt == attempt && s.prefillLeft == 0 {
			r.batch = append(r.batch[:i:i], r.batch[i+1:]...)
			return s
		}
	}
	return nil
}

// poisoned reports whether the prompt contains the text of FaultPoison. It consumes a use of the fault
// only if so.
func (r *run) poisoned(prompt []byte) bool {
	f, on := r.faults.Peek(FaultPoison, "")
	if !on || f.Text == "" || !strings.Contains(string(prompt), f.Text) {
		return false
	}
	r.faults.Consume(FaultPoison, "")
	return true
}

func postExpectOK(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s answers %s", url, resp.Status)
	}
	return nil
}
