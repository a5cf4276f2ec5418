package gateway

import (
	"sync"

	"fescuestand/internal/clock"
)

// maxAnnouncements bounds the announcements that are spread at a time.
const maxAnnouncements = 32

// announcements are recent events that all VMs need. Each VM that receives one forwards it.
type announcements[T any] struct {
	mu     sync.Mutex
	recent []announcement[T]
}

type announcement[T any] struct {
	value T
	at    clock.Time
}

// add has value included in this VM's beats for announceFor.
func (n *announcements[T]) add(now clock.Time, value T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.recent) < maxAnnouncements {
		n.recent = append(n.recent, announcement[T]{value, now})
	}
}

// current returns the announcements to include in a beat now, and drops the expired ones.
func (n *announcements[T]) current(now clock.Time) []T {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.recent[:0]
	var out []T
	for _, p := range n.recent {
		if now.Sub(p.at) < announceFor {
			kept = append(kept, p)
			out = append(out, p.value)
		}
	}
	n.recent = kept
	return out
}
