package catalog

import "slices"

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

// View is an immutable state of the catalog.
type View struct {
	Config    *Config // nil before the first one
	endpoints map[string][]*Endpoint
	all       []*Endpoint
}

// Open returns the endpoints of a service that take work, in order of their ids.
func (v *View) Open(service string) []*Endpoint { return v.endpoints[service] }

// All returns every endpoint, those that drain too, in order of their ids.
func (v *View) All() []*Endpoint { return v.all }

func newView(c *Config, known map[string]*Endpoint) *View {
	v := &View{Config: c, endpoints: map[string][]*Endpoint{}, all: make([]*Endpoint, 0, len(known))}
	for _, e := range known {
		v.all = append(v.all, e)
	}
	slices.SortFunc(v.all, func(a, b *Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, e := range v.all {
		if !e.Draining {
			v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		}
	}
	return v
}
