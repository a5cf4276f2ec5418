package cachesync

import (
	"io"
	"net/http"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// Path is where a VM answers for what it believes of caches.
const Path = "/caches"

// Handler is an http.Handler that gives other VMs what this one believes.
type Handler struct{ Planner *place.Planner }

// ServeHTTP implements http.Handler.
func (s *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	all := &wire.Caches{}
	for _, c := range s.Planner.Caches() {
		all.Engines = append(all.Engines, encode(c))
	}
	body, err := proto.Marshal(all)
	if err != nil {
		log.WithError(err).Error("caches not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A VM that has gone asks another one.
	_, _ = w.Write(body)
}

// maxCaches bounds an answer: 4,300 engines with 300 parts each take 14 MB.
const maxCaches = 32 << 20

func decode(rd io.Reader) (*wire.Caches, error) {
	data, err := io.ReadAll(io.LimitReader(rd, maxCaches))
	if err != nil {
		return nil, err
	}
	var all wire.Caches
	return &all, proto.Unmarshal(data, &all)
}
