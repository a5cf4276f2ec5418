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

// FaultClear is the fault name that ends every fault.
const FaultClear = "clear"

// Fault is one misbehaviour that a scenario switches on with POST /fault. It
// ends after Count uses or after For, whichever comes first; without both it
// stays until it is cleared.
type Fault struct {
	Name   string            `json:"name"`
	Count  int               `json:"count,omitempty"`
	For    settings.Duration `json:"for,omitempty"`
	Delay  settings.Duration `json:"delay,omitempty"`
	Factor float64           `json:"factor,omitempty"`
	Text   string            `json:"text,omitempty"`
	Client string            `json:"client,omitempty"` // only requests of this client
}

type armed struct {
	Fault
	until time.Time // zero for no limit
	left  int       // uses left if Count is set
}

// Faults are the faults of one stand-in.
type Faults struct {
	known []string
	mu    sync.Mutex
	armed []armed
}

// NewFaults returns a set with nothing switched on that takes the known names.
func NewFaults(known ...string) *Faults {
	return &Faults{known: known}
}

// Set switches a fault on, in place of an earlier one of the same name and
// client.
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

// Peek returns the named fault if it is on for the client.
func (s *Faults) Peek(name, client string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.find(name, client); i >= 0 {
		return s.armed[i].Fault, true
	}
	return Fault{}, false
}

// Consume is Peek that counts the use.
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

// Remove ends the named fault.
func (s *Faults) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = slices.DeleteFunc(s.armed, func(a armed) bool { return a.Name == name })
}

// find returns the index of the fault, or -1. It forgets what is over.
func (s *Faults) find(name, client string) int {
	now := time.Now()
	s.armed = slices.DeleteFunc(s.armed, func(a armed) bool {
		return !a.until.IsZero() && now.After(a.until)
	})
	return slices.IndexFunc(s.armed, func(a armed) bool {
		return a.Name == name && (a.Client == "" || a.Client == client)
	})
}

// ServeHTTP takes POST /fault.
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
