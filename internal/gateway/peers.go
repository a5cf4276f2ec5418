package gateway

import (
	"math"
	"time"

	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/truetime"
	"fescuestand/internal/usage"
	"fescuestand/internal/wire"
)

// Exchange fills and takes the beats that gateways send each other. It
// implements gossip.Content.
type Exchange struct {
	Clock    clock.Clock
	Planner  *place.Planner
	Pressure *backpressure.Tracker
	Crashes  *crash.Register
	Catalog  *catalog.Store
	Changes  *Changes
	// Rate is how many requests a second this VM gets.
	Rate func() float64
	// Ordered is told of each engine that another VM has ordered to change.
	Ordered func(id string)
	// HeardConfig is told which version of the configuration a VM serves by.
	HeardConfig func(vm string, version uint64)
	// News is called when there is something that all VMs must know.
	News func()
	// Time estimates the time of day, and Usage counts requests by it. Both are nil
	// where requests aren't counted.
	Time  *truetime.Estimator
	Usage *usage.Book

	crashes news[*wire.Crash]
	leaving news[*wire.LeavingEndpoint]
}

// Fill implements gossip.Content.
func (x *Exchange) Fill(b *wire.Beat) {
	if c := x.Catalog.View().Config; c != nil {
		b.ConfigVersion = c.Version
	}
	if x.Usage != nil {
		b.WallMs = x.Time.Own().UnixMilli()
	}
	x.Changes.fill(b)
	b.Requests = uint32(math.Ceil(x.Rate()))
	d := x.Planner.Demand(x.Clock.Now())
	b.Demand = &wire.Demand{PrefillMs: uint32(1000 * d.Prefill), CentiStreams: uint32(100 * d.Streams)}
	b.LeavingEndpoints = x.leaving.tell(x.Clock.Now())
	b.Notices = noticesOf(x.Pressure.Reports(x.Clock.Now()))
	for _, r := range x.Planner.Outstanding() {
		b.Outstanding = append(b.Outstanding, &wire.Outstanding{
			Endpoint: r.Endpoint, Running: uint32(r.Running), PendingUs: uint32(r.PendingWork.Microseconds()),
		})
	}
}

// noticesOf writes what is told of the endpoints' limits.
func noticesOf(told []backpressure.Report) []*wire.EndpointNotice {
	out := make([]*wire.EndpointNotice, 0, len(told))
	for _, t := range told {
		n := &wire.EndpointNotice{Endpoint: uint64(t.Endpoint), Sent: t.Sent}
		if t.HasAnswer {
			n.SaidAgeMs, n.Limited, n.Limit = 1+uint32(t.AnswerAge.Milliseconds()), t.Limited, float32(t.Limit)
		}
		out = append(out, n)
	}
	return out
}

// toldOf reads what noticesOf has written.
func toldOf(notices []*wire.EndpointNotice) []backpressure.Report {
	out := make([]backpressure.Report, 0, len(notices))
	for _, n := range notices {
		t := backpressure.Report{Endpoint: backpressure.IncarnationID(n.GetEndpoint()), Sent: n.GetSent()}
		if age := n.GetSaidAgeMs(); age > 0 && backpressure.ValidLimit(float64(n.GetLimit())) {
			t.HasAnswer, t.AnswerAge = true, time.Duration(age-1)*time.Millisecond
			t.Limited, t.Limit = n.GetLimited(), float64(n.GetLimit())
		}
		out = append(out, t)
	}
	return out
}

// FillNews implements gossip.Content.
func (x *Exchange) FillNews(b *wire.Beat) {
	if c := x.Catalog.View().Config; c != nil {
		b.ConfigVersion = c.Version
	}
	x.Changes.pass(b)
	b.Crashes = x.crashes.tell(x.Clock.Now())
	b.LeavingEndpoints = x.leaving.tell(x.Clock.Now())
}

// Totals implements gossip.Content.
func (x *Exchange) Totals() []*wire.UsageWindow {
	if x.Usage == nil {
		return nil
	}
	return usage.Encode(x.Usage.Tell(x.Clock.Now()))
}

// takeTotals takes the time of day and the counts of another VM.
func (x *Exchange) takeTotals(from string, b *wire.Beat) {
	if b.GetWallMs() != 0 {
		x.Time.Heard(from, time.UnixMilli(b.GetWallMs()))
	}
	x.Usage.HearAll(ProcessName(from, b.GetIncarnation()), b.GetUsage())
}

// ProcessName tells the processes of a VM apart.
func ProcessName(vm, incarnation string) string { return vm + " " + incarnation }

// Crashed has a crash told to all VMs.
func (x *Exchange) Crashed(c *wire.Crash) { x.crashes.add(x.Clock.Now(), c) }

// Leaves takes an endpoint's own word that it leaves, and has it told to all VMs.
func (x *Exchange) Leaves(e *catalog.Endpoint) {
	x.takeLeaving(&wire.LeavingEndpoint{Id: e.ID, Born: e.Born})
}

func (x *Exchange) takeLeaving(l *wire.LeavingEndpoint) {
	if x.Catalog.SetLeaving(l.GetId(), l.GetBorn()) {
		x.leaving.add(x.Clock.Now(), l)
		x.News()
	}
}

// Take implements gossip.Content.
func (x *Exchange) Take(from string, b *wire.Beat) {
	if b.GetProbe() == nil {
		x.takeLoad(from, b)
		if x.Usage != nil {
			x.takeTotals(from, b)
		}
	}
	x.Changes.take(b)
	x.HeardConfig(from, b.GetConfigVersion())
	for _, l := range b.GetLeavingEndpoints() {
		x.takeLeaving(l)
	}
	now := x.Clock.Now()
	for _, c := range b.GetCrashes() {
		if x.Crashes.RecordCrash(now, c.GetRequest(), c.GetEndpoint()) {
			x.crashes.add(now, c)
			x.News()
		}
	}
}

// takeLoad takes what only VMs of the active set tell.
func (x *Exchange) takeLoad(from string, b *wire.Beat) {
	now := x.Clock.Now()
	reports := make([]place.Report, 0, len(b.GetOutstanding()))
	for _, o := range b.GetOutstanding() {
		reports = append(reports, place.Report{
			Endpoint: o.GetEndpoint(), Running: int(o.GetRunning()),
			PendingWork: time.Duration(o.GetPendingUs()) * time.Microsecond,
		})
	}
	d := b.GetDemand()
	x.Planner.ReceiveReport(now, from, reports, place.Demand{
		Prefill: float64(d.GetPrefillMs()) / 1000, Streams: float64(d.GetCentiStreams()) / 100,
	})
	x.Pressure.MergeReports(now, from, float64(b.GetRequests()), toldOf(b.GetNotices()))
	for _, id := range b.GetChanging() {
		x.Planner.MarkChangingStage(now, id)
		x.Ordered(id)
	}
	for _, c := range b.GetCached() {
		x.Planner.RecordCached(c.GetEndpoint(), cachesync.Parts(c))
	}
}
