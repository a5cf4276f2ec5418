package catalog

import (
	"cmp"
	"slices"
)

// Stage is the part of a model request that an engine executes.
type Stage uint8

// The stages. An endpoint of a plain service is Whole.
const (
	Whole   Stage = iota // prefills and decodes
	Prefill              // prefills and transfers the KV cache to a decode engine
	Decode               // decodes; can also prefill, but more slowly
)

func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// Endpoint is one incarnation of an endpoint's process, as it reports itself.
type Endpoint struct {
	ID       string
	Born     int64 // Unix milliseconds of its start, zero if not reported
	Sequence int64 // increases with each change that the endpoint reports
	Service  string
	Version  string // of its software; versions are only compared for equality
	Address  string // host:port
	Zone     string
	Slots    int
	Stage    Stage
	Draining bool // accepts no new work
	Spot     bool // may be reclaimed at short notice
}

// supersedes reports whether e is at least as new as old, a report of the same id. A report of an
// older process can reach the store after one of its successor, and a restored store has older reports;
// such a report must not restore a draining state that has ended, an address that is no longer served,
// or an endpoint that leaves.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Sequence >= old.Sequence
}

// asDraining returns a copy of e that accepts no new work.
func (e *Endpoint) asDraining() *Endpoint {
	c := *e
	c.Draining = true
	return &c
}

// View is an immutable snapshot of the catalog.
type View struct {
	Config    *Config // nil before the first one
	endpoints map[string][]*Endpoint
	all       []*Endpoint
}

// Available returns the endpoints of a service that accept new work, in order of their ids.
func (v *View) Available(service string) []*Endpoint { return v.endpoints[service] }

// AvailableCount returns the number of endpoints that accept new work, of all services.
func (v *View) AvailableCount() int {
	n := 0
	for _, available := range v.endpoints {
		n += len(available)
	}
	return n
}

// All returns all endpoints, including draining ones, in order of their ids.
func (v *View) All() []*Endpoint { return v.all }

// IsAvailable reports whether the view has the same process of endpoint e, accepting new work.
func (v *View) IsAvailable(e *Endpoint) bool {
	available := v.endpoints[e.Service]
	i, found := slices.BinarySearchFunc(available, e.ID, func(o *Endpoint, id string) int { return cmp.Compare(o.ID, id) })
	return found && available[i].Born == e.Born
}

// newView returns a view of the reported endpoints. A process that has a notice in leaving counts as
// draining whatever its report says, since it sent the notice later.
func newView(c *Config, reported map[string]*Endpoint, leaving map[string]leavingNotice) *View {
	v := &View{Config: c, endpoints: map[string][]*Endpoint{}, all: make([]*Endpoint, 0, len(reported))}
	for _, e := range reported {
		if n, found := leaving[e.ID]; found && n.born == e.Born && !e.Draining {
			e = e.asDraining()
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
