package exchange

import (
	"slices"
	"sync"
)

// History is the connections that have carried a request, which don't carry it again: a late copy of the earlier response
// would be taken for that to its repetition, however many exchanges are between them. The zero value is an empty one. It
// is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	serials []uint64
}

func (h *History) add(serial uint64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serials = append(h.serials, serial)
}

func (h *History) has(serial uint64) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.serials, serial)
}
