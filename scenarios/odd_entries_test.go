package scenarios

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	oddEngines = 4
	oddCallers = 24
	// oddInterval is the time between two odd entries of one topic, several in one report interval of an endpoint.
	oddInterval = 20 * time.Millisecond
)

// oddValues are values that no real writer writes. %d stands for a number that changes.
var oddValues = []string{
	"{", strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 100_000), strings.Repeat("no JSON ", 20<<10), "\x00\x01%d", `[]`, `null`,
	`{"service":7,"address":[],"state":{}}`,
	`{"service":"m","address":"127.0.0.1:99999","zone":"z","version":"v1","slots":8,"state":"ready","sequence":%d}`,
	`{"service":"m","address":"127.0.0.1:0","zone":"z","version":"v1","slots":8,"state":"ready","sequence":%d}`,
	`{"service":"m","address":"127.0.0.1:9","zone":"z","version":"v1","slots":4611686018427387904,"state":"ready","sequence":%d}`,
	`{"service":"m","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"draining","sequence":9223372036854775807,"born":9223372036854775807}`,
	`{"service":"m","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","sequence":` + strings.Repeat("9", 400) + `}`,
	`{"service":"m","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","sequence":1e999}`,
	`{"service":"other","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","sequence":%d,"more":"` + strings.Repeat("x", 100<<10) + `"}`,
}

// Guards against VMs that end, or stop following a log, since another writer leaves entries that can't be read, also
// under the keys of real endpoints and while VMs start.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	s := newSoakOf(t, 2, engineSetup{count: oddEngines, versions: []string{"v1"}, eventInterval: versionEventInterval, slots: versionSlots})
	s.awaitAnswers(pathReads, pathResumable)
	ctx, stop := context.WithCancel(s.ctx)
	s.wg.Go(func() { s.writeOddEntries(ctx) })
	s.manyCallers(ctx, oddCallers, requestInterval)
	time.Sleep(warmUpTime)
	for _, v := range s.vms {
		s.store.Put("keyed.op", "config", "{") // peers have the one before it
		s.restartInTurn([]*soakVM{v})
	}
	s.awaitAnswers(pathReads, pathResumable)
	stop()
	time.Sleep(callerTimeout)

	s.mu.Lock()
	s.checkAnswers()
	s.checkRuns()
	statuses := map[int]int{}
	for i := range s.answers {
		statuses[s.answers[i].status]++
	}
	t.Log(statuses)
	s.mu.Unlock()
	s.checkProcesses()
	s.reportViolations()
}

// writeOddEntries writes odd entries to all topics until ctx ends.
func (s *soak) writeOddEntries(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		value := strings.ReplaceAll(oddValues[n%len(oddValues)], "%d", fmt.Sprint(n))
		s.mu.Lock()
		ids := make([]string, 0, len(s.endpoints))
		for id, e := range s.endpoints {
			if !e.removed {
				ids = append(ids, id)
			}
		}
		s.mu.Unlock()
		s.store.Put("keyed.servers", ids[n%len(ids)], value)
		for topic, key := range map[string]string{
			"keyed.servers": fmt.Sprint("odd-\x00", n%100), "keyed.op": "odd", "keyed.records": "start/odd", "keyed.usage": "odd", "keyed.status": "odd",
			"keyed.duty": "odd", "stream-origins": "",
		} {
			s.store.Put(topic, key, value)
		}
		s.store.Put("keyed.records", "quarantines", value)
		time.Sleep(oddInterval)
	}
}
