// Package weights is a fake of the rate-limited weight store, for tests and the demo.
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

// chunkBytes is how much one fetch takes from the shared rate limit at a time, so that concurrent
// fetches share it evenly.
const chunkBytes = 1 << 20

// Store is the fake weight store. It sends no weights: a fetch only takes as long as the transfer of the
// bytes would.
type Store struct {
	size   int64            // bytes of a model version that is not in sizes
	sizes  map[string]int64 // bytes by model/version
	rate   int64            // bytes per second
	limit  *rate.Limiter
	faults *httpjson.Faults
}

// New returns a store with a total rate of bytesPerSecond over all fetches. A model version that is not
// in sizes has the given size.
func New(bytesPerSecond, size int64, sizes map[string]int64) *Store {
	return &Store{
		size:   size,
		sizes:  sizes,
		rate:   bytesPerSecond,
		limit:  rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes),
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

func (s *Store) available(w http.ResponseWriter) bool {
	if _, on := s.faults.Consume(FaultOutage, ""); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, FaultOutage, "the weight store is down")
		return false
	}
	return true
}

func (s *Store) serveSize(w http.ResponseWriter, r *http.Request) {
	if s.available(w) {
		httpjson.Write(w, httpapi.Size{Bytes: s.sizeOf(r)})
	}
}

func (s *Store) serveRate(w http.ResponseWriter, _ *http.Request) {
	if s.available(w) {
		httpjson.Write(w, httpapi.Rate{BytesPerSecond: s.rate})
	}
}

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.available(w) {
		return
	}
	start := time.Now()
	for left := s.sizeOf(r); left > 0; left -= chunkBytes {
		if err := s.limit.WaitN(r.Context(), int(min(left, chunkBytes))); err != nil {
			httpjson.Abort()
		}
	}
	w.Header().Set("Fetch-Time", time.Since(start).String())
	httpjson.Write(w, httpapi.Size{Bytes: s.sizeOf(r)})
}
