// Package usage counts the requests of each workspace by time-of-day windows and reports each window
// to billing once.
//
// Each VM counts the requests that it has served and sends its totals to the other VMs, so that they
// survive its process. The totals of a process only grow, and a receiver keeps the maximum: messages
// may be lost, delayed or duplicated.
package usage

import (
	"maps"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

// Counts holds numbers of requests by the name of the workspace.
type Counts map[string]uint32

// add adds the counts of c2 to those of c.
func (c Counts) add(c2 Counts) {
	for name, n := range c2 {
		c[name] += n
	}
}

// mergeMax sets each count of c to the maximum of c and c2.
func (c Counts) mergeMax(c2 Counts) {
	for name, n := range c2 {
		c[name] = max(c[name], n)
	}
}

const (
	// maxWindows is the number of newest windows that are kept of each process.
	maxWindows = 8
	// sendInterval is the minimum time between two sends of totals. Changed totals are sent
	// sendCount times, as a message may be lost.
	sendInterval = 500 * time.Millisecond
	sendCount    = 2
)

// Totals holds the counts of one window, of one process or summed over all.
type Totals struct {
	Window int64
	Counts Counts
}

// Ledger holds the totals of all processes. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	own          map[int64]Counts            // by window
	pendingSends map[int64]int               // how often to send each own window still
	peers        map[string]map[int64]Counts // by process and window
	decided      map[int64]Counts            // counts decided for reports, by window
	newest       int64                       // window
	lastSent     clock.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: map[int64]Counts{}, pendingSends: map[int64]int{}, peers: map[string]map[int64]Counts{}, decided: map[int64]Counts{}}
}

// RecordRequest counts a request that this process serves for a workspace.
func (l *Ledger) RecordRequest(window int64, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(window)
	c := l.own[window]
	if c == nil {
		c = Counts{}
		l.own[window] = c
	}
	c[workspace]++
	l.pendingSends[window] = sendCount
}

// advance evicts windows that are too old once window is the newest.
func (l *Ledger) advance(window int64) {
	if window <= l.newest {
		return
	}
	l.newest = window
	old := func(w int64, _ Counts) bool { return w <= window-maxWindows }
	maps.DeleteFunc(l.own, old)
	maps.DeleteFunc(l.decided, old)
	for process, windows := range l.peers {
		maps.DeleteFunc(windows, old)
		if len(windows) == 0 {
			delete(l.peers, process)
		}
	}
}

// DueTotals returns this process's totals that are due to be sent, and counts them as sent.
func (l *Ledger) DueTotals(now clock.Time) []Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastSent) < sendInterval {
		return nil
	}
	l.lastSent = now
	var out []Totals
	for w, sends := range l.pendingSends {
		if c := l.own[w]; c != nil {
			out = append(out, Totals{w, maps.Clone(c)})
		}
		l.pendingSends[w] = sends - 1
		if sends <= 1 {
			delete(l.pendingSends, w)
		}
	}
	return out
}

// TotalsByProcess returns the totals of all processes; own is the name of this process.
func (l *Ledger) TotalsByProcess(own string) map[string][]Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]Totals, len(l.peers)+1)
	add := func(process string, windows map[int64]Counts) {
		for w, c := range windows {
			all[process] = append(all[process], Totals{w, maps.Clone(c)})
		}
	}
	for process, windows := range l.peers {
		add(process, windows)
	}
	add(own, l.own)
	return all
}

// MergeTotals merges totals of another process, unless their window is too old.
func (l *Ledger) MergeTotals(process string, t Totals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Window <= l.newest-maxWindows {
		return
	}
	l.advance(t.Window)
	windows := l.peers[process]
	if windows == nil {
		windows = map[int64]Counts{}
		l.peers[process] = windows
	}
	c := windows[t.Window]
	if c == nil {
		c = Counts{}
		windows[t.Window] = c
	}
	c.mergeMax(t.Counts)
}

// SetDecided records the counts that were decided for the report of a window, unless others are
// recorded already.
func (l *Ledger) SetDecided(t Totals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.decided[t.Window]; !ok && t.Window > l.newest-maxWindows {
		l.decided[t.Window] = maps.Clone(t.Counts)
	}
}

// Decided returns the counts that were decided for the report of a window, if this process knows them.
func (l *Ledger) Decided(window int64) (t Totals, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.decided[window]
	return Totals{window, maps.Clone(c)}, ok
}

// AllDecided returns the decided counts of all windows that this process knows.
func (l *Ledger) AllDecided() []Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Totals, 0, len(l.decided))
	for w, c := range l.decided {
		out = append(out, Totals{w, maps.Clone(c)})
	}
	return out
}

// Sum returns the counts of a window, summed over all processes.
func (l *Ledger) Sum(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Counts{}
	sum.add(l.own[window])
	for _, windows := range l.peers {
		sum.add(windows[window])
	}
	return sum
}
