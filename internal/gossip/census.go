package gossip

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// censusPeriod is the minimum time between two log lines with counts of VMs. A line for each VM and
// change would be many thousands where hundreds of VMs start together.
const censusPeriod = time.Second

// census counts the VMs by their state in this VM's table, itself included.
type census struct {
	Alive      int
	Silent     int // in the table, but not assumed alive
	Leaving    int
	Active     int
	Advertised int // to callers
}

// census returns the current counts.
func (m *Members) census(now clock.Time) census {
	s := m.selectVMs(now)
	n := census{Alive: 1, Active: len(s.active), Advertised: len(s.advertised)}
	for _, e := range m.detector.Entries() {
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
	if m.censusLoggedAt != 0 && now.Sub(m.censusLoggedAt) < censusPeriod {
		return
	}
	n := m.census(now)
	if n == m.loggedCensus {
		return
	}
	m.loggedCensus, m.censusLoggedAt = n, now
	_, active := m.selected.active[m.own.Peer]
	log.WithField("alive", n.Alive).WithField("silent", n.Silent).WithField("leaving", n.Leaving).
		WithField("active", n.Active).WithField("named", n.Advertised).WithField("is_active", active).Info("VM counts changed")
}
