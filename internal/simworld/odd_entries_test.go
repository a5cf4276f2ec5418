package simworld

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/gossip"
	"fescuestand/internal/vm"
)

const (
	// oddEntryTime is the time between an odd entry and the next one of its real writer.
	oddEntryTime = 3 * time.Second
	// lateVMs is the number of VMs that start in that time, when a VM already runs that reads for them.
	lateVMs = 2
	// manyOdd and manyLarge are numbers of odd entries, maxOddLines that of the lines that VMs log of them.
	manyOdd     = 1000
	manyLarge   = 30
	maxOddLines = 200
	// maxCatchUp is how long after that entry a VM must serve. It is shorter than the time between two reads of VMs for
	// which others read.
	maxCatchUp = 5 * time.Second
)

// oddCases put entries of another writer into the store, and return how the real one writes the next time.
var oddCases = map[string]func(w *world) (writeNext func()){
	// Guards against a VM that starts and refuses its peers' configuration as older than one that nobody can read.
	"configuration": func(w *world) func() {
		w.store.put(configLog, vm.ConfigKey, "{")
		return func() {}
	},
	// Guards against a VM that lacks an endpoint for half a minute, since it started while another writer's entry stood
	// under the endpoint's key.
	"endpoint": func(w *world) func() {
		e := w.pool("s")[0]
		w.store.put(endpointLog, e.id, "{")
		return func() { w.writeEntry(e) }
	},
	// Guards against another writer that fills the log.
	"many": func(w *world) func() {
		for i := range manyOdd {
			w.store.put(endpointLog, fmt.Sprint("odd-", i), "{")
		}
		return func() {}
	},
	// Guards against another writer that fills the messages between VMs, so that VMs fall silent.
	"large": func(w *world) func() {
		return func() {
			for i := range manyLarge {
				entry := `{"ID":"large","Service":"o","Sequence":%d,"Slots":%d,"Pad":%q}`
				w.store.put(endpointLog, "large", fmt.Sprintf(entry, i, i, strings.Repeat("x", gossip.MaxDatagramBytes)))
				time.Sleep(reportInterval)
			}
		}
	},
}

// Guards against VMs that end, don't serve or lack an endpoint since another writer has left entries in the store.
func TestWorldOfOddEntries(t *testing.T) {
	for name, put := range oddCases {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*worldSeeds) {
				synctest.Test(t, func(t *testing.T) { runOddEntries(t, *worldFirst+i, put) })
			}
		})
	}
}

func runOddEntries(t *testing.T, seed uint64, put func(w *world) func()) {
	w := newWorld(t, seed, []endpointSpec{{service: "s"}})
	defer w.end()
	w.addVM()
	time.Sleep(oddEntryTime)
	writeNext := put(w)
	for range lateVMs {
		w.addVM()
	}
	time.Sleep(oddEntryTime)
	writeNext()
	time.Sleep(maxCatchUp)
	w.awaitReady()
	p := &pauseRun{world: w, tc: pauseCase{path: pathReads}}
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.NewHost().DialContext, DisableKeepAlives: true}}
	for _, v := range w.vms {
		assert.Check(t, p.exchange(client, v, "odd-"+v.name, "") == wholeAnswer, "seed %d: %s", seed, v.name)
	}
	assert.Check(t, w.logged.countOf("endpoint entry decode failed") <= maxOddLines, "%d lines", w.logged.countOf("endpoint entry decode failed"))
	assert.Check(t, w.logged.countOf("VM is silent") == 0)
	assert.Check(t, len(w.logged.mistakes()) == 0, fmt.Sprint(w.logged.mistakes()))
}
