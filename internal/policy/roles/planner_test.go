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

// rates make one token a second one engine's work, so that demands in tests
// read as engines.
var rates = roles.Rates{PrefillTokensPerSec: 1, DecodeTokensPerSec: 1}

// pool returns a settled pool whose reports are a second old.
func pool(prefill, decode int, p, d float64) roles.Snapshot {
	s := roles.Snapshot{
		Pool:     "drafts",
		Arrivals: roles.Arrivals{PromptTokensPerSec: p, OutputTokensPerSec: d},
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

// feed shows the planner one snapshot each second and returns what it ordered
// and when.
func feed(p *roles.Planner, from clock.Time, d time.Duration, s roles.Snapshot) ([]roles.Change, clock.Time) {
	for t := from; t < from.Add(d); t = t.Add(time.Second) {
		p.Observe(t, s)
		if c := p.Plan(t); len(c) > 0 {
			return c, t
		}
	}
	return nil, from.Add(d)
}

func TestMovesTheEngineThatHurtsLeast(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	c, _ := feed(p, 0, time.Minute, pool(4, 8, 6, 3))
	assert.Equal(t, len(c), 1)
	assert.Equal(t, c[0].Engine, "runner-011", "the decode engine with the fewest streams")
	assert.Equal(t, c[0].From, roles.Decode)
	assert.Equal(t, c[0].To, roles.Prefill)
	assert.Equal(t, c[0].Reason.PrefillReady, 4)
	assert.Assert(t, c[0].Reason.Gain-c[0].Reason.Loss > c[0].Reason.Price)
}

func TestHolds(t *testing.T) {
	balanced := pool(6, 6, 4, 4)
	short := pool(4, 8, 6, 3)
	silent := pool(4, 8, 6, 3)
	for i := range 5 {
		silent.Engines[i].ReportAge = -1
	}
	spent := pool(4, 8, 6, 3)
	spent.ChangesLastHour = lakeshorePerHour
	old := pool(4, 8, 6, 3)
	old.Arrivals.Age = time.Minute
	held := pool(4, 8, 6, 3)
	for i := range held.Engines {
		held.Engines[i].Holder = "another"
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
		{"a balanced pool", lakeshoreSheet(), balanced, roles.HoldPrice},
		{"reports missing", lakeshoreSheet(), silent, roles.HoldStale},
		{"ceiling reached before a restart", lakeshoreSheet(), spent, roles.HoldCeiling},
		{"arrivals not measured", lakeshoreSheet(), old, roles.HoldNoDemand},
		{"nobody may be away", strict, short, roles.HoldAway},
		{"a role's last engine", lakeshoreSheet(), pool(11, 1, 30, 1), roles.HoldLast},
		{"one engine", lakeshoreSheet(), pool(1, 0, 5, 5), roles.HoldNoSplit},
		{"engines held by another process", named, held, roles.HoldTurn},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := roles.NewPlanner(c.cfg)
			got, _ := feed(p, 0, 2*time.Minute, c.snap)
			assert.Equal(t, len(got), 0)
			assert.Equal(t, p.HoldReason(), c.want, p.HoldReason().String())
		})
	}
}

// Callers of long prompts wait longer for a first token although the mix has not
// changed: two prefill engines crashed and restart. The queue before the other
// two is theirs. A planner that reads it as a shift takes a decode engine away,
// and when the two are back the pool lacks one for decode.
func TestCrashExplainsTheQueue(t *testing.T) {
	crashed := pool(6, 6, 5, 3.5)
	crashed.Engines[0].State = roles.Down
	crashed.Engines[1].State = roles.Down
	after := func(g roles.Guards) int {
		cfg := lakeshoreSheet()
		cfg.MaxUnavailableShare = 0.5
		cfg.Guards = g
		p := roles.NewPlanner(cfg)
		none, now := feed(p, 0, 30*time.Second, pool(6, 6, 5, 3.5))
		assert.Equal(t, len(none), 0)
		c, _ := feed(p, now, 20*time.Second, crashed)
		return len(c)
	}
	assert.Equal(t, after(roles.Guards{}), 0)
	assert.Equal(t, after(roles.Guards{NoGrace: true}), 1, "guard off")
}

// A third of the engines is withdrawn, most of them from one role, and nobody
// brings them back. Holding on would leave callers of long prompts with two
// prefill engines for good.
func TestEnginesLostForGoodAreSplitAnew(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	_, now := feed(p, 0, 30*time.Second, pool(6, 6, 5, 5))
	lost := pool(6, 6, 4, 3.5)
	for i := range 4 {
		lost.Engines[i].State = roles.Down
	}
	c, at := feed(p, now, 5*time.Minute, lost)
	assert.Equal(t, len(c), 1)
	assert.Equal(t, c[0].To, roles.Prefill)
	assert.Assert(t, at.Sub(now) >= roles.CrashGrace)
}

// Every prefill engine is down: no caller gets a first token, and the price and
// the grace are not asked.
func TestRoleWithoutEnginesIsFilledAtOnce(t *testing.T) {
	p := roles.NewPlanner(cevallosSheet())
	_, now := feed(p, 0, 10*time.Second, pool(2, 8, 1, 5))
	gone := pool(2, 8, 1, 5)
	gone.Engines[0].State = roles.Down
	gone.Engines[1].State = roles.Down
	c, at := feed(p, now, 5*time.Second, gone)
	assert.Equal(t, len(c), 0, "two of ten away, and a quarter may be")
	cfg := cevallosSheet()
	cfg.MaxUnavailableShare = 0.3
	p.SetConfig(cfg)
	c, _ = feed(p, at, 5*time.Second, gone)
	assert.Equal(t, len(c), 1)
	assert.Assert(t, c[0].Reason.Empty)
}

// A change has just ended. The reports at hand were measured before it and still
// show the shortage, and the next ones are seconds away. A planner that acts on
// them moves a second engine for the first one's reason, then both back.
func TestWaitsForReportsFromAfterTheChange(t *testing.T) {
	second := func(g roles.Guards) time.Duration {
		cfg := lakeshoreSheet()
		cfg.Guards = g
		p := roles.NewPlanner(cfg)
		c, now := feed(p, 0, time.Minute, pool(4, 8, 8, 3))
		assert.Equal(t, len(c), 1)
		done := pool(4, 8, 8, 3)
		last := len(done.Engines) - 1
		done.Engines[last].State = roles.Changing
		_, now = feed(p, now.Add(time.Second), 5*time.Second, done)
		done.Engines[last].State = roles.Ready
		done.Engines[last].Role = roles.Prefill
		done.Engines[last].ReportAge = 2 * time.Second
		_, at := feed(p, now, time.Minute, done)
		return at.Sub(now)
	}
	assert.Assert(t, second(roles.Guards{}) >= roles.Settle+2*time.Second)
	assert.Assert(t, second(roles.Guards{NoSettle: true}) < time.Second, "guard off")
}

func TestLostOrderIsForgotten(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	s := pool(4, 8, 6, 3)
	first, now := feed(p, 0, time.Minute, s)
	assert.Equal(t, len(first), 1)
	again, at := feed(p, now.Add(time.Second), time.Minute, s)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, at.Sub(now) >= roles.OrderTimeout)
}

func TestLargePoolMovesInBatches(t *testing.T) {
	p := roles.NewPlanner(lakeshoreSheet())
	c, _ := feed(p, 0, time.Minute, pool(40, 80, 60, 30))
	assert.Assert(t, len(c) > 5, "%d", len(c))
	assert.Assert(t, len(c) <= int(maxAwayShare*120/2))
}

func TestOrdersKeepTheSheetsLimits(t *testing.T) {
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
			obey(t, cfg, &s, changes)
		}
		assert.Assert(t, total <= cfg.MaxChangesPerHour)
	})
}

// disturb changes the demand and one engine at random.
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

// obey checks each order against the snapshot that it was made from and starts
// carrying it out.
func obey(t *rapid.T, cfg roles.Config, s *roles.Snapshot, changes []roles.Change) {
	away, ready := 0, [roles.Decode + 1]int{}
	for _, e := range s.Engines {
		if e.State != roles.Ready {
			away++
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
			assert.Assert(t, ready[c.From] > 1, "a role's last engine")
			ready[c.From]--
			e.Role = c.To
		}
	}
	if len(changes) > 0 && away == 0 {
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
