// Package usage counts the requests of each workspace by windows of the time of day
// and reports each window once.
//
// Each VM counts what it has served and tells the others its totals, so that what a VM
// has counted outlives it. Totals replace older ones of the same process, so that a
// message may be lost, late or repeated.
package usage

import (
	"maps"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

// Counts are requests by the name of their workspace.
type Counts map[string]uint32

// add adds c2 to c.
func (c Counts) add(c2 Counts) {
	for name, n := range c2 {
		c[name] += n
	}
}

// raise replaces counts by larger ones of c2.
func (c Counts) raise(c2 Counts) {
	for name, n := range c2 {
		c[name] = max(c[name], n)
	}
}

const (
	// keptWindows of each process are remembered.
	keptWindows = 8
	// tellPeriod is the time between two tellings of totals. Those that have changed are
	// told timesTold times, as a message may be lost.
	tellPeriod = 500 * time.Millisecond
	timesTold  = 2
)

// Totals are what one process has counted in one window.
type Totals struct {
	Window int64
	Counts Counts
}

// Ledger holds the totals of all processes. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	own    map[int64]Counts
	untold map[int64]int // how often own windows are still to be told
	others map[string]map[int64]Counts
	newest int64
	told   clock.Time
}

// NewLedger returns an empty book.
func NewLedger() *Ledger {
	return &Ledger{own: map[int64]Counts{}, untold: map[int64]int{}, others: map[string]map[int64]Counts{}}
}

// RecordRequest counts a request of this process.
func (b *Ledger) RecordRequest(window int64, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(window)
	c := b.own[window]
	if c == nil {
		c = Counts{}
		b.own[window] = c
	}
	c[workspace]++
	b.untold[window] = timesTold
}

// begin drops the oldest windows when a newer one begins.
func (b *Ledger) begin(window int64) {
	if window <= b.newest {
		return
	}
	b.newest = window
	old := func(w int64, _ Counts) bool { return w <= window-keptWindows }
	maps.DeleteFunc(b.own, old)
	for source, windows := range b.others {
		maps.DeleteFunc(windows, old)
		if len(windows) == 0 {
			delete(b.others, source)
		}
	}
}

// DueTotals returns the own totals that are due to be told.
func (b *Ledger) DueTotals(now clock.Time) []Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.told) < tellPeriod {
		return nil
	}
	b.told = now
	var out []Totals
	for w, times := range b.untold {
		if c := b.own[w]; c != nil {
			out = append(out, Totals{w, maps.Clone(c)})
		}
		b.untold[w] = times - 1
		if times <= 1 {
			delete(b.untold, w)
		}
	}
	return out
}

// TotalsByProcess returns the totals that are known, by process. own names this one.
func (b *Ledger) TotalsByProcess(own string) map[string][]Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string][]Totals, len(b.others)+1)
	add := func(process string, windows map[int64]Counts) {
		for w, c := range windows {
			all[process] = append(all[process], Totals{w, maps.Clone(c)})
		}
	}
	for process, windows := range b.others {
		add(process, windows)
	}
	add(own, b.own)
	return all
}

// MergeTotals takes totals that another process has told.
func (b *Ledger) MergeTotals(process string, t Totals) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Window <= b.newest-keptWindows {
		return
	}
	b.begin(t.Window)
	windows := b.others[process]
	if windows == nil {
		windows = map[int64]Counts{}
		b.others[process] = windows
	}
	c := windows[t.Window]
	if c == nil {
		c = Counts{}
		windows[t.Window] = c
	}
	c.raise(t.Counts)
}

// Sum returns the totals of all processes in a window.
func (b *Ledger) Sum(window int64) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := Counts{}
	sum.add(b.own[window])
	for _, windows := range b.others {
		sum.add(windows[window])
	}
	return sum
}
