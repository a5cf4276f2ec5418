package gossip

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// censusPeriod is the least time between two lines on the VMs: a line for each VM and
// change would be many thousands where hundreds of VMs start together.
const censusPeriod = time.Second

// census counts the VMs as one of them sees them, itself included.
type census struct {
	Alive   int
	Silent  int // remembered, and not believed to live
	Leaving int
	Active  int
	Named   int // to callers
}

// census returns the counts as they are now.
func (m *Members) census(now clock.Time) census {
	c := m.choose(now)
	n := census{Alive: 1, Active: len(c.active), Named: len(c.named)}
	for _, e := range m.list.Entries() {
		switch {
		case !e.Alive(now):
			n.Silent++
		case e.Leaving:
			n.Leaving++
		default:
			n.Alive++
		}
	}
	return n
}

// logCensus logs the counts if they have changed.
func (m *Members) logCensus() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.countedAt != 0 && now.Sub(m.countedAt) < censusPeriod {
		return
	}
	n := m.census(now)
	if n == m.counted {
		return
	}
	m.counted, m.countedAt = n, now
	_, active := m.chosen.active[m.own.Peer]
	log.WithField("alive", n.Alive).WithField("silent", n.Silent).WithField("leaving", n.Leaving).
		WithField("active", n.Active).WithField("named", n.Named).WithField("is_active", active).Info("VMs counted")
}
