// Package vmlist is a fake of the platform's VM list for tests and the demo.
package vmlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

// FaultOutage makes the list answer 503.
const FaultOutage = "outage"

// List is the fake VM list. A change becomes visible to readers after a lag, as on a real platform.
type List struct {
	lag     time.Duration
	faults  *httpjson.Faults
	mu      sync.Mutex
	changes []change // oldest first
}

type change struct {
	at  time.Time // when it becomes visible
	vms []httpapi.VM
}

// New returns a list in which vms are visible immediately, and later changes after lag.
func New(vms []httpapi.VM, lag time.Duration) *List {
	return &List{lag: lag, faults: httpjson.NewFaults(FaultOutage), changes: []change{{vms: slices.Clone(vms)}}}
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpapi.PathVMs, l.get)
	mux.HandleFunc("PUT "+httpapi.PathVMs, l.put)
	mux.Handle("POST /fault", l.faults)
	return mux
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	if _, on := l.faults.Consume(FaultOutage, r.Header.Get(httpapi.HeaderClient)); on {
		httpjson.Refuse(w, http.StatusServiceUnavailable, FaultOutage, "the VM list is down")
		return
	}
	httpjson.Write(w, httpapi.VMs{VMs: l.visible(time.Now())})
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var body httpapi.VMs
	if !httpjson.Read(w, r, &body) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{at: time.Now().Add(l.lag), vms: body.VMs})
	w.WriteHeader(http.StatusNoContent)
}

// visible returns the newest list whose lag has passed, and discards older ones.
func (l *List) visible(now time.Time) []httpapi.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.changes) > 1 && !l.changes[1].at.After(now) {
		l.changes = l.changes[1:]
	}
	return slices.Clone(l.changes[0].vms)
}
