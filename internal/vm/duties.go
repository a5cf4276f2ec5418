package vm

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/freshness"
	"fescuestand/internal/gateway"
	"fescuestand/internal/kernel"
	"fescuestand/internal/policy/stages"
	"fescuestand/internal/scaling"
	"fescuestand/internal/usage"
	"fescuestand/internal/workspace"
)

// duties returns the parts that only the holder of the duty acts in.
func (n *Node) duties() []kernel.Unit {
	var units []kernel.Unit
	if u := n.o.Usage; u.Window > 0 {
		units = append(units, &usage.Reporter{
			Book: n.usage, Records: n.adapter.UsageRecords(), Billing: n.adapter.Billing(), Clock: n.clock,
			TrueTime: n.time.At, May: n.may, Window: u.Window, Due: u.Due,
			Gather: usage.NewGatherer(n.usage, n.process(), n.members.ResponsiveActive).Gather,
		})
	}
	if p := n.adapter.Provider(); p != nil {
		units = append(units, &scaling.Unit{Catalog: n.catalog, Provider: p, Clock: n.clock, Need: n.need, May: n.may})
	}
	return units
}

// process names this process among those that count requests.
func (n *Node) process() string { return gateway.ProcessName(n.o.Self.Peer, n.o.Self.Incarnation) }

func (n *Node) may() (fence int64, ok bool) { return n.duty.May(n.clock.Now()) }

// need is how many endpoints of a service the load keeps well busy, zero if it isn't
// known.
func (n *Node) need(service string) float64 {
	v := n.View()
	s := v.Config.Services[service]
	if s == nil || s.Engine == nil {
		return 0
	}
	d := n.demand()
	d.SlotsPerEngine = s.Engine.Slots
	return measured(d, len(v.Open(service)))
}

// leastNeed is the share of the endpoints that must be needed for a load to count as
// measured.
const leastNeed = 0.1

func measured(d stages.Demand, endpoints int) float64 {
	need := d.RequiredEngines()
	if need < leastNeed*float64(endpoints) {
		return 0
	}
	return need
}

// began counts a request for its workspace.
func (n *Node) began(at clock.Time, w *workspace.Workspace) {
	if n.o.Usage.Window > 0 {
		n.usage.Note(usage.WindowOf(n.time.At(at), n.o.Usage.Window), w.Name)
	}
}

// judgeKeys says whether keys can be judged by the configuration in force.
func (n *Node) judgeKeys() freshness.Verdict {
	if n.fresh == nil {
		return freshness.AcceptOrDeny
	}
	return n.fresh.Verdict()
}

// knowledge implements gossip.Knowledge.
type knowledge struct{ n *Node }

// Age implements gossip.Knowledge.
func (k *knowledge) Age() (age time.Duration, version uint64, ok bool) { return k.n.fresh.Age() }

// MergeAnswer implements gossip.Knowledge.
func (k *knowledge) MergeAnswer(vm string, askedAt clock.Time, age time.Duration, version uint64) {
	k.n.fresh.MergeAnswer(askedAt, age, version)
	k.n.puller.Heard(vm, version)
}
