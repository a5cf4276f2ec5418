package policytest

import (
	"fmt"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/route"
)

const (
	pool = "drafts"
	// sweepInterval is the interval at which the router checks the health of its endpoints.
	sweepInterval = 250 * time.Millisecond
)

// Options names a policy and changes its configurations. A nil function changes nothing.
type Options struct {
	Name  string
	Admit func(*admit.Config)
	Route func(*route.Config)
}

// Policy returns admission and routing connected as in an entry, with the roles that split
// assigns. Each run needs a new Policy.
func Policy(o Options, split func(int) []loadtest.Role) loadtest.Policy {
	entries := map[int]*entry{}
	return loadtest.Policy{
		Name: o.Name,
		Admission: func(s loadtest.Setup) loadtest.Admission {
			entries[s.Index] = newEntry(o, s, slices.Contains(split(s.Config.Engines), loadtest.Mixed))
			return admission{entries[s.Index]}
		},
		Routing: func(s loadtest.Setup) loadtest.Routing { return routing{entries[s.Index]} },
		Split:   split,
	}
}

// entry holds the policies of one entry and the state of its requests.
type entry struct {
	cfg         loadtest.Config
	routeConfig route.Config
	router      *route.Router
	queue       *admit.Queue
	requests    map[int]*request // by request ID
	engines     []engineState
	lastSweep   clock.Time
	published   bool // the router has a table
	slots       int  // capacity last set in the queue
}

// engineState is the state of one engine that the router has been given.
type engineState struct {
	role         loadtest.Role
	state        loadtest.State
	reportedAt   clock.Time     // when the latest report was measured
	cachedBlocks map[uint64]int // number by key
	eventSeq     uint64         // of the latest cache event
}

type request struct {
	admit    admit.Request
	route    route.Request
	dispatch route.Dispatch
	sentAt   clock.Time // first dispatch
	decoding bool       // prefilled, and a decode engine has been picked before
}

func newEntry(o Options, s loadtest.Setup, mixed bool) *entry {
	m := s.Config.Model
	routeCfg := route.Config{
		Zone:                   fmt.Sprint("zone-", s.Index%s.Config.Zones),
		Entries:                s.Config.Entries,
		StrictRoles:            true,
		BetweenTokensObjective: s.Config.Workload.Short.BetweenToken,
		KVBytesPerToken:        1,
		KVBandwidth:            m.KVTransferRate,
		KVTransferOverhead:     m.KVTransferSetup,
	}
	if mixed {
		// The simulation reports the first token of a mixed engine only when the answer ends.
		routeCfg.StuckTimeout = time.Minute
	}
	if o.Route != nil {
		o.Route(&routeCfg)
	}
	admitCfg := admit.Config{
		Rates: admit.Rates{
			Base:            5 * time.Millisecond,
			PrefillPerToken: perToken(m.PrefillRate),
			DecodePerToken:  m.StepBase + time.Duration(m.MaxBatch/2)*m.StepPerStream,
			Batch:           m.MaxBatch,
		},
	}
	for _, c := range s.Config.Workload.Classes() {
		admitCfg.Classes = append(admitCfg.Classes, admit.Class{Name: c.Name, OutputTokens: c.Output, Weight: 1, Urgent: c.Priority > 0})
	}
	if o.Admit != nil {
		o.Admit(&admitCfg)
	}
	return &entry{
		cfg:         s.Config,
		routeConfig: routeCfg,
		router:      route.NewRouter(routeCfg, s.Seed<<8|uint64(s.Index)),
		queue:       admit.NewQueue(admitCfg),
		requests:    map[int]*request{},
		engines:     make([]engineState, s.Config.Engines),
	}
}

func perToken(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

func engineName(id int) string { return fmt.Sprintf("engine-%03d", id) }

// syncView passes changes of the view to the router.
func (e *entry) syncView(now clock.Time, v *loadtest.View) {
	e.publishTable(now, v)
	for i := range v.Engines {
		e.applyReport(&v.Engines[i])
	}
	if now.Sub(e.lastSweep) >= sweepInterval {
		e.lastSweep = now
		e.router.EjectOutliers(now)
	}
}

// publishTable publishes a new table if an engine's role or state has changed.
func (e *entry) publishTable(now clock.Time, v *loadtest.View) {
	changed := !e.published
	for i := range v.Engines {
		view, s := &v.Engines[i], &e.engines[i]
		if view.Role != s.role || view.State != s.state {
			s.role, s.state, changed = view.Role, view.State, true
		}
	}
	if !changed {
		return
	}
	e.published = true
	endpoints := make([]route.Endpoint, len(v.Engines))
	for i := range v.Engines {
		endpoints[i] = e.endpoint(&v.Engines[i])
	}
	e.router.Publish(now, route.NewTable(e.routeConfig, endpoints))
}

func (e *entry) endpoint(view *loadtest.EngineView) route.Endpoint {
	m := e.cfg.Model
	states := [...]route.State{route.Open, route.Draining, route.Unavailable, route.Unavailable}
	roles := [...]route.Role{route.Mixed, route.Prefill, route.Decode}
	return route.Endpoint{
		Name:            engineName(view.ID),
		Pool:            pool,
		Zone:            fmt.Sprint("zone-", view.Zone),
		Role:            roles[view.Role],
		State:           states[view.State],
		Slots:           m.MaxBatch,
		PrefillPerToken: perToken(m.PrefillRate),
		DecodePerToken:  m.StepBase,
	}
}

// applyReport passes an engine's load report and cache changes to the router, once each.
func (e *entry) applyReport(view *loadtest.EngineView) {
	s := &e.engines[view.ID]
	if view.Report.MeasuredAt == s.reportedAt {
		return
	}
	s.reportedAt = view.Report.MeasuredAt
	e.router.ObserveReport(engineName(view.ID), route.Report{
		TakenAt:       view.Report.MeasuredAt,
		Running:       view.Report.Running + view.Report.WaitingDecode,
		Waiting:       view.Report.WaitingPrefill,
		PrefillTokens: view.Report.WaitingPrefillTokens,
		StepTime:      view.Report.StepTime,
	})
	e.router.ApplyCacheEvents(engineName(view.ID), s.cacheEvents(view.Report.CachedPrefixes))
}

// cacheEvents returns the difference between the previous and the current cached prefixes as
// events.
func (s *engineState) cacheEvents(cached []loadtest.CachedPrefix) []route.CacheEvent {
	var out []route.CacheEvent
	current := make(map[uint64]int, len(cached))
	for _, c := range cached {
		current[c.Key] = c.Blocks
		for i := s.cachedBlocks[c.Key]; i < c.Blocks; i++ {
			s.eventSeq++
			out = append(out, route.CacheEvent{Seq: s.eventSeq, Piece: blockHash(c.Key, i)})
		}
	}
	for key, n := range s.cachedBlocks {
		for i := current[key]; i < n; i++ {
			s.eventSeq++
			out = append(out, route.CacheEvent{Seq: s.eventSeq, Piece: blockHash(key, i), Evicted: true})
		}
	}
	s.cachedBlocks = current
	return out
}

// blockHash returns a value that replaces the hash of block i of a key's prefix.
func blockHash(key uint64, i int) uint64 {
	return (key+1)*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9
}

type admission struct{ *entry }

func (a admission) Arrive(now clock.Time, q *loadtest.Request, v *loadtest.View) code.Code {
	a.syncView(now, v)
	c := a.cfg.Workload.Classes()[q.Class]
	r := &request{admit: admit.Request{
		Class:              c.Name,
		Workspace:          fmt.Sprint("workspace-", q.Caller),
		Caller:             fmt.Sprint("caller-", q.Caller),
		PromptTokens:       q.Prompt,
		Deadline:           q.Deadline,
		FirstTokenDeadline: q.Arrive.Add(c.FirstToken),
		Value:              q,
	}}
	r.route = route.Request{Pool: pool, PromptTokens: q.Prompt, Urgent: c.Priority > 0}
	for i := range q.Prefix / loadtest.BlockTokens {
		r.route.Pieces = append(r.route.Pieces, blockHash(q.Key, i))
	}
	q.Priority = c.Priority
	a.requests[q.ID] = r
	verdict := a.queue.Offer(now, &r.admit)
	if verdict.Err != nil {
		delete(a.requests, q.ID)
		return verdict.Err.Code
	}
	return code.OK
}

func (a admission) Next(now clock.Time, v *loadtest.View) (*loadtest.Request, []loadtest.Refusal) {
	if a.queue.Len() == 0 && a.slots > 0 {
		return nil, nil
	}
	a.syncView(now, v)
	c := a.router.Capacity(now, pool, route.Artifact{}, "")
	var dropped []admit.Refusal
	if c.Slots != a.slots {
		a.slots = c.Slots
		dropped = a.queue.SetCapacity(now, c.Slots)
	}
	r, late := a.queue.Next(now, admit.FreeSlots{Normal: c.Normal, Urgent: c.Urgent})
	var refused []loadtest.Refusal
	for _, d := range append(dropped, late...) {
		q := d.Request.Value.(*loadtest.Request)
		refused = append(refused, loadtest.Refusal{Request: q, Code: d.Err.Code})
		delete(a.requests, q.ID)
	}
	if r == nil {
		return nil, refused
	}
	return r.Value.(*loadtest.Request), refused
}

func (a admission) Requeue(now clock.Time, q *loadtest.Request) {
	r := a.requests[q.ID]
	if r == nil {
		return
	}
	a.router.Done(now, &r.dispatch, route.Canceled)
	a.queue.Requeue(&r.admit)
}

func (a admission) Done(now clock.Time, o loadtest.Outcome) {
	r := a.requests[o.Request.ID]
	if r == nil {
		return
	}
	m := admit.Measurement{OK: o.OK}
	if o.OK {
		m.FirstToken = o.Request.Arrive.Add(o.FirstToken).Sub(r.sentAt)
		m.OutputTokens = o.Request.Output
		m.Step = (o.Total - o.FirstToken) / time.Duration(max(o.Request.Output-1, 1))
	}
	if o.OK || now >= o.Request.Deadline {
		a.queue.Done(now, &r.admit, m)
		a.queue.Cancel(&r.admit)
		delete(a.requests, o.Request.ID)
	}
}
