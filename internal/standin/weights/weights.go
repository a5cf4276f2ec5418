// Package weights is the stand-in for the rate-limited weight store.
package weights

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

// FaultOutage makes the store answer 503.
const FaultOutage = "outage"

// chunk is how much one fetch takes from the shared rate at a time, so that
// fetches at the same time share it evenly.
const chunk = 1 << 20

// Store is the weight store. It sends no weights: a fetch only takes the time
// that the bytes would take.
type Store struct {
	size   int64
	sizes  map[string]int64 // by model/version
	rate   int64
	limit  *rate.Limiter
	faults *httpjson.Faults
}

// New returns a store with a total rate in bytes a second. A model version
// that is not in sizes has the given size.
func New(bytesPerSecond, size int64, sizes map[string]int64) *Store {
	return &Store{
		size:   size,
		sizes:  sizes,
		rate:   bytesPerSecond,
		limit:  rate.NewLimiter(rate.Limit(bytesPerSecond), chunk),
		faults: httpjson.NewFaults(FaultOutage),
	}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathSize, s.serveSize)
	mux.HandleFunc("GET "+httpapi.PathRate, s.serveRate)
	mux.HandleFunc("POST "+httpapi.PathFetch, s.fetch)
	mux.Handle("POST /fault", s.faults)
	return mux
}

func (s *Store) sizeOf(r *http.Request) int64 {
	key := r.FormValue("model") + "/" + r.FormValue("version")
	if size, ok := s.sizes[key]; ok {
		return size
	}
	return s.size
}

func (s *Store) up(w http.ResponseWriter) bool {
	if _, on := s.faults.Consume(FaultOutage, ""); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, FaultOutage, "the weight store is down")
		return false
	}
	return true
}

func (s *Store) serveSize(w http.ResponseWriter, r *http.Request) {
	if s.up(w) {
		httpjson.Write(w, httpapi.Size{Bytes: s.sizeOf(r)})
	}
}

func (s *Store) serveRate(w http.ResponseWriter, _ *http.Request) {
	if s.up(w) {
		httpjson.Write(w, httpapi.Rate{BytesPerSecond: s.rate})
	}
}

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.up(w) {
		return
	}
	start := time.Now()
	for left := s.sizeOf(r); left > 0; left -= chunk {
		if err := s.limit.WaitN(r.Context(), int(min(left, chunk))); err != nil {
			httpjson.Abort()
		}
	}
	w.Header().Set("Fetch-Time", time.Since(start).String())
	httpjson.Write(w, httpapi.Size{Bytes: s.sizeOf(r)})
}
