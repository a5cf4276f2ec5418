package gateway

import (
	"sync"

	"fescuestand/internal/clock"
	"fescuestand/internal/wire"
)

// maxCrashNews is how many crashes are told at a time.
const maxCrashNews = 32

// crashNews are the crashes of the last moments, which are passed on to all VMs: a
// request that crashes endpoints comes again at any of them.
type crashNews struct {
	mu     sync.Mutex
	recent []toldCrash
}

type toldCrash struct {
	crash *wire.Crash
	at    clock.Time
}

// add passes c on for a while.
func (n *crashNews) add(now clock.Time, c *wire.Crash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.recent) < maxCrashNews {
		n.recent = append(n.recent, toldCrash{c, now})
	}
}

// tell returns what is to be told now.
func (n *crashNews) tell(now clock.Time) []*wire.Crash {
	n.mu.Lock()
	defer n.mu.Unlock()
	keep := n.recent[:0]
	var out []*wire.Crash
	for _, t := range n.recent {
		if now.Sub(t.at) < tellFor {
			keep = append(keep, t)
			out = append(out, t.crash)
		}
	}
	n.recent = keep
	return out
}
