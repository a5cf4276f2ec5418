package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/membership"
	"fescuestand/internal/replica"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// staticReplica is a replica whose view never changes.
type staticReplica struct{ view *replica.View }

func (s staticReplica) View() *replica.View           { return s.view }
func (s staticReplica) Updated() <-chan struct{}      { return nil }
func (s staticReplica) Contribute(func(*wire.Gossip)) {}
func (s staticReplica) OnGossip(func(g *wire.Gossip)) {}

// newIdleState returns the state of a process that holds a pool of n engines, all in their desired
// state, whose directives all entries have acknowledged.
func newIdleState(n, entries int) *state {
	view := &replica.View{Ready: true, Version: 1, Sheet: &sheet.Sheet{}}
	pool := sheet.Pool{Name: "p", Model: "m", Version: "1", MaxUnavailableShare: 0.2}
	for i := range n {
		name := fmt.Sprintf("engine-%04d", i)
		pool.Engines = append(pool.Engines, name)
		view.Sheet.Engines = append(view.Sheet.Engines, sheet.Engine{Name: name})
	}
	view.Sheet.Pools = []sheet.Pool{pool}
	for i := range entries {
		view.Members = append(view.Members, membership.Member{
			VM: driver.VM{Name: fmt.Sprintf("vm-%03d", i), Peer: "p"}, State: membership.Live, Incarnation: "1",
		})
	}
	s := newState(context.Background(), New(Options{Replica: staticReplica{view}, VM: "vm-000", Incarnation: "1"}))
	s.applySheet()
	claim := &wire.Claim{}
	for _, name := range pool.Engines {
		claim.Scopes = append(claim.Scopes, &wire.ScopeClaim{Scope: name})
	}
	s.authority.Apply(benchItem(1, "1", &wire.Entry{Kind: &wire.Entry_Claim{Claim: claim}}))
	for _, e := range s.engines {
		s.holdIdle(e, view.Members)
	}
	return s
}

func (s *state) holdIdle(e *engine, members []membership.Member) {
	e.token, e.stateRead = 1, true
	e.state = driver.EngineState{
		Incarnation: "1", Role: driver.RoleMixed, Loaded: []driver.Loaded{{Model: "m", Version: "1"}},
	}
	e.readStart, e.readEnd = s.now(), s.now()
	s.updateDirective(e)
	e.announcement.allDrainedAt = s.now()
	for i := range members {
		e.announcement.acks[members[i].Name] = ack{incarnation: members[i].Incarnation}
	}
}

// BenchmarkTickAtRest measures one of the four ticks a second of a process that holds a whole pool
// in which nothing changes. BenchmarkTick holds ten engines, as if engines were spread over all
// nodes; in fact a process holds whole pools.
func BenchmarkTickAtRest(b *testing.B) {
	for _, size := range []struct{ engines, entries int }{{12, 8}, {12, 40}, {36, 8}, {36, 40}, {120, 12}, {287, 420}} {
		b.Run(fmt.Sprintf("engines=%d/entries=%d", size.engines, size.entries), func(b *testing.B) {
			s := newIdleState(size.engines, size.entries)
			for b.Loop() {
				s.reconcileAll()
				s.sendDirectives()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)*float64(time.Second/tickInterval)/float64(time.Second)*100, "%core")
			assert.Equal(b, s.pools["p"].counts.serving, size.engines)
		})
	}
}
