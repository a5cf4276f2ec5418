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
	// linkFor is how long a VM is told load after it has told its own: VMs whose
	// lists differ for a moment don't agree on the active set.
	linkFor = 2 * time.Second
	// busyFor is how long a VM that had requests in hand counts as one that serves
	// callers: longer than the pauses between its requests.
	busyFor = 2 * time.Second
	// chosenFor is how long a choice of VMs holds while nothing is heard that would
	// change it.
	chosenFor = 100 * time.Millisecond
	// stalled is the pause between two looks for missing beats from which this VM
	// was stopped itself: the beats wait to be read.
	stalled = time.Second
)

// link is what this VM knows of another one that tells it its load.
type link struct {
	heardAt  clock.Time // zero if never
	wantedAt clock.Time // since when its beats are expected
	busyAt   clock.Time // when it last told of requests in hand, zero if never
	reads    bool       // it reads the endpoints' entries
	readAt   clock.Time // when it last did
}

func (l *link) take(now clock.Time, h *heard) {
	l.heardAt = now
	if h.busy {
		l.busyAt = now
	}
	l.reads = h.readAgeMs > 0
	l.readAt = now.Add(-time.Duration(h.readAgeMs) * time.Millisecond)
}

// chosen are the VMs that are chosen by the list as it is.
type chosen struct {
	at     clock.Time
	stale  bool
	named  []serving.VM        // to callers
	active map[string]struct{} // by address for datagrams
}

// choose returns the choice as it is now.
func (m *Members) choose(now clock.Time) *chosen {
	c := &m.chosen
	if c.active != nil && !c.stale && now.Sub(c.at) < chosenFor {
		return c
	}
	ready, all, rate := m.candidates(now)
	c.named = serving.ChooseAdvertised(ready, rate)
	c.active = map[string]struct{}{}
	for _, v := range serving.ActiveSet(all, rate) {
		c.active[v.Peer] = struct{}{}
	}
	for peer, e := range m.list.Entries() {
		if e.Leader && e.Alive(now) {
			c.active[peer] = struct{}{}
		}
	}
	if own := m.list.Own(); own.Leader {
		c.active[own.Peer] = struct{}{}
	}
	c.at, c.stale = now, false
	return c
}

// candidates returns the VMs that take callers, all that stay, and the rate of all
// requests.
func (m *Members) candidates(now clock.Time) (ready, all []serving.VM, rate float64) {
	add := func(r *swim.Record) {
		if r.Leaving {
			return
		}
		capacity := cmp.Or(r.Capacity, m.own.Capacity)
		v := serving.VM{Address: r.Caller, Peer: r.Peer, Zone: r.Zone, Capacity: capacity}
		all = append(all, v)
		if r.Ready {
			ready = append(ready, v)
			rate += float64(r.Requests)
		}
	}
	add(m.list.Own())
	for _, e := range m.list.Entries() {
		if e.Alive(now) {
			add(&e.Record)
		}
	}
	return ready, all, rate
}

// Active tells whether this VM is one of the active set.
func (m *Members) Active() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isActive(m.clock.Now(), m.own.Peer)
}

func (m *Members) isActive(now clock.Time, peer string) bool {
	_, in := m.choose(now).active[peer]
	return in
}

// beatTargets returns the addresses that this VM tells its load: the active set, if it
// is one of it or serves callers all the same, and those that tell theirs.
func (m *Members) beatTargets(busy bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	c := m.choose(now)
	_, active := c.active[m.own.Peer]
	m.watch(now, active)
	targets := map[string]struct{}{}
	if active || busy {
		for peer := range c.active {
			targets[peer] = struct{}{}
		}
	}
	for peer, l := range m.links {
		if l.heardAt != 0 && now.Sub(l.heardAt) < linkFor {
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

// watch accuses the VMs of the active set whose beats are missing, if this VM is one of
// it, and drops links that are no longer needed.
func (m *Members) watch(now clock.Time, active bool) {
	stopped := now.Sub(m.beatAt) > stalled
	m.beatAt = now
	for peer := range m.chosen.active {
		if m.links[peer] == nil && active && peer != m.own.Peer {
			m.links[peer] = &link{wantedAt: now}
		}
	}
	for peer, l := range m.links {
		_, wanted := m.chosen.active[peer]
		wanted = wanted && active
		if !wanted || stopped {
			l.wantedAt = now
		}
		e := m.list.Entries()[peer]
		since := now.Sub(max(l.heardAt, l.wantedAt, e.LastReceived()))
		switch {
		case wanted && since >= m.silenceNow() && e.Alive(now):
			m.list.DeclareFailed(now, peer)
			m.chosen.stale = true
		case !wanted && now.Sub(l.heardAt) > linkFor:
			delete(m.links, peer)
		}
	}
}

// silenceNow is how long a VM of the active set may be unheard: more than several of its
// beats, whose period grows with the active set.
func (m *Members) silenceNow() time.Duration {
	return max(silence, silentBeats*beatPeriodFor(len(m.chosen.active), true))
}

// silentBeats is how many beats in a row are missing from a silent VM.
const silentBeats = 4

// busy returns the addresses of the VMs that serve callers.
func (m *Members) busy() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []string
	for peer, l := range m.links {
		if l.busyAt != 0 && now.Sub(l.busyAt) < busyFor {
			out = append(out, peer)
		}
	}
	slices.Sort(out)
	return out
}
