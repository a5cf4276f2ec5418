// Package gossip keeps the gateways of a deployment aware of each other. The
// platform's member group says who there is; datagrams, several a second, say
// who is alive and what each has outstanding. Neither is needed for the other
// to go on: the store may be away, datagrams may be lost.
package gossip

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

const (
	// silence is how long a VM may be unheard until callers are no longer sent
	// to it. With beats each 100 to 360 ms several in a row are missing.
	silence = 1200 * time.Millisecond
	// unheard is how long a listed VM that was never heard counts as alive:
	// it starts as this one does.
	unheard = 2 * time.Second
	// forget is how long a VM that is neither listed nor heard is remembered.
	forget = 10 * time.Second
)

// Node is what a VM tells of itself.
type Node struct {
	Incarnation string // of its process
	Zone        string
	Caller      string // address for callers
	Peer        string // address for datagrams
	Capacity    uint32 // requests a second that the VM can take, zero if not known
}

// member is a VM as this one sees it.
type member struct {
	Node
	listedAt clock.Time // newest list of the group that names it
	firstAt  clock.Time
	heardAt  clock.Time // zero if never
	busyAt   clock.Time // when it last told of requests in hand, zero if never
	ready    bool
	leaving  bool
	informed bool       // it knows what engines have cached
	requests uint32     // a second that it gets, zero if not known
	reads    bool       // it reads the endpoints' entries
	readAt   clock.Time // when it last did
}

// Members is the table of VMs. It is safe for concurrent use.
type Members struct {
	clock clock.Clock
	own   Node

	started clock.Time

	mu         sync.Mutex
	known      map[string]*member    // by address for datagrams
	introduced map[string]clock.Time // addresses that peers told and that weren't heard yet
	ready      bool
	leaving    bool
	informed   bool
	requests   uint32
	readAt     clock.Time // last read of the endpoints' entries
}

// NewMembers returns a table that holds this VM only.
func NewMembers(c clock.Clock, own Node) *Members {
	return &Members{
		clock: c, own: own, started: c.Now(), known: map[string]*member{}, introduced: map[string]clock.Time{},
	}
}

// SetReady tells whether this VM takes callers.
func (m *Members) SetReady(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ready = ready
}

// setRequests takes the rate of this VM's requests.
func (m *Members) setRequests(perSecond uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests = perSecond
}

// Leave marks this VM as one that stops.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Ready tells whether this VM takes callers.
func (m *Members) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready && !m.leaving
}

// Leaving tells whether this VM was told to stop.
func (m *Members) Leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// List takes the group's members.
func (m *Members) List(nodes []Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, n := range nodes {
		if n.Peer == m.own.Peer {
			continue
		}
		k := m.known[n.Peer]
		if k == nil {
			k = m.add(now, n)
		}
		if k.Incarnation != n.Incarnation && k.heardAt == 0 {
			k.Node = n
		}
		k.listedAt = now
	}
	m.prune(now)
}

func (m *Members) add(now clock.Time, n Node) *member {
	k := &member{Node: n, firstAt: now, ready: true}
	m.known[n.Peer] = k
	delete(m.introduced, n.Peer)
	log.WithField("vm", n.Peer).WithField("zone", n.Zone).Info("VM joins")
	return k
}

func (m *Members) prune(now clock.Time) {
	for addr, k := range m.known {
		if now.Sub(k.listedAt) > forget && now.Sub(k.heardAt) > forget {
			delete(m.known, addr)
			log.WithField("vm", addr).Info("VM forgotten")
		}
	}
}

// heard is what a beat says of its sender.
type heard struct {
	Node
	ready, leaving bool
	informed       bool
	requests       uint32 // a second
	readAgeMs      uint32
	busy           bool // it has requests in hand
}

// Hear takes a beat. A beat of an earlier process under the same address can
// overtake one of its successor; it then counts until the next beat.
func (m *Members) hear(h heard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Peer == m.own.Peer {
		return
	}
	now := m.clock.Now()
	k := m.known[h.Peer]
	if k == nil {
		k = m.add(now, h.Node)
	}
	if k.leaving != h.leaving {
		log.WithField("vm", h.Peer).WithField("leaving", h.leaving).Info("VM tells its state")
	}
	k.Node, k.ready, k.leaving, k.heardAt = h.Node, h.ready, h.leaving, now
	if h.busy {
		k.busyAt = now
	}
	k.informed, k.requests = h.informed, h.requests
	k.reads = h.readAgeMs > 0
	k.readAt = now.Add(-time.Duration(h.readAgeMs) * time.Millisecond)
}

// alive tells whether callers may be sent to k.
func (k *member) alive(now clock.Time) bool {
	if k.leaving || !k.ready {
		return false
	}
	if k.heardAt == 0 {
		return now.Sub(k.firstAt) < unheard
	}
	return k.heardLately(now)
}

// Count returns how many VMs there are: this one and those that were heard or
// listed lately. It errs to the high side.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.known)
}

// Known tells whether any other VM has been listed or heard.
func (m *Members) Known() bool { return m.Count() > 1 }

// Alone tells whether no other VM has been heard lately.
func (m *Members) Alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, k := range m.known {
		if k.heardLately(now) {
			return false
		}
	}
	return true
}

// heardLately tells whether k's beats arrive.
func (k *member) heardLately(now clock.Time) bool {
	return k.heardAt != 0 && now.Sub(k.heardAt) < silence
}

// busyFor is how long a VM that had requests in hand counts as one that serves
// callers: longer than the pauses between its requests.
const busyFor = 2 * time.Second

// busy returns the addresses of the VMs that serve callers.
func (m *Members) busy() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []string
	for addr, k := range m.known {
		if k.busyAt != 0 && now.Sub(k.busyAt) < busyFor {
			out = append(out, addr)
		}
	}
	return out
}
