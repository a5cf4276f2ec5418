package roles_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/roles"
)

// rates let one engine serve one token a second, so that demands in tests are in
// engines.
var rates = roles.Rates{PrefillTokensPerSec: 1, DecodeTokensPerSec: 1}

// pool returns a pool without changes in flight whose reports are a second old.
// prefillDemand and decodeDemand are in engines.
func pool(prefill, decode int, prefillDemand, decodeDemand float64) roles.Snapshot {
	s := roles.Snapshot{
		Pool:     "drafts",
		Arrivals: roles.Arrivals{PromptTokensPerSec: prefillDemand, OutputTokensPerSec: decodeDemand},
		Rates:    rates,
	}
	for i := range prefill + decode {
		e := roles.Engine{Name: fmt.Sprintf("runner-%03d", i), Role: roles.Prefill, ReportAge: time.Second}
		if i >= prefill {
			e.Role = roles.Decode
			e.Running = 100 - i
		}
		s.Engines = append(s.Engines, e)
	}
	return s
}

// feedUntilOrder passes the snapshot to the planner each second, and returns the
// first changes that it orders and when.
func feedUntilOrder(p *roles.Planner, from clock.Time, d time.Duration, s roles.Snapshot) ([]roles.Change, clock.Time) {
	for t := from; t < from.Add(d); t = t.Add(time.Second) {
		p.Observe(t, s)
		if c := p.Plan(t); len(c) > 0 {
			return c, t
		}
	}
	return nil, from.Add(d)
}

func TestMovesEngineWithFewestStreams(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	c, _ := feedUntilOrder(p, 0, time.Minute, pool(4, 8, 6, 3))
	assert.Equal(t, len(c), 1)
	assert.Equal(t, c[0].Engine, "runner-011", "the decode engine with the fewest streams")
	assert.Equal(t, c[0].From, roles.Decode)
	assert.Equal(t, c[0].To, roles.Prefill)
	assert.Equal(t, c[0].Reason.PrefillReady, 4)
	assert.Assert(t, c[0].Reason.Gain-c[0].Reason.Loss > c[0].Reason.ChangeCost)
}

func TestHoldReasons(t *testing.T) {
	balanced := pool(6, 6, 4, 4)
	short := pool(4, 8, 6, 3)
	unreported := pool(4, 8, 6, 3)
	for i := range 5 {
		unreported.Engines[i].ReportAge = -1
	}
	limitReached := pool(4, 8, 6, 3)
	limitReached.ChangesLastHour = lakeshoreMaxChangesPerHour
	staleArrivals := pool(4, 8, 6, 3)
	staleArrivals.Arrivals.Age = time.Minute
	foreign := pool(4, 8, 6, 3)
	for i := range foreign.Engines {
		foreign.Engines[i].Holder = "another"
	}
	strict := lakeshoreSheet()
	strict.MaxUnavailableShare = 0.05
	named := lakeshoreSheet()
	named.Self = "self"
	for _, c := range []struct {
		name string
		cfg  roles.Config
		snap roles.Snapshot
		want roles.HoldReason
	}{
		{"a balanced pool", lakeshoreSheet(), balanced, roles.HoldChangeCost},
		{"reports missing", lakeshoreSheet(), unreported, roles.HoldStaleReports},
		{"hourly limit reached before a restart", lakeshoreSheet(), limitReached, roles.HoldHourlyLimit},
		{"arrivals not measured", lakeshoreSheet(), staleArrivals, roles.HoldNoDemand},
		{"no engine may be unavailable", strict, short, roles.HoldUnavailable},
		{"a role's last engine", lakeshoreSheet(), pool(11, 1, 30, 1), roles.HoldLastEngine},
		{"one engine", lakeshoreSheet(), pool(1, 0, 5, 5), roles.HoldTooFewEngines},
		{"engines held by another process", named, foreign, roles.HoldOtherPlanner},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := roles.NewPlanner(c.cfg)
			got, _ := feedUntilOrder(p, 0, 2*time.Minute, c.snap)
			assert.Equal(t, len(got), 0)
			assert.Equal(t, p.HoldReason(), c.want, p.HoldReason().String())
		})
	}
}

// Guards against a planner that takes the queue caused by two crashed prefill
// engines for a shift of the mix. It would move a decode engine, and once the two
// have restarted the pool would lack one for decode.
func TestNoChangeDuringCrashGrace(t *testing.T) {
	crashed := pool(6, 6, 5, 3.5)
	crashed.Engines[0].State = roles.Down
	crashed.Engines[1].State = roles.Down
	ordersDuringCrash := func(g roles.Guards) int {
		cfg := lakeshoreSheet()
		cfg.MaxUnavailableShare = 0.5
		cfg.Disabled = g
		p := roles.NewPlanner(cfg)
		none, now := feedUntilOrder(p, 0, 30*time.Second, pool(6, 6, 5, 3.5))
		assert.Equal(t, len(none), 0)
		c, _ := feedUntilOrder(p, now, 20*time.Second, crashed)
		return len(c)
	}
	assert.Equal(t, ordersDuringCrash(roles.Guards{}), 0)
	assert.Equal(t, ordersDuringCrash(roles.Guards{NoCrashGrace: true}), 1, "guard disabled")
}

// Guards against waiting for engines that never return: a third of the engines is
// withdrawn, most of them from one role, which would leave callers of long prompts
// with two prefill engines permanently.
func TestPoolIsSplitAgainAfterPermanentLoss(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	_, now := feedUntilOrder(p, 0, 30*time.Second, pool(6, 6, 5, 5))
	lost := pool(6, 6, 4, 3.5)
	for i := range 4 {
		lost.Engines[i].State = roles.Down
	}
	c, at := feedUntilOrder(p, now, 5*time.Minute, lost)
	assert.Equal(t, len(c), 1)
	assert.Equal(t, c[0].To, roles.Prefill)
	assert.Assert(t, at.Sub(now) >= roles.CrashGrace)
}

// Guards against a pool that serves no request: every prefill engine is down, so the
// change is ordered regardless of its cost and of CrashGrace.
func TestEmptyRoleIsFilledImmediately(t *testing.T) {
	p := roles.NewPlanner(cevallosSheet())
	_, now := feedUntilOrder(p, 0, 10*time.Second, pool(2, 8, 1, 5))
	noPrefill := pool(2, 8, 1, 5)
	noPrefill.Engines[0].State = roles.Down
	noPrefill.Engines[1].State = roles.Down
	c, at := feedUntilOrder(p, now, 5*time.Second, noPrefill)
	assert.Equal(t, len(c), 0, "two of ten are unavailable, and the limit is a quarter")
	cfg := cevallosSheet()
	cfg.MaxUnavailableShare = 0.3
	p.SetConfig(cfg)
	c, _ = feedUntilOrder(p, at, 5*time.Second, noPrefill)
	assert.Equal(t, len(c), 1)
	assert.Assert(t, c[0].Reason.EmptyRole)
}

// Guards against a second change for the same shortage: just after a change, the
// newest reports were measured before it and still show the shortage. Acting on
// them would move a second engine, and later both back.
func TestWaitsForReportsMeasuredAfterChange(t *testing.T) {
	secondOrderAfter := func(g roles.Guards) time.Duration {
		cfg := lakeshoreSheet()
		cfg.Disabled = g
		p := roles.NewPlanner(cfg)
		c, now := feedUntilOrder(p, 0, time.Minute, pool(4, 8, 8, 3))
		assert.Equal(t, len(c), 1)
		changed := pool(4, 8, 8, 3)
		last := len(changed.Engines) - 1
		changed.Engines[last].State = roles.Changing
		_, now = feedUntilOrder(p, now.Add(time.Second), 5*time.Second, changed)
		changed.Engines[last].State = roles.Ready
		changed.Engines[last].Role = roles.Prefill
		changed.Engines[last].ReportAge = 2 * time.Second
		_, at := feedUntilOrder(p, now, time.Minute, changed)
		return at.Sub(now)
	}
	assert.Assert(t, secondOrderAfter(roles.Guards{}) >= roles.SettleTime+2*time.Second)
	assert.Assert(t, secondOrderAfter(roles.Guards{NoSettleTime: true}) < time.Second, "guard disabled")
}

func TestLostOrderExpires(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	s := pool(4, 8, 6, 3)
	first, now := feedUntilOrder(p, 0, time.Minute, s)
	assert.Equal(t, len(first), 1)
	retried, at := feedUntilOrder(p, now.Add(time.Second), time.Minute, s)
	assert.Equal(t, len(retried), 1)
	assert.Assert(t, at.Sub(now) >= roles.OrderTimeout)
}

func TestLargePoolMovesInBatches(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	c, _ := feedUntilOrder(p, 0, time.Minute, pool(40, 80, 60, 30))
	assert.Assert(t, len(c) > 5, "%d", len(c))
	assert.Assert(t, len(c) <= int(maxUnavailableShare*120/2))
}

func TestOrdersStayWithinSheetLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := lakeshoreSheet()
		cfg.ChangeCost = 0
		cfg.MaxChangesPerHour = rapid.IntRange(0, 5).Draw(t, "per hour")
		cfg.MaxUnavailableShare = rapid.Float64Range(0, 0.5).Draw(t, "away share")
		cfg.Self = "a"
		p := roles.NewPlanner(cfg)
		s := pool(rapid.IntRange(0, 6).Draw(t, "prefill"), rapid.IntRange(0, 6).Draw(t, "decode"), 0, 0)
		total := 0
		for now := clock.Time(0); now < clock.Time(3*time.Minute); now = now.Add(time.Second) {
			disturb(t, &s)
			p.Observe(now, s)
			changes := p.Plan(now)
			total += len(changes)
			checkAndApply(t, cfg, &s, changes)
		}
		assert.Assert(t, total <= cfg.MaxChangesPerHour)
	})
}

// disturb changes the demand, and the holder and state of one engine, at random.
func disturb(t *rapid.T, s *roles.Snapshot) {
	s.Arrivals.PromptTokensPerSec = rapid.Float64Range(0, 12).Draw(t, "prefill demand")
	s.Arrivals.OutputTokensPerSec = rapid.Float64Range(0, 12).Draw(t, "decode demand")
	if len(s.Engines) == 0 {
		return
	}
	e := &s.Engines[rapid.IntRange(0, len(s.Engines)-1).Draw(t, "engine")]
	e.Holder = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "holder")
	e.State = rapid.SampledFrom([]roles.State{roles.Ready, roles.Ready, roles.Ready, roles.Down, roles.Draining}).Draw(t, "state")
}

// checkAndApply checks the orders against the snapshot from which they were planned,
// and sets the new roles in it.
func checkAndApply(t *rapid.T, cfg roles.Config, s *roles.Snapshot, changes []roles.Change) {
	unavailable, ready := 0, [roles.Decode + 1]int{}
	for _, e := range s.Engines {
		if e.State != roles.Ready {
			unavailable++
			continue
		}
		ready[e.Role]++
	}
	for _, c := range changes {
		for i := range s.Engines {
			e := &s.Engines[i]
			if e.Name != c.Engine {
				continue
			}
			assert.Equal(t, e.State, roles.Ready)
			assert.Equal(t, e.Role, c.From)
			assert.Equal(t, e.Holder, "a")
			assert.Assert(t, ready[c.From] > 1, "the last engine of a role was moved")
			ready[c.From]--
			e.Role = c.To
		}
	}
	if len(changes) > 0 && unavailable == 0 {
		assert.Assert(t, float64(len(changes)) <= cfg.MaxUnavailableShare*float64(len(s.Engines)))
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := roles.NewPlanner(lakeshoreSheet())
			s := pool(engines/2, engines/2, float64(engines)*0.35, float64(engines)*0.35)
			now := clock.Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				p.Observe(now, s)
				p.Plan(now)
			}
		})
	}
}
