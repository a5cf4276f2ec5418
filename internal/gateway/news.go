package gateway

import (
	"sync"

	"fescuestand/internal/clock"
)

// maxNews is how many pieces of news are told at a time.
const maxNews = 32

// news is what all VMs must know of the last moments. Each VM that comes to know it passes it on.
type news[T any] struct {
	mu     sync.Mutex
	recent []piece[T]
}

type piece[T any] struct {
	what T
	at   clock.Time
}

// add passes what on for a while.
func (n *news[T]) add(now clock.Time, what T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.recent) < maxNews {
		n.recent = append(n.recent, piece[T]{what, now})
	}
}

// tell returns what is to be told now.
func (n *news[T]) tell(now clock.Time) []T {
	n.mu.Lock()
	defer n.mu.Unlock()
	keep := n.recent[:0]
	var out []T
	for _, p := range n.recent {
		if now.Sub(p.at) < tellFor {
			keep = append(keep, p)
			out = append(out, p.what)
		}
	}
	n.recent = keep
	return out
}
