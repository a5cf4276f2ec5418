package gateway

import (
	"math"
	"time"

	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// Exchange fills and takes the beats that gateways send each other. It
// implements gossip.Content.
type Exchange struct {
	Clock   clock.Clock
	Planner *place.Planner
	Crashes *crash.Register
	Catalog *catalog.Store
	Changes *Changes
	// Rate is how many requests a second this VM gets.
	Rate func() float64
	// Ordered is told of each engine that another VM has ordered to change.
	Ordered func(id string)
	// HeardConfig is told which version of the configuration a VM serves by.
	HeardConfig func(vm string, version uint64)
}

// Fill implements gossip.Content.
func (x *Exchange) Fill(b *wire.Beat) {
	if c := x.Catalog.View().Config; c != nil {
		b.ConfigVersion = c.Version
	}
	x.Changes.fill(b)
	b.Requests = uint32(math.Ceil(x.Rate()))
	d := x.Planner.Demand(x.Clock.Now())
	b.Demand = &wire.Demand{PrefillMs: uint32(1000 * d.Prefill), CentiStreams: uint32(100 * d.Streams)}
	for _, r := range x.Planner.Outstanding() {
		b.Outstanding = append(b.Outstanding, &wire.Outstanding{
			Endpoint: r.Endpoint, Running: uint32(r.Running), PendingUs: uint32(r.Pending.Microseconds()),
		})
	}
}

// Take implements gossip.Content.
func (x *Exchange) Take(from string, b *wire.Beat) {
	now := x.Clock.Now()
	reports := make([]place.Report, 0, len(b.GetOutstanding()))
	for _, o := range b.GetOutstanding() {
		reports = append(reports, place.Report{
			Endpoint: o.GetEndpoint(), Running: int(o.GetRunning()),
			Pending: time.Duration(o.GetPendingUs()) * time.Microsecond,
		})
	}
	d := b.GetDemand()
	x.Planner.Hear(now, from, reports, place.Demand{
		Prefill: float64(d.GetPrefillMs()) / 1000, Streams: float64(d.GetCentiStreams()) / 100,
	})
	for _, id := range b.GetChanging() {
		x.Planner.Changing(now, id)
		x.Ordered(id)
	}
	x.Changes.take(b)
	x.HeardConfig(from, b.GetConfigVersion())
	for _, c := range b.GetCached() {
		x.Planner.HearCached(c.GetEndpoint(), cachesync.Parts(c))
	}
	for _, c := range b.GetCrashes() {
		x.Crashes.Note(now, c.GetRequest(), c.GetEndpoint())
	}
}
