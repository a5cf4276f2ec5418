//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	ledgerHost = "ledger.example"
	// ledgerWork is the time of a request at a server of cuentas-linterna.
	ledgerWork = 60 * time.Millisecond
)

// putLedgerConfig writes a configuration with one plain service.
func (w *world) putLedgerConfig() {
	w.store.Put("keyed.op", "config", `{"version":7,"routes":[`+
		`{"name":"commit","host":"`+ledgerHost+`","pathPrefix":"/commit/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1,"resumable":false}],`+
		`"services":[{"name":"ledger","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}

// startLedger starts three machines before a plain service of some servers, and waits until they serve.
func (w *world) startLedger(l *ledger, servers int) ([]*server, error) {
	w.putLedgerConfig()
	var out []*server
	for i := range servers {
		s, err := w.startServer(l, fmt.Sprintf("i-%d%d%d%d", i+1, i+1, i+1, i+1), "ledger", "zone-a", 6, ledgerWork)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := w.addNode(zone, true); err != nil {
			return nil, err
		}
	}
	return out, w.awaitReady(context.Background(), 15*time.Second)
}

// commits sends a commit to each machine in turn every interval until ctx ends, and waits for the answers.
func (w *world) commits(ctx context.Context, wg *sync.WaitGroup, got *results, interval time.Duration) {
	c := newClient()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		to := w.nodes[n%len(w.nodes)]
		id := fmt.Sprintf("c%06d", n)
		wg.Go(func() {
			r := c.send(context.Background(), to.front, &request{
				method: http.MethodPost, host: ledgerHost, path: "/commit/" + id, id: id, deadline: 3 * time.Second, body: []byte("pay " + id),
			})
			got.add(r)
			w.note("%s", r.String())
		})
	}
}

// foreignEntry: another writer leaves an entry without coldRemainingMs under a server's id, and the server then leaves as
// it should. Rule DRAIN: no request may reach it later than drainMs after the store has acknowledged its report.
func foreignEntry(w *world, trouble bool) (bool, error) {
	l, got := &ledger{}, &results{}
	servers, err := w.startLedger(l, 3)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg, traffic sync.WaitGroup
	traffic.Go(func() { w.commits(ctx, &wg, got, 6*time.Millisecond) })
	time.Sleep(6 * time.Second)

	leaving := servers[0]
	if trouble {
		entry := leaving.entry()
		delete(entry, "coldRemainingMs")
		entry["sequence"] = time.Now().Unix()
		w.put(leaving.id, entry)
		w.note("another writer leaves an entry without coldRemainingMs under servers/%s: %v", leaving.id, entry)
	}
	time.Sleep(1500 * time.Millisecond)
	acknowledged := leaving.drain()
	w.note("the store has acknowledged that %s is draining", leaving.id)
	// It goes on for drainMs and a little longer, and exits.
	time.Sleep(time.Until(acknowledged.Add(drainTime + 1500*time.Millisecond)))
	leaving.exit()
	exited := leaving.remove()
	w.note("%s has exited", leaving.id)
	time.Sleep(6 * time.Second)
	stop()
	traffic.Wait()
	wg.Wait()
	return w.judgeDrain(l, got, leaving.id, acknowledged, exited), nil
}

// judgeDrain reports whether requests reached a server later than drainMs after its report was acknowledged, and says how
// many of them were lost.
func (w *world) judgeDrain(l *ledger, got *results, id string, acknowledged, exited time.Time) bool {
	late, cut, atServer := 0, map[string]bool{}, map[string]int{}
	for _, r := range l.list() {
		atServer[r.server]++
		if r.server != id {
			continue
		}
		if r.at.After(acknowledged.Add(drainTime)) {
			late++
			w.note("%s ran %s %s after the acknowledgement", id, r.id, r.at.Sub(acknowledged).Round(time.Millisecond))
		}
		if !r.whole {
			cut[r.id] = true
		}
	}
	lost := 0
	for _, r := range got.list() {
		if cut[r.id] && r.status != http.StatusOK {
			lost++
			w.note("lost: %s", r.String())
		}
	}
	w.say("statuses %v, runs %v", got.statuses(), atServer)
	w.say("%d requests reached %s later than %s after the acknowledgement; %d were lost as it exited %s after it (%s)", late, id, drainTime, lost,
		exited.Sub(acknowledged).Round(time.Millisecond), strings.Join(slices.Sorted(maps.Keys(cut)), " "))
	return late > 0
}
