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

// Role is the kind of work that an engine takes.
type Role uint8

// The roles. A plain service is Mixed.
const (
	Mixed Role = iota
	Prefill
	Decode
)

// State says whether an endpoint takes new work.
type State uint8

// The states of an endpoint.
const (
	Open     State = iota
	Draining       // finishes its streams before a planned stop
	Unavailable           // changing role or version, or gone
	Suspect        // may be unreachable; used only when nothing else is left
)

// Artifact names what an engine serves. A request with an empty Version is
// served by any. A plain service has the zero Artifact.
type Artifact struct {
	Model, Version, Adapter string
}

// Endpoint is one engine or plain service as the control side knows it.
type Endpoint struct {
	Name            string
	Pool            string
	Zone            string
	Role            Role
	State           State
	Slots           int           // requests that it runs at once
	PrefillPerToken time.Duration // when unloaded
	DecodePerToken  time.Duration // when unloaded
	Base            time.Duration // fixed time of a request
	Serves          []Artifact
	spec
}

// spec is what NewTable derives from an endpoint's settings.
type spec struct {
	live            *live
	shared          *shared
	hash            uint64
	slots           int64
	far             bool // in another availability zone
	prefillNanos    int64
	baseNanos       int64
	decodeStepNanos int64
	slotNanos       int64 // in which one waiting request moves up
}

// nominalOutput is the output length in tokens that the speed of a slot queue
// is reckoned with before anything has been measured.
const nominalOutput = 200

// Table is an immutable set of endpoints, indexed for routing.
type Table struct {
	all    []*Endpoint
	groups map[groupKey]*group
	peers  []peers
	cells  int
}

type groupKey struct {
	pool string
	art  Artifact
}

// group holds the endpoints of one pool that serve one artifact, by cell.
type group struct{ cells []members }

// members are the endpoints of one cell by what they can be asked to do.
type members struct {
	whole   set // prefill and answer
	prefill set // prefill for another engine
	decode  set // answer what was prefilled elsewhere
}

// set is a list of endpoints with what all of its users share.
type set struct {
	eps    []*Endpoint
	hashes []uint64 // of eps, side by side for rendezvous hashing
	turn   atomic.Uint64
	meanAt atomic.Int64
	mean   atomic.Uint64 // load over slots, as bits of a float64
}

func (s *set) add(e *Endpoint) {
	if slices.Contains(s.eps, e) {
		return
	}
	s.eps = append(s.eps, e)
	s.hashes = append(s.hashes, e.hash)
}

// meanAge is how old the mean load of a set may be. At the design size a cell
// of 100 runners gets about 90 requests a second, so that the mean misses a
// tenth of a request per runner; reports are older than that anyway.
const meanAge = 100 * time.Millisecond

// meanLoad returns the mean share of slots that are taken.
func (r *Router) meanLoad(now clock.Time, s *set) float64 {
	at := s.meanAt.Load()
	if at != 0 && int64(now)-at < int64(meanAge) || !s.meanAt.CompareAndSwap(at, int64(now)) {
		return math.Float64frombits(s.mean.Load())
	}
	var runs, slots int64
	for _, e := range s.eps {
		if e.State != Open || int64(now) < e.live.outUntil.Load() {
			continue
		}
		n, _ := r.load(now, e.live)
		runs += n
		slots += e.slots
	}
	mean := float64(runs) / float64(max(slots, 1))
	s.mean.Store(math.Float64bits(mean))
	return mean
}

// peers are the endpoints that ejection compares with one another.
type peers struct {
	pool string
	role Role
	cell int
	eps  []*Endpoint

	// Sweep's own.
	sentWork int64
	rate     float64
}

// NewTable returns a table of eps, which it copies. A Router's Publish puts it
// in force.
func NewTable(cfg Config, eps []Endpoint) *Table {
	cfg = cfg.withDefaults()
	t := &Table{groups: map[groupKey]*group{}, cells: cfg.Cells}
	for i := range eps {
		t.all = append(t.all, prepare(eps[i], cfg))
	}
	slices.SortFunc(t.all, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range t.all {
		cell := cellOf(e.hash, cfg.Cells)
		t.index(e, cell, cfg)
		t.compare(e, cell)
	}
	return t
}

func (t *Table) compare(e *Endpoint, cell int) {
	for i := range t.peers {
		p := &t.peers[i]
		if p.pool == e.Pool && p.role == e.Role && p.cell == cell {
			p.eps = append(p.eps, e)
			return
		}
	}
	t.peers = append(t.peers, peers{pool: e.Pool, role: e.Role, cell: cell, eps: []*Endpoint{e}})
}

func prepare(e Endpoint, cfg Config) *Endpoint {
	e.hash = xxhash.Sum64String(e.Name)
	e.far = e.Zone != cfg.Zone
	e.slots = int64(max(e.Slots, 1))
	e.prefillNanos = int64(e.PrefillPerToken)
	e.baseNanos = int64(e.Base)
	e.decodeStepNanos = int64(e.DecodePerToken)
	e.slotNanos = (e.baseNanos + nominalOutput*e.decodeStepNanos) / e.slots
	return &e
}

func (t *Table) index(e *Endpoint, cell int, cfg Config) {
	arts := e.Serves
	if len(arts) == 0 {
		arts = []Artifact{{}}
	}
	for _, a := range arts {
		t.add(groupKey{e.Pool, a}, e, cell, cfg)
		if a.Version != "" {
			a.Version = ""
			t.add(groupKey{e.Pool, a}, e, cell, cfg)
		}
	}
}

func (t *Table) add(k groupKey, e *Endpoint, cell int, cfg Config) {
	g := t.groups[k]
	if g == nil {
		g = &group{cells: make([]members, t.cells)}
		t.groups[k] = g
	}
	if e.State == Draining || e.State == Unavailable {
		return
	}
	m := &g.cells[cell]
	switch e.Role {
	case Mixed:
		m.whole.add(e)
		m.decode.add(e)
	case Prefill:
		m.prefill.add(e)
	case Decode:
		m.decode.add(e)
		if !cfg.StrictRoles {
			m.whole.add(e)
		}
	}
}

// Endpoints returns the table's endpoints in the order of their names.
func (t *Table) Endpoints() []*Endpoint { return t.all }

// CellOf returns the cell of a workspace or endpoint name among n cells.
func CellOf(name string, n int) int { return cellOf(xxhash.Sum64String(name), n) }

// cellOf is a rendezvous hash: a change of the cell count from n to n+1 moves
// only one name in n+1.
func cellOf(h uint64, n int) int {
	best, top := 0, uint64(0)
	for i := range n {
		if s := splitmix.Mix(h ^ splitmix.Mix(uint64(i)+1)); s >= top {
			best, top = i, s
		}
	}
	return best
}
