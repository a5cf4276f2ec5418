package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/network"
)

// Guards against totals that are lost, doubled or reduced by messages that are lost, duplicated or
// delayed.
func TestTotalsAreMergedByProcess(t *testing.T) {
	b := NewLedger()
	b.RecordRequest(7, "north")
	b.RecordRequest(7, "north")
	b.MergeTotals("vm-2", Totals{7, Counts{"north": 3, "south": 1}})
	b.MergeTotals("vm-2", Totals{7, Counts{"north": 5, "south": 1}})
	b.MergeTotals("vm-2", Totals{7, Counts{"north": 3}})
	b.MergeTotals("vm-2 restarted", Totals{7, Counts{"south": 2}})
	assert.DeepEqual(t, b.Sum(7), Counts{"north": 7, "south": 3})
	assert.DeepEqual(t, b.Sum(6), Counts{})
}

// Guards against losing the last totals of a window with one lost message.
func TestTotalsAreSentTwiceAfterTheirLastChange(t *testing.T) {
	b := NewLedger()
	now := clock.Time(time.Minute)
	b.RecordRequest(7, "north")
	assert.Equal(t, len(b.DueTotals(now)), 1)
	assert.Equal(t, len(b.DueTotals(now.Add(sendInterval-1))), 0)
	now = now.Add(sendInterval)
	assert.DeepEqual(t, b.DueTotals(now), []Totals{{7, Counts{"north": 1}}})
	now = now.Add(sendInterval)
	assert.Equal(t, len(b.DueTotals(now)), 0)
}

// Guards against a report without the counts of a failed VM that the new leader never received.
func TestANewLeaderGathersTotalsOfOtherVMs(t *testing.T) {
	keeper, leader := NewLedger(), NewLedger()
	keeper.RecordRequest(7, "north")
	keeper.MergeTotals("dead", Totals{7, Counts{"south": 2}})
	keeper.MergeTotals("holder", Totals{7, Counts{"north": 1}})
	leader.RecordRequest(7, "north")
	srv := httptest.NewServer(&Handler{Ledger: keeper, Process: "keeper"})
	t.Cleanup(srv.Close)
	failing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(failing.Close)
	g := NewGatherer(network.Machine{}, leader, "holder", func() []string {
		return []string{strings.TrimPrefix(failing.URL, "http://"), strings.TrimPrefix(srv.URL, "http://")}
	})
	for range 2 {
		g.Gather(t.Context())
		assert.DeepEqual(t, leader.Sum(7), Counts{"north": 2, "south": 2})
	}
}

func TestOldWindowsAreEvicted(t *testing.T) {
	b := NewLedger()
	b.RecordRequest(7, "north")
	b.MergeTotals("vm-2", Totals{7, Counts{"north": 1}})
	b.RecordRequest(7+maxWindows, "north")
	b.MergeTotals("vm-3", Totals{7, Counts{"north": 1}})
	assert.Equal(t, len(b.Sum(7)), 0)
}

// Guards against unbounded memory at a VM that receives totals for days and serves no request itself.
func TestReceivedTotalsEvictOldWindows(t *testing.T) {
	b := NewLedger()
	for w := range int64(1000) {
		b.MergeTotals(fmt.Sprint("vm-", w/10), Totals{w + 1, Counts{"north": 1}})
	}
	assert.Assert(t, len(b.peers) <= 2)
	assert.DeepEqual(t, b.Sum(1000), Counts{"north": 1})
}

var errUnavailable = errors.New("away")

// platform implements Records and Billing. With faults it sometimes fails, loses its answers, or
// applies a write later. With restores it also loses its newest records at times.
type platform struct {
	rng      *rand.Rand
	clock    *clock.Manual
	eras     *era.Tracker
	faults   bool
	restores bool
	era      era.Era
	records  []Totals
	late     []lateWrite
	reports  map[int64]Counts
	conflict bool
	fences   []int64
}

type lateWrite struct {
	at      clock.Time
	t       Totals
	version int64
}

// maybeRestore restores the store from an older copy at times, at any depth.
func (p *platform) maybeRestore() {
	if p.restores && p.rng.IntN(100) == 0 {
		p.records = slices.Clone(p.records[:p.rng.IntN(len(p.records)+1)])
		if p.era != era.None {
			p.era++
		}
	}
}

func (p *platform) fails(in int) bool { return p.faults && p.rng.IntN(in) == 0 }

// applyLateWrites applies the late writes that are due.
func (p *platform) applyLateWrites() {
	p.late = slices.DeleteFunc(p.late, func(w lateWrite) bool {
		if w.at > p.clock.T {
			return false
		}
		p.write(w.t, w.version)
		return true
	})
}

func (p *platform) write(t Totals, version int64) bool {
	if version != int64(len(p.records)) {
		return false
	}
	p.records = append(p.records, Totals{t.Window, maps.Clone(t.Counts)})
	return true
}

func (p *platform) Decided(context.Context) ([]Totals, era.Position, error) {
	p.applyLateWrites()
	if p.fails(4) {
		return nil, era.Position{}, errUnavailable
	}
	p.eras.Observe(p.era, "decided")
	return p.records, era.Position{Era: p.era, Offset: int64(len(p.records))}, nil
}

func (p *platform) Decide(_ context.Context, t Totals, read era.Position) error {
	p.applyLateWrites()
	p.maybeRestore()
	version := read.Offset
	switch {
	case p.fails(4):
		return errUnavailable
	case p.fails(4):
		p.late = append(p.late, lateWrite{p.clock.T.Add(time.Duration(p.rng.IntN(5000)) * time.Millisecond), t, version})
		return errUnavailable
	case !p.write(t, version):
		return errors.New("another version")
	case p.fails(4):
		return errUnavailable
	}
	p.eras.Observe(p.era, "decide")
	if p.era != read.Era {
		return errors.New("another era")
	}
	return nil
}

func (p *platform) ReportUsage(_ context.Context, t Totals, fence int64) error {
	p.applyLateWrites()
	if p.fails(4) {
		return errUnavailable
	}
	if before, ok := p.reports[t.Window]; ok && !maps.Equal(before, t.Counts) {
		p.conflict = true
	}
	p.reports[t.Window] = maps.Clone(t.Counts)
	p.fences = append(p.fences, fence)
	if p.fails(4) {
		return errUnavailable
	}
	return nil
}

var start = time.Unix(1_800_000_000, 0)

func newPlatform(seed uint64) *platform {
	c := &clock.Manual{T: clock.Time(time.Minute)}
	return &platform{
		rng: rand.New(rand.NewPCG(seed, 3)), clock: c, eras: era.NewTracker(c), reports: map[int64]Counts{},
	}
}

func (p *platform) reporter(b *Ledger, may func() bool) *Reporter {
	return &Reporter{
		Ledger: b, Records: p, Billing: p, Clock: p.clock, Eras: p.eras, TrueTime: func(at clock.Time) time.Time { return start.Add(time.Duration(at)) },
		MayAct: func() (int64, bool) { return 4, may() }, Gather: func(context.Context) {}, Window: 5 * time.Second, ReportDeadline: 10 * time.Second, reported: map[int64]bool{},
	}
}

func (p *platform) window() int64 {
	return WindowOf(start.Add(time.Duration(p.clock.T)), 5*time.Second)
}

func TestAWindowIsReportedOnceAfterSettleTime(t *testing.T) {
	p := newPlatform(1)
	b := NewLedger()
	r := p.reporter(b, func() bool { return true })
	w := p.window()
	b.RecordRequest(w, "north")
	p.clock.T = p.clock.T.Add(5*time.Second + settleTime - time.Millisecond)
	r.reportDue(t.Context())
	assert.Equal(t, len(p.reports), 0)
	p.clock.T = p.clock.T.Add(2 * time.Millisecond)
	r.reportDue(t.Context())
	r.reportDue(t.Context())
	assert.DeepEqual(t, p.reports, map[int64]Counts{w: {"north": 1}})
	assert.DeepEqual(t, p.fences, []int64{4})
}

// Guards against the report of an empty window: it would contradict another leader's report with
// counts.
func TestAWindowWithoutRequestsIsNotReported(t *testing.T) {
	p := newPlatform(1)
	r := p.reporter(NewLedger(), func() bool { return true })
	p.clock.T = p.clock.T.Add(time.Minute)
	r.reportDue(t.Context())
	assert.Equal(t, len(p.records)+len(p.reports), 0)
}

// runLeaders runs three VMs for a minute, each with its own ledger. The leadership moves, and at
// times two VMs assume that they are the leader.
func runLeaders(t *testing.T, p *platform) {
	t.Helper()
	var ledgers []*Ledger
	var reporters []*Reporter
	leader, secondLeader := 0, 0
	for i := range 3 {
		ledgers = append(ledgers, NewLedger())
		reporters = append(reporters, p.reporter(ledgers[i], func() bool { return leader == i || secondLeader == i }))
	}
	for range 600 {
		p.clock.T = p.clock.T.Add(100 * time.Millisecond)
		p.maybeRestore()
		if p.rng.IntN(20) == 0 {
			secondLeader, leader = leader, p.rng.IntN(3)
		}
		from := p.rng.IntN(3)
		ledgers[from].RecordRequest(p.window(), fmt.Sprint("w", p.rng.IntN(3)))
		for _, sent := range ledgers[from].DueTotals(p.clock.T) {
			for i, b := range ledgers {
				if i != from && p.rng.IntN(3) > 0 {
					b.MergeTotals(fmt.Sprint(from), sent)
				}
			}
		}
		reporters[p.rng.IntN(3)].reportDue(t.Context())
	}
}

// runRestores runs leaders with a store that is restored at times. Unless guarded is set, they don't
// know of its eras. It returns the number of windows reported.
func runRestores(t *testing.T, seed uint64, guarded bool) (p *platform) {
	t.Helper()
	p = newPlatform(seed)
	p.faults, p.restores = true, true
	if guarded {
		p.era = era.First
	}
	runLeaders(t, p)
	return p
}

// Guards against two reports of one window that differ because the store was restored: it lost the
// decision that the first report followed, and another leader decides anew, or an old write is executed
// under a condition that holds again.
func TestNoTwoReportsDifferWhenTheStoreIsRestored(t *testing.T) {
	reports := 0
	for seed := range uint64(300) {
		p := runRestores(t, seed, true)
		assert.Assert(t, !p.conflict, "seed %d", seed)
		reports += len(p.reports)
	}
	t.Logf("%d windows reported", reports)
	assert.Assert(t, reports > 300, "%d windows", reports)
}

// The same simulation finds reports that differ if leaders don't know of the store's eras.
func TestReportsDifferWithoutEras(t *testing.T) {
	conflicts := 0
	for seed := range uint64(300) {
		if runRestores(t, seed, false).conflict {
			conflicts++
		}
	}
	t.Logf("%d of 300 seeds", conflicts)
	assert.Assert(t, conflicts > 0)
}

// Guards against a successor that decides anew what its predecessor has reported.
func TestANewLeaderGathersDecisions(t *testing.T) {
	predecessor, leader := NewLedger(), NewLedger()
	predecessor.SetDecided(Totals{7, Counts{"north": 3}})
	srv := httptest.NewServer(&Handler{Ledger: predecessor, Process: "predecessor"})
	t.Cleanup(srv.Close)
	NewGatherer(network.Machine{}, leader, "leader", func() []string { return []string{strings.TrimPrefix(srv.URL, "http://")} }).Gather(t.Context())
	decided, ok := leader.Decided(7)
	assert.Assert(t, ok)
	assert.DeepEqual(t, decided, Totals{7, Counts{"north": 3}})
}

// Guards against two reports of one window that differ, whichever messages and writes are delayed,
// lost or repeated.
func TestNoTwoReportsOfAWindowDiffer(t *testing.T) {
	for seed := range uint64(300) {
		p := newPlatform(seed)
		p.faults = true
		runLeaders(t, p)
		assert.Assert(t, !p.conflict, "seed %d", seed)
		assert.Assert(t, len(p.reports) > 5, "seed %d: %d windows", seed, len(p.reports))
	}
}

// undecided is a platform without records: each leader reports its own sums.
type undecided struct{ *platform }

func (u undecided) Decided(context.Context) ([]Totals, era.Position, error) {
	return nil, era.Position{}, nil
}
func (u undecided) Decide(context.Context, Totals, era.Position) error { return nil }

// The same check fails if windows aren't decided before they are reported.
func TestReportsDifferWithoutRecords(t *testing.T) {
	p := newPlatform(5)
	b, c := NewLedger(), NewLedger()
	w := p.window()
	b.RecordRequest(w, "north")
	c.RecordRequest(w, "south")
	p.clock.T = p.clock.T.Add(8 * time.Second)
	for _, ledger := range []*Ledger{b, c} {
		r := p.reporter(ledger, func() bool { return true })
		r.Records = undecided{p}
		r.reportDue(t.Context())
	}
	assert.Assert(t, p.conflict)
}
