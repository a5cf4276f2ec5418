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

// leaderUnits returns the units that act only at the leader.
func (n *Node) leaderUnits() []kernel.Unit {
	var units []kernel.Unit
	if u := n.o.Usage; u.Window > 0 {
		units = append(units, &usage.Reporter{
			Ledger: n.usageLedger, Records: n.adapter.UsageRecords(), Billing: n.adapter.Billing(), Clock: n.clock, Eras: n.eras,
			TrueTime: n.timeEstimator.At, MayAct: n.mayAct, Window: u.Window, ReportDeadline: u.ReportDeadline,
			Gather: usage.NewGatherer(n.o.Network, n.usageLedger, n.process(), n.members.ResponsiveActive).Gather,
		})
	}
	if p := n.adapter.Provider(); p != nil {
		units = append(units, &scaling.Unit{Catalog: n.catalog, Provider: p, Clock: n.clock, RequiredEndpoints: n.requiredEndpoints, MayAct: n.mayAct})
	}
	return units
}

// process returns the name of this process in the usage ledger.
func (n *Node) process() string { return gateway.ProcessName(n.o.Self.Peer, n.o.Self.Incarnation) }

// mayAct returns the fencing token to act with, and whether this process may act as leader now.
func (n *Node) mayAct() (fence int64, ok bool) { return n.authority.MayAct(n.clock.Now()) }

// requiredEndpoints returns how many endpoints of a service the current load requires, zero if that
// is unknown.
func (n *Node) requiredEndpoints(service string) float64 {
	v := n.View()
	s := v.Config.Services[service]
	if s == nil || s.Engine == nil {
		return 0
	}
	d := n.demand()
	d.SlotsPerEngine = s.Engine.Slots
	return requiredIfMeasured(d, len(v.Available(service)))
}

// minRequiredShare is the share of the endpoints that the load must require to count as measured.
const minRequiredShare = 0.1

// requiredIfMeasured returns the engines that d requires, or zero if d is too small to be a
// measurement.
func requiredIfMeasured(d stages.Demand, endpoints int) float64 {
	required := d.RequiredEngines()
	if required < minRequiredShare*float64(endpoints) {
		return 0
	}
	return required
}

// requestRunning counts a request for its workspace.
func (n *Node) requestRunning(at clock.Time, w *workspace.Workspace) {
	if n.o.Usage.Window > 0 {
		n.usageLedger.RecordRequest(usage.WindowOf(n.timeEstimator.At(at), n.o.Usage.Window), w.Name)
	}
}

// keyFreshness returns whether the configuration in force is new enough to accept or deny API keys
// by it.
func (n *Node) keyFreshness() freshness.Verdict {
	if n.freshness == nil {
		return freshness.AcceptOrDeny
	}
	return n.freshness.Verdict()
}

// configFreshness implements gossip.ConfigFreshness.
type configFreshness struct{ n *Node }

// Age implements gossip.ConfigFreshness.
func (f *configFreshness) Age() (age time.Duration, version uint64, ok bool) {
	return f.n.freshness.Age()
}

// MergeAnswer implements gossip.ConfigFreshness.
func (f *configFreshness) MergeAnswer(vm string, askedAt clock.Time, age time.Duration, version uint64) {
	f.n.freshness.MergeAnswer(askedAt, age, version)
	f.n.configPuller.ReceiveVersion(vm, version)
}
