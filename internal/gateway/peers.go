package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/truetime"
	"fescuestand/internal/usage"
	"fescuestand/internal/wire"
)

// GossipContent fills the beats that gateways send each other, and applies received ones. It
// implements gossip.Content.
type GossipContent struct {
	Clock    clock.Clock
	Eras     *era.Tracker // of the store
	Planner  *place.Planner
	Pressure *backpressure.Tracker
	Crashes  *crash.Register
	Catalog  *catalog.Store
	Changes  *Changes
	// Held are the gateway's held requests; nil if they aren't reported.
	Held *HeldRequests
	// RequestRate returns the requests a second that this VM receives.
	RequestRate func() float64
	// OnOrder is called for each engine that another VM has ordered to change its stage.
	OnOrder func(id string)
	// OnPeerConfigVersion is called with the configuration version that a peer uses.
	OnPeerConfigVersion func(vm string, version uint64)
	// OnChange is called when there is an announcement that all VMs should receive soon.
	OnChange func()
	// Time estimates the time of day, and Usage counts requests per window of that time. Both are
	// nil where requests aren't counted.
	Time  *truetime.Estimator
	Usage *usage.Ledger

	crashes announcements[recentCrash]
	leaving announcements[*wire.LeavingEndpoint]

	mu          sync.Mutex
	quarantined []uint64 // prompt parts, as they were last logged
}

// Fill implements gossip.Content.
func (x *GossipContent) Fill(b *wire.Beat) {
	if c := x.Catalog.View().Config; c != nil {
		b.ConfigVersion = c.Version
	}
	if x.Usage != nil {
		b.WallMs = x.Time.LocalTime().UnixMilli()
	}
	x.fillEra(b)
	x.Changes.fillRead(b)
	b.Requests = uint32(math.Ceil(x.RequestRate()))
	d := x.Planner.Demand(x.Clock.Now())
	b.Demand = &wire.Demand{PrefillMs: uint32(1000 * d.Prefill), CentiStreams: uint32(100 * d.Streams)}
	b.LeavingEndpoints = x.leaving.current(x.Clock.Now())
	b.Notices = encodeNotices(x.Pressure.Reports(x.Clock.Now()))
	for _, s := range x.Planner.Slowdowns(x.Clock.Now()) {
		b.Slowdowns = append(b.Slowdowns, &wire.Slowdown{
			Endpoint: s.Endpoint, Percent: uint32(math.Round(100 * s.Slowdown)), AgeMs: uint32(s.Age.Milliseconds()),
		})
	}
	if x.Held != nil {
		x.Held.fill(x.Clock.Now(), b)
	}
	for _, r := range x.Planner.Outstanding() {
		b.Outstanding = append(b.Outstanding, &wire.Outstanding{
			Endpoint: r.Endpoint, Running: uint32(r.Running), PendingUs: uint32(r.PendingWork.Microseconds()),
		})
	}
}

// fillEra adds the newest era of the store, and for how long it is known to have begun.
func (x *GossipContent) fillEra(b *wire.Beat) {
	e, since := x.Eras.Since()
	if e != era.None {
		b.StoreEra, b.StoreEraMs = uint64(e), uint32(min(x.Clock.Now().Sub(since), time.Hour).Milliseconds())
	}
}

// encodeNotices encodes reports on the endpoints' limits for a beat.
func encodeNotices(reports []backpressure.Report) []*wire.EndpointNotice {
	out := make([]*wire.EndpointNotice, 0, len(reports))
	for _, t := range reports {
		n := &wire.EndpointNotice{Endpoint: uint64(t.Endpoint), Sent: t.Sent}
		if t.HasAnswer {
			n.SaidAgeMs, n.Limited, n.Limit = 1+uint32(t.AnswerAge.Milliseconds()), t.Limited, float32(t.Limit)
		}
		out = append(out, n)
	}
	return out
}

// decodeNotices decodes what encodeNotices has encoded.
func decodeNotices(notices []*wire.EndpointNotice) []backpressure.Report {
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

// FillUpdates implements gossip.Content.
func (x *GossipContent) FillUpdates(b *wire.Beat) {
	if c := x.Catalog.View().Config; c != nil {
		b.ConfigVersion = c.Version
	}
	x.fillEra(b)
	x.Changes.fillForwarded(b)
	x.fillCrashes(b)
	b.LeavingEndpoints = x.leaving.current(x.Clock.Now())
}

// DueUsage implements gossip.Content.
func (x *GossipContent) DueUsage() []*wire.UsageWindow {
	if x.Usage == nil {
		return nil
	}
	return usage.Encode(x.Usage.DueTotals(x.Clock.Now()))
}

// receiveTotals merges the time of day and the usage counts of another VM.
func (x *GossipContent) receiveTotals(from string, b *wire.Beat) {
	if b.GetWallMs() != 0 {
		x.Time.ReceiveTime(from, time.UnixMilli(b.GetWallMs()))
	}
	x.Usage.MergeWindows(ProcessName(from, b.GetIncarnation()), b.GetUsage())
}

// ProcessName returns a name that is unique to each process of a VM.
func ProcessName(vm, incarnation string) string { return vm + " " + incarnation }

// maxAnnouncedAge is the age up to which a crash is passed on to all VMs. It outlasts the time until the end of
// an endpoint shows that an answer was cut short; older crashes are only reported as part of a quarantine.
const maxAnnouncedAge = 6 * time.Second

// maxReportedRequests bounds the requests in a message that have crashed several endpoints. Successive
// messages carry different ones.
const maxReportedRequests = 4

// recentCrash is a crash with the time at which its ages were taken.
type recentCrash struct {
	crash.Crash
	at clock.Time
}

// fillCrashes adds recent crashes, and what the receiver should know of some requests and prompt parts that
// have crashed several endpoints.
func (x *GossipContent) fillCrashes(b *wire.Beat) {
	now := x.Clock.Now()
	for _, c := range x.crashes.current(now) {
		b.Crashes = append(b.Crashes, EncodeCrash(c.Later(now.Sub(c.at))))
	}
	for _, c := range x.Crashes.Report(now, maxReportedRequests) {
		b.Crashes = append(b.Crashes, EncodeCrash(c))
	}
	x.logQuarantines(now)
}

// EncodeCrash encodes a crash as of now.
func EncodeCrash(c crash.Crash) *wire.Crash {
	m := &wire.Crash{Request: c.Request, Endpoint: c.Endpoint, AgeMs: milliseconds(c.Age)}
	if c.HasSuccess {
		m.SuccessAgeMs = 1 + milliseconds(min(c.SuccessAge, time.Hour))
	}
	for _, p := range c.Parts {
		e := &wire.PartCrash{Part: p.Part, SentAgeMs: milliseconds(p.SentAge), Answers: p.Answers, Cleared: p.Cleared}
		if p.Refused {
			e.RefusedAgeMs = 1 + milliseconds(p.RefusedAge)
		}
		m.Parts = append(m.Parts, e)
	}
	return m
}

// DecodeCrash decodes a crash as of now.
func DecodeCrash(m *wire.Crash) crash.Crash {
	c := crash.Crash{Request: m.GetRequest(), Endpoint: m.GetEndpoint(), Age: fromMilliseconds(m.GetAgeMs())}
	if age := m.GetSuccessAgeMs(); age > 0 {
		c.HasSuccess, c.SuccessAge = true, fromMilliseconds(age-1)
	}
	for _, e := range m.GetParts() {
		p := crash.PartCrash{Part: e.GetPart(), SentAge: fromMilliseconds(e.GetSentAgeMs()), Answers: e.GetAnswers(), Cleared: e.GetCleared()}
		if age := e.GetRefusedAgeMs(); age > 0 {
			p.Refused, p.RefusedAge = true, fromMilliseconds(age-1)
		}
		c.Parts = append(c.Parts, p)
	}
	return c
}

// milliseconds returns d in whole milliseconds, at most a month.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), 30*24*time.Hour).Milliseconds())
}

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// RecordOwnCrash records a crash of an endpoint that this VM has observed, and announces it to all VMs.
// It returns the message for other VMs, or nil if the crash was known.
func (x *GossipContent) RecordOwnCrash(c crash.Crash) *wire.Crash { return x.recordCrash(c, "") }

// AnnounceLeaving marks an endpoint as leaving that has announced this itself, and announces it to
// all VMs.
func (x *GossipContent) AnnounceLeaving(e *catalog.Endpoint) {
	x.receiveLeaving(&wire.LeavingEndpoint{Id: e.ID, Born: e.Born})
}

func (x *GossipContent) receiveLeaving(l *wire.LeavingEndpoint) {
	if x.Catalog.SetLeaving(l.GetId(), l.GetBorn()) {
		x.leaving.add(x.Clock.Now(), l)
		x.OnChange()
	}
}

// Receive implements gossip.Content.
func (x *GossipContent) Receive(from string, b *wire.Beat) {
	x.Eras.Merge(era.Era(b.GetStoreEra()), time.Duration(b.GetStoreEraMs())*time.Millisecond, from)
	if b.GetProbe() == nil {
		x.receiveLoad(from, b)
		if x.Usage != nil {
			x.receiveTotals(from, b)
		}
	}
	x.Changes.receive(b)
	x.OnPeerConfigVersion(from, b.GetConfigVersion())
	for _, l := range b.GetLeavingEndpoints() {
		x.receiveLeaving(l)
	}
	for _, c := range b.GetCrashes() {
		if x.recordCrash(DecodeCrash(c), from) != nil {
			x.OnChange()
		}
	}
}

// RecordStoredCrash records a crash for which a request or a part was quarantined when the store recorded it.
func (x *GossipContent) RecordStoredCrash(c crash.Crash) { x.recordCrash(c, "store") }

// recordCrash records a crash that this VM or the VM from has observed, and announces it to all VMs if
// it is recent. It returns the message for other VMs, or nil if the crash was known.
func (x *GossipContent) recordCrash(c crash.Crash, from string) *wire.Crash {
	now := x.Clock.Now()
	if !x.Crashes.Record(now, c) {
		return nil
	}
	for _, u := range x.Crashes.TakeUnproven(now, c.Endpoint) {
		x.recordCrash(u, "")
	}
	c = x.Crashes.Describe(now, c)
	if c.Age < maxAnnouncedAge {
		x.crashes.add(now, recentCrash{c, now})
	}
	e := log.WithField("endpoint", c.Endpoint).WithField("from", from)
	if c.Request != 0 {
		e = e.WithField("fingerprint", formatFingerprint(c.Request)).WithField("crashes", x.Crashes.CrashCount(now, c.Request))
	}
	e.WithField("parts", x.formatPartCrashes(now, c.Parts)).Info("endpoint crash recorded")
	x.logQuarantines(now)
	return EncodeCrash(c)
}

// formatPartCrashes returns parts with the number of endpoints that crashed under each, for the log.
func (x *GossipContent) formatPartCrashes(now clock.Time, parts []crash.PartCrash) string {
	var out []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		out = append(out, formatFingerprint(p.Part)+":"+strconv.Itoa(x.Crashes.PartCrashCount(now, p.Part)))
	}
	return strings.Join(out, ",")
}

// logQuarantines logs which parts have been quarantined or released since the last call.
func (x *GossipContent) logQuarantines(now clock.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	parts := x.Crashes.QuarantinedParts(now)
	for _, p := range parts {
		if !slices.Contains(x.quarantined, p) {
			log.WithField("part", formatFingerprint(p)).WithField("crashes", x.Crashes.PartCrashCount(now, p)).Warn("prompt part quarantined")
		}
	}
	for _, p := range x.quarantined {
		if !slices.Contains(parts, p) {
			log.WithField("part", formatFingerprint(p)).Info("prompt part released")
		}
	}
	x.quarantined = parts
}

func decodeSlowdowns(list []*wire.Slowdown) []place.Slowdown {
	out := make([]place.Slowdown, 0, len(list))
	for _, s := range list {
		out = append(out, place.Slowdown{
			Endpoint: s.GetEndpoint(), Slowdown: float64(s.GetPercent()) / 100, Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

// receiveLoad applies the load, limits, orders and cached prompts that only VMs of the active set
// send.
func (x *GossipContent) receiveLoad(from string, b *wire.Beat) {
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
	x.Planner.ReceiveSlowdowns(now, decodeSlowdowns(b.GetSlowdowns()))
	if x.Held != nil {
		x.Held.receive(now, from, b.GetHeld())
	}
	x.Pressure.MergeReports(now, from, float64(b.GetRequests()), decodeNotices(b.GetNotices()))
	for _, id := range b.GetChanging() {
		x.Planner.MarkChangingStage(now, id)
		x.OnOrder(id)
	}
	for _, c := range b.GetCached() {
		x.Planner.RecordCached(c.GetEndpoint(), cachesync.Parts(c))
	}
}
