package gossip

import (
	"cmp"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/serving"
	"fescuestand/internal/swim"
)

const (
	// linkTTL is how long this VM sends its load to a VM that has sent its own: VMs whose lists
	// differ for a moment compute different active sets.
	linkTTL = 2 * time.Second
	// busyWindow is how long after its last outstanding request a VM counts as one that serves
	// callers: longer than the pauses between its requests.
	busyWindow = 2 * time.Second
	// selectionTTL is how long a selection of VMs is reused while no message arrives that would
	// change it.
	selectionTTL = 100 * time.Millisecond
	// stallThreshold is the time between two checks for missing beats from which this VM is
	// assumed to have been stopped itself: the beats wait in its socket.
	stallThreshold = time.Second
)

// link tracks another VM that exchanges load beats with this one.
type link struct {
	receivedAt    clock.Time // last load beat, zero if none
	expectedSince clock.Time // since when its beats are expected
	busyAt        clock.Time // last beat with outstanding requests, zero if none
	isReader      bool       // it reads the endpoints' entries
	readAt        clock.Time // when it last did
}

func (l *link) update(now clock.Time, report *loadReport) {
	l.receivedAt = now
	if report.busy {
		l.busyAt = now
	}
	l.isReader = report.readAgeMs > 0
	l.readAt = now.Add(-time.Duration(report.readAgeMs) * time.Millisecond)
}

// selection holds the advertised VMs and the active set, computed from the list at one moment.
type selection struct {
	at         clock.Time
	stale      bool
	advertised []serving.VM        // to callers
	active     map[string]struct{} // by address for datagrams
}

// selectVMs returns the current selection. The leader is always in the active set.
func (m *Members) selectVMs(now clock.Time) *selection {
	s := &m.selected
	if s.active != nil && !s.stale && now.Sub(s.at) < selectionTTL {
		return s
	}
	ready, all, rate := m.candidates(now)
	s.advertised = serving.ChooseAdvertised(ready, rate)
	s.active = map[string]struct{}{}
	for _, v := range serving.ActiveSet(all, rate) {
		s.active[v.Peer] = struct{}{}
	}
	for peer, e := range m.detector.Entries() {
		if e.Leader && e.Alive(now) {
			s.active[peer] = struct{}{}
		}
	}
	if own := m.detector.Own(); own.Leader {
		s.active[own.Peer] = struct{}{}
	}
	s.at, s.stale = now, false
	return s
}

// candidates returns the VMs that accept callers, all VMs that are alive and not leaving, and the
// total request rate. VMs that reach no endpoint accept callers only if no other VM does: the endpoints
// are down then, and any VM refuses as well as another.
func (m *Members) candidates(now clock.Time) (ready, all []serving.VM, rate float64) {
	var cutOff []serving.VM
	add := func(r *swim.Record) {
		if r.Leaving {
			return
		}
		capacity := cmp.Or(r.Capacity, m.own.Capacity)
		v := serving.VM{Address: r.Caller, Peer: r.Peer, Zone: r.Zone, Capacity: capacity}
		all = append(all, v)
		switch {
		case !r.Ready:
			return
		case r.CutOff:
			cutOff = append(cutOff, v)
		default:
			ready = append(ready, v)
		}
		rate += float64(r.Requests)
	}
	add(m.detector.Own())
	for _, e := range m.detector.Entries() {
		if e.Alive(now) {
			add(&e.Record)
		}
	}
	if len(ready) == 0 {
		ready = cutOff
	}
	return ready, all, rate
}

// IsActive reports whether this VM is in the active set.
func (m *Members) IsActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isActive(m.clock.Now(), m.own.Peer)
}

func (m *Members) isActive(now clock.Time, peer string) bool {
	_, in := m.selectVMs(now).active[peer]
	return in
}

// beatTargets returns the addresses of the VMs to which this VM sends its load: the active set, if
// it is in the set or is busy nonetheless, and the VMs that send it their load.
func (m *Members) beatTargets(busy bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	s := m.selectVMs(now)
	_, active := s.active[m.own.Peer]
	m.checkBeats(now, active)
	targets := map[string]struct{}{}
	if active || busy {
		for peer := range s.active {
			targets[peer] = struct{}{}
		}
	}
	for peer, l := range m.links {
		if l.receivedAt != 0 && now.Sub(l.receivedAt) < linkTTL {
			targets[peer] = struct{}{}
		}
	}
	delete(targets, m.own.Peer)
	out := make([]string, 0, len(targets))
	for peer := range targets {
		out = append(out, peer)
	}
	return out
}

// checkBeats declares those VMs of the active set failed whose beats are missing, if this VM is in
// the set, and deletes the links that are no longer needed. After a stall of this VM itself, the
// wait for beats starts again.
func (m *Members) checkBeats(now clock.Time, active bool) {
	stalled := now.Sub(m.beatsCheckAt) > stallThreshold
	m.beatsCheckAt = now
	for peer := range m.selected.active {
		if m.links[peer] == nil && active && peer != m.own.Peer {
			m.links[peer] = &link{expectedSince: now}
		}
	}
	for peer, l := range m.links {
		_, expected := m.selected.active[peer]
		expected = expected && active
		if !expected || stalled {
			l.expectedSince = now
		}
		e := m.detector.Entries()[peer]
		since := now.Sub(max(l.receivedAt, l.expectedSince, e.LastReceived()))
		switch {
		case expected && since >= m.currentSilenceTimeout() && e.Alive(now):
			m.detector.DeclareFailed(now, peer)
			m.selected.stale = true
		case !expected && now.Sub(l.receivedAt) > linkTTL:
			delete(m.links, peer)
		}
	}
}

// currentSilenceTimeout returns how long beats of a VM of the active set may be missing: at least
// missedBeats idle periods, which grow with the active set.
func (m *Members) currentSilenceTimeout() time.Duration {
	return max(silenceTimeout, missedBeats*beatPeriodFor(len(m.selected.active), true))
}

// missedBeats is the minimum number of missing beats in a row from which a VM counts as
// unresponsive.
const missedBeats = 4

// busyPeers returns the sorted addresses of the VMs that serve callers.
func (m *Members) busyPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []string
	for peer, l := range m.links {
		if l.busyAt != 0 && now.Sub(l.busyAt) < busyWindow {
			out = append(out, peer)
		}
	}
	slices.Sort(out)
	return out
}
