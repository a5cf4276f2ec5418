//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// link is a machine's way to the store. While it is cut, calls get no answer.
type link struct {
	store http.Handler
	reads atomic.Int64 // of the servers' entries

	mu  sync.Mutex
	cut bool
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/log-read" && r.URL.Query().Get("topic") == "keyed.servers" {
		l.reads.Add(1)
	}
	if l.isCut() {
		<-r.Context().Done() // the caller gives the call up
		panic(http.ErrAbortHandler)
	}
	l.store.ServeHTTP(w, r)
}

// removedEntry: the two machines that read the list of servers are cut off from the store for a short time, while servers
// leave that never report it. Rule DRAIN: the other machines send no request to a server later than drainMs after its entry was
// removed.
func removedEntry(w *world, trouble bool) (bool, error) {
	l, got := &ledger{}, &results{}
	w.putLedgerConfig()
	var servers []*server
	for i := range 12 {
		s, err := w.startServer(l, fmt.Sprintf("i-%04d", i), "ledger", "zone-a", 6, ledgerWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	var links []*link
	for _, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"} {
		k := &link{store: w.store}
		address, err := w.serve(k)
		if err != nil {
			return false, err
		}
		w.address = address
		links = append(links, k)
		if _, err := w.addNode(zone, true); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(context.Background(), 15*time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg, traffic sync.WaitGroup
	traffic.Go(func() { w.commits(ctx, &wg, got, 4*time.Millisecond) })
	time.Sleep(8 * time.Second)
	for _, k := range links {
		k.reads.Store(0)
	}
	time.Sleep(3 * time.Second)
	isCut := map[string]bool{}
	for i, k := range links {
		if k.reads.Load() >= 3 {
			isCut[w.nodes[i].front] = true
			w.note("%s reads the list: %d reads in 3 s", w.nodes[i].name, k.reads.Load())
		}
	}
	if trouble {
		for i, k := range links {
			k.setCut(isCut[w.nodes[i].front])
		}
		w.note("cut")
	}
	cutAt := time.Now()
	var healing sync.WaitGroup
	healing.Go(func() {
		time.Sleep(time.Until(cutAt.Add(cutTime)))
		for _, k := range links {
			k.setCut(false)
		}
		w.note("healed")
	})
	removed := map[string]time.Time{}
	for i, s := range servers[:leavingServers] {
		time.Sleep(time.Until(cutAt.Add(cutTime + leavingFrom + time.Duration(i)*leavingPause)))
		removed[s.id] = s.remove()
		w.note("the entry of %s is removed", s.id)
		time.AfterFunc(drainTime+goesOn, s.exit)
	}
	healing.Wait()
	time.Sleep(7 * time.Second)
	stop()
	traffic.Wait()
	wg.Wait()
	return w.judgeRemoved(l, got, removed, isCut), nil
}

// judgeRemoved reports whether machines that weren't cut off sent requests to servers later than drainMs after their entries
// were removed, and says how many of their requests were lost as servers exited.
func (w *world) judgeRemoved(l *ledger, got *results, removed map[string]time.Time, isCut map[string]bool) bool {
	sent := map[string]*result{}
	list := got.list()
	for i := range list {
		sent[list[i].id] = &list[i]
	}
	late, lost, latest := 0, 0, time.Duration(0)
	for _, r := range l.list() {
		at, ok := removed[r.server]
		by := sent[r.id]
		if !ok || by == nil || isCut[by.node] {
			continue
		}
		after := r.at.Sub(at)
		latest = max(latest, after)
		if after > drainTime {
			late++
			w.note("%s ran %s %s after its entry was removed, sent by a machine that wasn't cut off", r.server, r.id, after.Round(time.Millisecond))
		}
		if !r.whole && by.status != http.StatusOK {
			lost++
			w.note("lost as %s exited: %s", r.server, by.String())
		}
	}
	w.say("statuses %v; %d machines cut off; %d requests by others later than %s after the removal, the latest after %s; %d lost as servers exited",
		got.statuses(), len(isCut), late, drainTime, latest.Round(time.Millisecond), lost)
	return late > 0
}

const (
	// cutTime is how long the links are cut.
	cutTime = 2200 * time.Millisecond
	// leavingServers of the servers leave, the first of them leavingFrom after the links have healed and the others in turn.
	leavingServers            = 5
	leavingFrom, leavingPause = 100 * time.Millisecond, 150 * time.Millisecond
	// goesOn is how much longer than drainMs a server that has left goes on.
	goesOn = 250 * time.Millisecond
)
