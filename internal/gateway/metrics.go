package gateway

import (
	"maps"
	"sync"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/bytebudget"
	"fescuestand/internal/policy/scarcity"
)

// latencyBuckets are the upper bounds of the latency histogram. They range from the time of a plain
// call to the callers' timeout, in steps that matter to callers.
var latencyBuckets = []time.Duration{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 10 * time.Second,
}

// Results of the attempts to replace a silent endpoint.
const (
	replacementTaken        = "taken"        // another endpoint has taken the request
	replacementCanceled     = "canceled"     // the endpoint went on meanwhile
	replacementFailed       = "failed"       // no other endpoint took the request
	replacementUnaffordable = "unaffordable" // the retry budget doesn't allow it
	replacementWithheld     = "withheld"     // the other endpoints are silent, too
)

// Metrics counts requests by outcome and by result code, their latency by route, and the replacements of
// silent endpoints by result.
type Metrics struct {
	mu           sync.Mutex
	outcomes     map[string]int64
	codes        map[code.Code]int64
	latency      map[string][]int64 // by route; the last bucket counts longer times
	replacements map[string]int64
	rejections   Rejections
	scarcity     map[string]int64
	takenUp      map[string]int64
	faults       int64
	silentEnds   int64
	exceeded     map[exchange.Cause]int64
	bodies       *bytebudget.Budget
}

// Rejections counts requests that endpoints didn't run.
type Rejections struct {
	Known   int64 // by endpoints that were known to be full when the request was sent
	Unknown int64 // by others
}

func newMetrics() *Metrics {
	m := &Metrics{
		outcomes: map[string]int64{}, codes: map[code.Code]int64{}, latency: map[string][]int64{}, replacements: map[string]int64{},
		exceeded: map[exchange.Cause]int64{}, scarcity: map[string]int64{}, takenUp: map[string]int64{}, bodies: bytebudget.New(),
	}
	for _, c := range exchange.Causes {
		m.exceeded[c] = 0
	}
	return m
}

func (m *Metrics) countExceeded(c exchange.Cause) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exceeded[c]++
}

func (m *Metrics) countReplacement(result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replacements[result]++
}

func (m *Metrics) countRejection(wasKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if wasKnown {
		m.rejections.Known++
	} else {
		m.rejections.Unknown++
	}
}

func (m *Metrics) countSilentEnds(requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silentEnds += int64(requests)
}

// countTakenUp counts a stream that its caller takes up by who knew where it began.
func (m *Metrics) countTakenUp(source originsync.Source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takenUp[source.String()]++
}

// countScarcity counts a request that is held or refused by priority.
func (m *Metrics) countScarcity(d scarcity.Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scarcity[d.Verdict.String()+" "+d.Reason.String()]++
}

func (m *Metrics) countFault() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults++
}

func (m *Metrics) count(c code.Code) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.codes[c]++
}

func (m *Metrics) observe(route string, elapsed time.Duration, r *result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[r.outcome.String()]++
	m.codes[r.code]++
	h := m.latency[route]
	if h == nil {
		h = make([]int64, len(latencyBuckets)+1)
		m.latency[route] = h
	}
	i := 0
	for i < len(latencyBuckets) && elapsed > latencyBuckets[i] {
		i++
	}
	h[i]++
}

// ChangeCounters count changes of endpoints' entries that VMs send each other. A beat to several VMs counts once.
type ChangeCounters struct {
	Sent      int64 // included in a message
	Received  int64
	Applied   int64 // received or read from the store, and news to this VM
	Repeated  int64 // received, but known or older than what is known
	Malformed int64 // dropped, as they can't be
}

// Snapshot is a copy of the counters, for expvar.
type Snapshot struct {
	Outcomes     map[string]int64
	Codes        map[string]int64
	BucketsMS    []int64
	LatencyMS    map[string][]int64
	Replacements map[string]int64
	Rejections   Rejections
	Scarcity     map[string]int64         // requests held or refused by priority, by verdict and reason
	TakenUp      map[string]int64         // streams that callers took up, by who knew where they began
	Faults       int64                    // of work beside requests
	SilentEnds   int64                    // requests whose endpoints fell silent under them and have ended
	Exceeded     map[exchange.Cause]int64 // responses that exceeded a bound
	Bodies       bytebudget.Snapshot
}

// Snapshot copies the counters.
func (m *Metrics) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Outcomes: map[string]int64{}, Codes: map[string]int64{}, LatencyMS: map[string][]int64{}, Replacements: maps.Clone(m.replacements), Rejections: m.rejections, Scarcity: maps.Clone(m.scarcity), TakenUp: maps.Clone(m.takenUp), Faults: m.faults, SilentEnds: m.silentEnds, Exceeded: maps.Clone(m.exceeded), Bodies: m.bodies.Snapshot()}
	for k, v := range m.outcomes {
		s.Outcomes[k] = v
	}
	for k, v := range m.codes {
		s.Codes[k.String()] = v
	}
	for _, b := range latencyBuckets {
		s.BucketsMS = append(s.BucketsMS, b.Milliseconds())
	}
	for route, h := range m.latency {
		s.LatencyMS[route] = append([]int64(nil), h...)
	}
	return s
}
