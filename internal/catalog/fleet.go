package catalog

import (
	"cmp"
	"slices"
)

// Stage is the part of a model request that an engine does.
type Stage uint8

// The stages. A plain service's endpoint is Whole.
const (
	Whole   Stage = iota // prefills and decodes
	Prefill              // prefills and hands the KV cache over
	Decode               // decodes; prefills too, more slowly
)

func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// Endpoint is one start of one process that runs work.
type Endpoint struct {
	ID       string
	Born     int64 // Unix milliseconds of its start, zero if it doesn't say
	Sequence int64 // grows with each change that the endpoint reports
	Service  string
	Address  string // host:port
	Zone     string
	Slots    int
	Stage    Stage
	Draining bool // takes no new work
	Spot     bool // may be reclaimed at short notice
}

// supersedes tells whether e says something newer than old of the same id. An
// older process's report can reach the store after its successor's, and must
// not bring back a draining state that is over or an address that is gone.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Sequence >= old.Sequence
}

// draining returns e as one that takes no new work.
func (e *Endpoint) draining() *Endpoint {
	c := *e
	c.Draining = true
	return &c
}

// View is an immutable state of the catalog.
type View struct {
	Config    *Config // nil before the first one
	endpoints map[string][]*Endpoint
	all       []*Endpoint
}

// Available returns the endpoints of a service that take work, in order of their ids.
func (v *View) Available(service string) []*Endpoint { return v.endpoints[service] }

// AvailableCount is how many endpoints take work.
func (v *View) AvailableCount() int {
	n := 0
	for _, open := range v.endpoints {
		n += len(open)
	}
	return n
}

// All returns every endpoint, those that drain too, in order of their ids.
func (v *View) All() []*Endpoint { return v.all }

// IsAvailable tells whether the view has e as it is and lets it take new work.
func (v *View) IsAvailable(e *Endpoint) bool {
	open := v.endpoints[e.Service]
	i, found := slices.BinarySearchFunc(open, e.ID, func(o *Endpoint, id string) int { return cmp.Compare(o.ID, id) })
	return found && open[i].Born == e.Born
}

// newView returns the view of the reported endpoints. Those whose lifetime is in leaving drain
// whatever they report: their answers are newer.
func newView(c *Config, known map[string]*Endpoint, leaving map[string]notice) *View {
	v := &View{Config: c, endpoints: map[string][]*Endpoint{}, all: make([]*Endpoint, 0, len(known))}
	for _, e := range known {
		if n, left := leaving[e.ID]; left && n.born == e.Born && !e.Draining {
			e = e.draining()
		}
		v.all = append(v.all, e)
	}
	slices.SortFunc(v.all, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range v.all {
		if !e.Draining {
			v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		}
	}
	return v
}
