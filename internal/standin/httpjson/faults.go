package httpjson

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/settings"
)

// FaultClear is the fault name that removes all active faults.
const FaultClear = "clear"

// Fault is one misbehaviour that a scenario injects with POST /fault. It ends after Count uses or after
// For, whichever comes first. With neither it stays active until it is cleared.
type Fault struct {
	Name   string            `json:"name"`
	Count  int               `json:"count,omitempty"`
	For    settings.Duration `json:"for,omitempty"`
	Delay  settings.Duration `json:"delay,omitempty"`
	Factor float64           `json:"factor,omitempty"`
	Text   string            `json:"text,omitempty"`
	Client string            `json:"client,omitempty"` // if set, the fault applies only to requests of this client
}

// armed is an active fault.
type armed struct {
	Fault
	until time.Time // zero: no time limit
	left  int       // remaining uses, if Count is set
}

// Faults is the set of active faults of one fake. Its methods may be called concurrently.
type Faults struct {
	known []string
	mu    sync.Mutex
	armed []armed
}

// NewFaults returns an empty set that accepts the known names.
func NewFaults(known ...string) *Faults {
	return &Faults{known: known}
}

// Set activates a fault. It replaces an active one of the same name and client.
func (s *Faults) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Name == FaultClear {
		s.armed = nil
		return
	}
	s.armed = slices.DeleteFunc(s.armed, func(a armed) bool {
		return a.Name == f.Name && a.Client == f.Client
	})
	a := armed{Fault: f, left: f.Count}
	if f.For > 0 {
		a.until = time.Now().Add(f.For.D())
	}
	s.armed = append(s.armed, a)
}

// Peek returns the named fault if it is active for the client. It doesn't count as a use.
func (s *Faults) Peek(name, client string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.find(name, client); i >= 0 {
		return s.armed[i].Fault, true
	}
	return Fault{}, false
}

// Consume returns the named fault if it is active for the client, and counts one use.
func (s *Faults) Consume(name, client string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(name, client)
	if i < 0 {
		return Fault{}, false
	}
	a := &s.armed[i]
	f := a.Fault
	if a.Count > 0 {
		a.left--
		if a.left == 0 {
			s.armed = slices.Delete(s.armed, i, i+1)
		}
	}
	return f, true
}

// Remove removes the named fault for all clients.
func (s *Faults) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = slices.DeleteFunc(s.armed, func(a armed) bool { return a.Name == name })
}

// find returns the index of the fault, or -1. It removes faults whose time is over.
func (s *Faults) find(name, client string) int {
	now := time.Now()
	s.armed = slices.DeleteFunc(s.armed, func(a armed) bool {
		return !a.until.IsZero() && now.After(a.until)
	})
	return slices.IndexFunc(s.armed, func(a armed) bool {
		return a.Name == name && (a.Client == "" || a.Client == client)
	})
}

// ServeHTTP handles POST /fault.
func (s *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !Read(w, r, &f) {
		return
	}
	if f.Name != FaultClear && !slices.Contains(s.known, f.Name) {
		Refuse(w, http.StatusBadRequest, "unknown-fault", "known: "+strings.Join(s.known, ", ")+", "+FaultClear)
		return
	}
	s.Set(f)
	log.WithFields(log.Fields{
		"event": "fault-set", "fault": f.Name, "count": f.Count, "for": f.For.D(), "client": f.Client,
	}).Info("fault")
	w.WriteHeader(http.StatusNoContent)
}
