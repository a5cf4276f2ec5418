package scarcity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

// Load is held work and the number of requests.
type Load struct {
	Work  time.Duration
	Count int
}

// Held is what a VM holds for a service, by level.
type Held [Levels]Load

// maxReportAge is the age from which a report is ignored. Reports are up to a second old in a large fleet.
const maxReportAge = 1500 * time.Millisecond

type report struct {
	at        clock.Time
	byService map[uint32]Held
}

// View is what the other VMs have reported that they hold. It isn't safe for concurrent use.
type View struct{ peers map[string]report }

// NewView returns a view without reports.
func NewView() *View { return &View{peers: map[string]report{}} }

// Receive replaces the report of a VM, and drops those that are too old.
func (v *View) Receive(now clock.Time, vm string, held map[uint32]Held) {
	v.peers[vm] = report{now, held}
	for name, r := range v.peers {
		if now.Sub(r.at) > maxReportAge {
			delete(v.peers, name)
		}
	}
}

// Key returns a short identifier of a service for messages between VMs.
func Key(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// Held returns the sum of the reports on the service with a Key.
func (v *View) Held(now clock.Time, service uint32) Held {
	var sum Held
	for _, r := range v.peers {
		if now.Sub(r.at) > maxReportAge {
			continue
		}
		for level, l := range r.byService[service] {
			sum[level].Work += l.Work
			sum[level].Count += l.Count
		}
	}
	return sum
}

// Above returns the work of the levels more urgent than level.
func (h Held) Above(level int) time.Duration {
	var sum time.Duration
	for _, l := range h[:level] {
		sum += l.Work
	}
	return sum
}
