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
	// sweepEvery is the interval of the control goroutine's health check.
	sweepEvery = 250 * time.Millisecond
)

// Options changes the configurations that the policies get; nil leaves them.
type Options struct {
	Name  string
	Admit func(*admit.Config)
	Route func(*route.Config)
}

// Policy returns admission and routing as an entry wires them. It serves one
// run only.
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

// entry holds one entry's policies and what they need to know of its requests.
type entry struct {
	cfg     loadtest.Config
	rcfg    route.Config
	router  *route.Router
	queue   *admit.Queue
	reqs    map[int]*request
	seen    []engineSeen
	swept   clock.Time
	started bool
	slots   int
}

type engineSeen struct {
	role   loadtest.Role
	state  loadtest.State
	report clock.Time
	cached map[uint64]int
	seq    uint64
}

type request struct {
	admit    admit.Request
	route    route.Request
	dispatch route.Dispatch
	sentAt   clock.Time // first dispatch
	decoding bool       // has been prefilled and handed over
}

func newEntry(o Options, s loadtest.Setup, mixed bool) *entry {
	m := s.Config.Model
	rc := route.Config{
		Zone:          fmt.Sprint("zone-", s.Index%s.Config.Zones),
		Entries:       s.Config.Entries,
		StrictRoles:   true,
		BetweenTokens: s.Config.Workload.Short.BetweenToken,
		KVBytes:       1,
		KVBandwidth:   m.KVTransferRate,
		KVSetup:       m.KVTransferSetup,
	}
	if mixed {
		// The loop tells the first token of a mixed engine only with the end.
		rc.Stuck = time.Minute
	}
	if o.Route != nil {
		o.Route(&rc)
	}
	ac := admit.Config{
		Rates: admit.Rates{
			Base:            5 * time.Millisecond,
			PrefillPerToken: perToken(m.PrefillRate),
			DecodePerToken:  m.StepBase + time.Duration(m.MaxBatch/2)*m.StepPerStream,
			Batch:           m.MaxBatch,
		},
	}
	for _, c := range s.Config.Workload.Classes() {
		ac.Classes = append(ac.Classes, admit.Class{Name: c.Name, Output: c.Output, Weight: 1, Urgent: c.Priority > 0})
	}
	if o.Admit != nil {
		o.Admit(&ac)
	}
	return &entry{
		cfg:    s.Config,
		rcfg:   rc,
		router: route.NewRouter(rc, s.Seed<<8|uint64(s.Index)),
		queue:  admit.NewQueue(ac),
		reqs:   map[int]*request{},
		seen:   make([]engineSeen, s.Config.Engines),
	}
}

func perToken(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

func engineName(id int) string { return fmt.Sprintf("engine-%03d", id) }

// sync brings what the view has learned to the policies.
func (e *entry) sync(now clock.Time, v *loadtest.View) {
	e.publish(now, v)
	for i := range v.Engines {
		e.report(&v.Engines[i])
	}
	if now.Sub(e.swept) >= sweepEvery {
		e.swept = now
		e.router.Sweep(now)
	}
}

func (e *entry) publish(now clock.Time, v *loadtest.View) {
	changed := !e.started
	for i := range v.Engines {
		g, s := &v.Engines[i], &e.seen[i]
		if g.Role != s.role || g.State != s.state {
			s.role, s.state, changed = g.Role, g.State, true
		}
	}
	if !changed {
		return
	}
	e.started = true
	eps := make([]route.Endpoint, len(v.Engines))
	for i := range v.Engines {
		eps[i] = e.endpoint(&v.Engines[i])
	}
	e.router.Publish(now, route.NewTable(e.rcfg, eps))
}

func (e *entry) endpoint(g *loadtest.EngineView) route.Endpoint {
	m := e.cfg.Model
	states := [...]route.State{route.Open, route.Draining, route.Away, route.Away}
	roles := [...]route.Role{route.Mixed, route.Prefill, route.Decode}
	return route.Endpoint{
		Name:            engineName(g.ID),
		Pool:            pool,
		Zone:            fmt.Sprint("zone-", g.Zone),
		Role:            roles[g.Role],
		State:           states[g.State],
		Slots:           m.MaxBatch,
		PrefillPerToken: perToken(m.PrefillRate),
		DecodePerToken:  m.StepBase,
	}
}

func (e *entry) report(g *loadtest.EngineView) {
	s := &e.seen[g.ID]
	if g.Report.MeasuredAt == s.report {
		return
	}
	s.report = g.Report.MeasuredAt
	e.router.Report(engineName(g.ID), route.Report{
		TakenAt:       g.Report.MeasuredAt,
		Running:       g.Report.Running + g.Report.WaitingDecode,
		Waiting:       g.Report.WaitingPrefill,
		PrefillTokens: g.Report.WaitingPrefillTokens,
		Step:          g.Report.StepTime,
	})
	e.router.CacheEvents(engineName(g.ID), s.events(g.Report.CachedPrefixes))
}

// events turns the difference between two lists of cached prefixes to events.
func (s *engineSeen) events(cached []loadtest.CachedPrefix) []route.CacheEvent {
	var out []route.CacheEvent
	now := make(map[uint64]int, len(cached))
	for _, c := range cached {
		now[c.Key] = c.Blocks
		for i := s.cached[c.Key]; i < c.Blocks; i++ {
			s.seq++
			out = append(out, route.CacheEvent{Seq: s.seq, Piece: piece(c.Key, i)})
		}
	}
	for key, n := range s.cached {
		for i := now[key]; i < n; i++ {
			s.seq++
			out = append(out, route.CacheEvent{Seq: s.seq, Piece: piece(key, i), Evicted: true})
		}
	}
	s.cached = now
	return out
}

// piece is a stand-in for the hash of one piece of a key's prefix.
func piece(key uint64, i int) uint64 {
	return (key+1)*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9
}

type admission struct{ *entry }

func (a admission) Arrive(now clock.Time, q *loadtest.Request, v *loadtest.View) code.Code {
	a.sync(now, v)
	c := a.cfg.Workload.Classes()[q.Class]
	r := &request{admit: admit.Request{
		Class:     c.Name,
		Workspace: fmt.Sprint("workspace-", q.Caller),
		Caller:    fmt.Sprint("caller-", q.Caller),
		Prompt:    q.Prompt,
		Deadline:  q.Deadline,
		FirstBy:   q.Arrive.Add(c.FirstToken),
		Value:     q,
	}}
	r.route = route.Request{Pool: pool, Prompt: q.Prompt, Urgent: c.Priority > 0}
	for i := range q.Prefix / loadtest.BlockTokens {
		r.route.Pieces = append(r.route.Pieces, piece(q.Key, i))
	}
	q.Priority = c.Priority
	a.reqs[q.ID] = r
	verdict := a.queue.Offer(now, &r.admit)
	if verdict.Err != nil {
		delete(a.reqs, q.ID)
		return verdict.Err.Code
	}
	return code.OK
}

func (a admission) Next(now clock.Time, v *loadtest.View) (*loadtest.Request, []loadtest.Refusal) {
	if a.queue.Len() == 0 && a.slots > 0 {
		return nil, nil
	}
	a.sync(now, v)
	c := a.router.Capacity(now, pool, route.Artifact{}, "")
	var dropped []admit.Refusal
	if c.Slots != a.slots {
		a.slots = c.Slots
		dropped = a.queue.SetCapacity(now, c.Slots)
	}
	r, late := a.queue.Next(now, admit.Room{Normal: c.Normal, Urgent: c.Urgent})
	var refused []loadtest.Refusal
	for _, d := range append(dropped, late...) {
		q := d.Request.Value.(*loadtest.Request)
		refused = append(refused, loadtest.Refusal{Request: q, Code: d.Err.Code})
		delete(a.reqs, q.ID)
	}
	if r == nil {
		return nil, refused
	}
	return r.Value.(*loadtest.Request), refused
}

func (a admission) Requeue(now clock.Time, q *loadtest.Request) {
	r := a.reqs[q.ID]
	if r == nil {
		return
	}
	a.router.Done(now, &r.dispatch, route.Canceled)
	a.queue.Return(&r.admit)
}

func (a admission) Done(now clock.Time, o loadtest.Outcome) {
	r := a.reqs[o.Request.ID]
	if r == nil {
		return
	}
	m := admit.Measured{OK: o.OK}
	if o.OK {
		m.FirstToken = o.Request.Arrive.Add(o.FirstToken).Sub(r.sentAt)
		m.Output = o.Request.Output
		m.Step = (o.Total - o.FirstToken) / time.Duration(max(o.Request.Output-1, 1))
	}
	if o.OK || now >= o.Request.Deadline {
		a.queue.Done(now, &r.admit, m)
		a.queue.Cancel(&r.admit)
		delete(a.reqs, o.Request.ID)
	}
}
