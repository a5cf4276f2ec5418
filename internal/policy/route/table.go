package route

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// Role is the stage of inference that an engine serves.
type Role uint8

// The roles. A plain service is Mixed.
const (
	Mixed Role = iota
	Prefill
	Decode
)

// State determines whether an endpoint takes new work.
type State uint8

// The states of an endpoint.
const (
	Open        State = iota
	Draining          // finishes its streams before a planned stop
	Unavailable       // changing role or version, or lost
	Suspect           // may be unreachable; used only as a fallback
)

// Artifact identifies what an engine serves. A request with an empty Version matches every version.
// A plain service has the zero Artifact.
type Artifact struct {
	Model, Version, Adapter string
}

// Endpoint describes one engine or plain service.
type Endpoint struct {
	Name            string
	Pool            string
	Zone            string
	Role            Role
	State           State
	Slots           int           // requests that it runs concurrently
	PrefillPerToken time.Duration // when unloaded
	DecodePerToken  time.Duration // when unloaded
	Base            time.Duration // fixed time per request
	Serves          []Artifact    // empty for a plain service
	derivedFields
}

// derivedFields are computed by NewTable, except runtime and peers, which Publish sets.
type derivedFields struct {
	runtime              *endpointRuntime
	peers                *peerState
	nameHash             uint64
	slots                int64
	crossZone            bool // in another availability zone
	prefillNanosPerToken int64
	baseNanos            int64
	decodeStepNanos      int64
	slotAdvanceNanos     int64 // time after which the next waiting request gets a slot
}

// nominalOutputTokens is the output length that is assumed, without any measurement, to estimate the
// speed of a slot queue.
const nominalOutputTokens = 200

// Table is an immutable set of endpoints, indexed for routing.
type Table struct {
	endpoints  []*Endpoint
	groups     map[groupKey]*artifactGroup
	peerGroups []peerGroup
	cells      int
}

type groupKey struct {
	pool     string
	artifact Artifact
}

// artifactGroup holds the endpoints of one pool that serve one artifact, by cell.
type artifactGroup struct{ cells []cellMembers }

// cellMembers are the endpoints of one cell, by the work they accept. An endpoint may be in several
// sets.
type cellMembers struct {
	colocated endpointSet // prefill and decode of the same request
	prefill   endpointSet // prefill for a decode on another engine
	decode    endpointSet // decode, after a prefill elsewhere or on the same engine
}

// endpointSet is a list of endpoints with the selection state that all requests share.
type endpointSet struct {
	endpoints      []*Endpoint
	nameHashes     []uint64 // of endpoints, contiguous for rendezvous hashing
	nextRoundRobin atomic.Uint64
	meanLoadAt     atomic.Int64
	meanLoadBits   atomic.Uint64 // bits of the mean of requests over slots
}

func (s *endpointSet) add(e *Endpoint) {
	if slices.Contains(s.endpoints, e) {
		return
	}
	s.endpoints = append(s.endpoints, e)
	s.nameHashes = append(s.nameHashes, e.nameHash)
}

// maxMeanLoadAge is the maximum age of the cached mean load of a set. At the design size a cell of
// 100 runners gets about 90 requests a second, so the cached mean is off by at most a tenth of a
// request per runner. Load reports are older than that anyway.
const maxMeanLoadAge = 100 * time.Millisecond

// meanLoad returns the mean share of occupied slots. The first caller after maxMeanLoadAge
// recomputes it.
func (r *Router) meanLoad(now clock.Time, s *endpointSet) float64 {
	at := s.meanLoadAt.Load()
	if at != 0 && int64(now)-at < int64(maxMeanLoadAge) || !s.meanLoadAt.CompareAndSwap(at, int64(now)) {
		return math.Float64frombits(s.meanLoadBits.Load())
	}
	var requests, slots int64
	for _, e := range s.endpoints {
		if e.State != Open || int64(now) < e.runtime.ejectedUntil.Load() {
			continue
		}
		n, _ := r.estimateLoad(now, e.runtime)
		requests += n
		slots += e.slots
	}
	mean := float64(requests) / float64(max(slots, 1))
	s.meanLoadBits.Store(math.Float64bits(mean))
	return mean
}

// peerGroup holds the endpoints that outlier ejection compares with one another.
type peerGroup struct {
	pool      string
	role      Role
	cell      int
	endpoints []*Endpoint

	// Used by EjectOutliers only.
	sentPrefillNanos int64
	sendRate         float64
}

// NewTable returns a table of copies of eps. Router.Publish makes it current.
func NewTable(cfg Config, eps []Endpoint) *Table {
	cfg = cfg.withDefaults()
	t := &Table{groups: map[groupKey]*artifactGroup{}, cells: cfg.Cells}
	for i := range eps {
		t.endpoints = append(t.endpoints, deriveFields(eps[i], cfg))
	}
	slices.SortFunc(t.endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range t.endpoints {
		cell := cellOf(e.nameHash, cfg.Cells)
		t.indexByArtifact(e, cell, cfg)
		t.addPeer(e, cell)
	}
	return t
}

func (t *Table) addPeer(e *Endpoint, cell int) {
	for i := range t.peerGroups {
		p := &t.peerGroups[i]
		if p.pool == e.Pool && p.role == e.Role && p.cell == cell {
			p.endpoints = append(p.endpoints, e)
			return
		}
	}
	t.peerGroups = append(t.peerGroups, peerGroup{pool: e.Pool, role: e.Role, cell: cell, endpoints: []*Endpoint{e}})
}

func deriveFields(e Endpoint, cfg Config) *Endpoint {
	e.nameHash = xxhash.Sum64String(e.Name)
	e.crossZone = e.Zone != cfg.Zone
	e.slots = int64(max(e.Slots, 1))
	e.prefillNanosPerToken = int64(e.PrefillPerToken)
	e.baseNanos = int64(e.Base)
	e.decodeStepNanos = int64(e.DecodePerToken)
	e.slotAdvanceNanos = (e.baseNanos + nominalOutputTokens*e.decodeStepNanos) / e.slots
	return &e
}

func (t *Table) indexByArtifact(e *Endpoint, cell int, cfg Config) {
	arts := e.Serves
	if len(arts) == 0 {
		arts = []Artifact{{}}
	}
	for _, a := range arts {
		t.addToGroup(groupKey{e.Pool, a}, e, cell, cfg)
		if a.Version != "" {
			a.Version = ""
			t.addToGroup(groupKey{e.Pool, a}, e, cell, cfg)
		}
	}
}

func (t *Table) addToGroup(k groupKey, e *Endpoint, cell int, cfg Config) {
	g := t.groups[k]
	if g == nil {
		g = &artifactGroup{cells: make([]cellMembers, t.cells)}
		t.groups[k] = g
	}
	if e.State == Draining || e.State == Unavailable {
		return
	}
	m := &g.cells[cell]
	switch e.Role {
	case Mixed:
		m.colocated.add(e)
		m.decode.add(e)
	case Prefill:
		m.prefill.add(e)
	case Decode:
		m.decode.add(e)
		if !cfg.StrictRoles {
			m.colocated.add(e)
		}
	}
}

// Endpoints returns the table's endpoints, sorted by name.
func (t *Table) Endpoints() []*Endpoint { return t.endpoints }

// CellOf returns which of n cells a workspace or endpoint name belongs to.
func CellOf(name string, n int) int { return cellOf(xxhash.Sum64String(name), n) }

// cellOf chooses a cell by rendezvous hashing. A change of the cell count from n to n+1 moves only
// one name in n+1.
func cellOf(nameHash uint64, n int) int {
	best, bestWeight := 0, uint64(0)
	for i := range n {
		if weight := splitmix.Mix(nameHash ^ splitmix.Mix(uint64(i)+1)); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
