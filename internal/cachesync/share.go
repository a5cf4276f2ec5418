package cachesync

import (
	"io"
	"net/http"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/peerhttp"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// Path is the HTTP path at which a VM serves its record of the engines' caches.
const Path = "/caches"

// Handler is an http.Handler that serves this VM's record of the engines' caches to other VMs.
type Handler struct{ Planner *place.Planner }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	all := &wire.Caches{}
	for _, c := range h.Planner.Caches() {
		all.Engines = append(all.Engines, encode(c))
	}
	body, err := proto.Marshal(all)
	if err != nil {
		log.WithError(err).Error("cache list encoding failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	peerhttp.Write(w, body)
}

// maxAnswerBytes bounds an answer. 4,300 engines with 300 parts each take 14 MB.
const maxAnswerBytes = 20 << 20

func decode(rd io.Reader) (*wire.Caches, error) {
	data, err := io.ReadAll(rd)
	if err != nil {
		return nil, err
	}
	var all wire.Caches
	return &all, proto.Unmarshal(data, &all)
}
