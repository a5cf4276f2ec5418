package simworld

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/authority"
	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
	"fescuestand/internal/gossip"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/origin"
)

const (
	// storeLatency is the shortest time until the store's answer, and storeJitter the most that is added to it.
	storeLatency = 4 * time.Millisecond
	storeJitter  = 2 * time.Millisecond
	// partitions is the number of partitions that the group shares. A member that owns none isn't listed.
	partitions = 8
)

// The store's logs.
const (
	configLog = iota
	endpointLog
	leaderLog
	recordLog
	originLog
	logs // the number of logs
)

type record struct{ key, value string }

// store is the platform's store: keyed logs and one group. A record without a value deletes its key.
type store struct {
	seed uint64

	mu         sync.Mutex
	logs       [logs][]record
	first      [logs]int64   // offset of the oldest record that Read returns
	changed    chan struct{} // closed and replaced when a record is appended
	generation int64
	members    []string // in the order of joining
	nodes      map[string]gossip.Node
	expires    map[string]time.Time
	owner      [partitions]string
	era        era.Era
	faults     storeFaults
}

// storeFaults is what is wrong with the store.
type storeFaults struct {
	latency time.Duration // added to each call
	// rejects reports whether a VM's call fails, unless it is nil.
	rejects func(vm string, isWrite bool) bool
}

// setFaults replaces the store's faults.
func (s *store) setFaults(f storeFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// rejectsCall reports whether a VM's call fails.
func (s *store) rejectsCall(vm string, isWrite bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.rejects != nil && s.faults.rejects(vm, isWrite)
}

// lengths returns the lengths of the logs, for a copy of the store.
func (s *store) lengths() (n [logs]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.logs {
		n[i] = len(s.logs[i])
	}
	return n
}

// restore restores the store from a copy of it.
func (s *store) restore(lengths [logs]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.logs {
		s.logs[i] = s.logs[i][:lengths[i]]
		s.first[i] = min(s.first[i], int64(lengths[i]))
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget deletes the history of the logs, of which the newest record of each key stays.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.logs {
		s.first[i] = int64(len(s.logs[i]))
	}
}

// expired returns the error of a read from a position on whose records have been deleted.
func (c *source) expired(from era.Position) error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if first := c.s.first[c.log]; from.Era == c.s.era && from.Offset < first {
		return &keyedlog.ExpiredError{First: c.s.position(int(first))}
	}
	return nil
}

func (s *store) currentEra() era.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func newStore(seed uint64) *store {
	return &store{seed: seed, era: era.MaxFirst, changed: make(chan struct{}), nodes: map[string]gossip.Node{}, expires: map[string]time.Time{}}
}

func (s *store) put(log int, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[log] = append(s.logs[log], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putIf appends a record if the log still ends at an offset.
func (s *store) putIf(log int, end int64, key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int64(len(s.logs[log])) != end {
		return false
	}
	s.logs[log] = append(s.logs[log], record{key, value})
	return true
}

// client is the store's client of one VM.
type client struct {
	s       *store
	name    string
	eras    *era.Tracker
	process *process // that makes the calls
}

// call takes the time of a call that reads. It fails if ctx ends.
func (c *client) call(ctx context.Context) error { return c.do(ctx, false) }

// write takes the time of a call that writes. It fails if ctx ends.
func (c *client) write(ctx context.Context) error { return c.do(ctx, true) }

func (c *client) do(ctx context.Context, isWrite bool) error {
	c.s.mu.Lock()
	latency := storeLatency + c.s.faults.latency
	c.s.mu.Unlock()
	moment := xxhash.Sum64String(fmt.Sprint(c.s.seed, c.name, time.Now().UnixNano()))
	if !clock.Sleep(ctx, latency+time.Duration(moment%uint64(storeJitter))) {
		return fmt.Errorf("%w: %w", driver.ErrConnectionLost, ctx.Err())
	}
	if c.process.isKilled() {
		return driver.ErrConnectionLost
	}
	if c.s.rejectsCall(c.name, isWrite) {
		return driver.ErrFailed
	}
	c.eras.Observe(c.s.currentEra(), "call")
	return nil
}

// source implements keyedlog.Source.
type source struct {
	*client
	log int
}

// Newest implements keyedlog.Source. It returns all keys as one page.
func (c *source) Newest(ctx context.Context, after string) (keyedlog.NewestPage, error) {
	if err := c.call(ctx); err != nil {
		return keyedlog.NewestPage{}, err
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	newest := map[string]keyedlog.Entry{}
	for i, r := range c.s.logs[c.log] {
		newest[r.key] = entry(r, c.s.position(i))
	}
	var out []keyedlog.Entry
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if e := newest[key]; e.Value != nil && key > after {
			out = append(out, e)
		}
	}
	return keyedlog.NewestPage{Entries: out, End: c.s.position(len(c.s.logs[c.log]))}, nil
}

// Read implements keyedlog.Source.
func (c *source) Read(ctx context.Context, from era.Position, wait time.Duration) (keyedlog.Page, error) {
	if err := c.call(ctx); err != nil {
		return keyedlog.Page{}, err
	}
	if err := c.expired(from); err != nil {
		return keyedlog.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		out, next, changed := c.after(from)
		if len(out) > 0 || wait == 0 || next.Era != from.Era {
			return keyedlog.Page{Entries: out, Next: next, End: next.Offset}, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return keyedlog.Page{Next: next, End: next.Offset}, nil
		case <-ctx.Done():
			return keyedlog.Page{}, fmt.Errorf("%w: %w", driver.ErrConnectionLost, ctx.Err())
		}
	}
}

// after returns the records from a position on, and a channel that is closed when there are more. It returns none of a
// later era.
func (c *source) after(from era.Position) ([]keyedlog.Entry, era.Position, <-chan struct{}) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	var out []keyedlog.Entry
	end := c.s.position(len(c.s.logs[c.log]))
	if from.Era != end.Era {
		return nil, end, c.s.changed
	}
	for i, r := range c.s.logs[c.log][from.Offset:] {
		out = append(out, entry(r, c.s.position(int(from.Offset)+i)))
	}
	return out, end, c.s.changed
}

func entry(r record, at era.Position) keyedlog.Entry {
	e := keyedlog.Entry{Key: r.key, Position: at}
	if r.value != "" {
		e.Value = []byte(r.value)
	}
	return e
}

// position returns a position of the current era. s.mu is held.
func (s *store) position(offset int) era.Position {
	return era.Position{Era: s.era, Offset: int64(offset)}
}

// Join implements gossip.Group. It takes no time: a drain waits for a join under way with a lock, on which a bubble's
// time stands still.
func (c *client) Join(_ context.Context, n gossip.Node, ttl time.Duration) (gossip.Assignment, error) {
	if c.process.isKilled() || c.s.rejectsCall(c.name, false) {
		return gossip.Assignment{}, driver.ErrConnectionLost
	}
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !slices.Contains(s.members, n.Peer) {
		s.members = append(s.members, n.Peer)
		s.generation++
	}
	n.Incarnation = "" // the group knows a VM, not its process
	s.nodes[n.Peer], s.expires[n.Peer] = n, time.Now().Add(ttl)
	for i := range s.owner {
		// A partition gets another owner when its owner joins, which then hears of the loss, or is gone.
		if s.owner[i] == n.Peer || !slices.Contains(s.members, s.owner[i]) {
			s.owner[i] = s.members[i%len(s.members)]
		}
	}
	c.eras.Observe(s.era, "join")
	return gossip.Assignment{Leader: s.owner[0] == n.Peer, Era: s.era, Generation: s.generation}, nil
}

// expire removes the members that haven't joined again in time. s.mu is held.
func (s *store) expire() {
	for _, m := range slices.Clone(s.members) {
		if time.Now().After(s.expires[m]) {
			s.remove(m)
		}
	}
}

// remove removes a member. s.mu is held.
func (s *store) remove(member string) {
	if i := slices.Index(s.members, member); i >= 0 {
		s.members = slices.Delete(s.members, i, i+1)
		s.generation++
	}
}

// Leave implements gossip.Group.
func (c *client) Leave(_ context.Context, n gossip.Node) error {
	if c.process.isKilled() {
		return driver.ErrConnectionLost
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.remove(n.Peer)
	return nil
}

// Members implements gossip.Group.
func (c *client) Members(ctx context.Context) ([]gossip.Node, error) {
	if err := c.call(ctx); err != nil {
		return nil, err
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	var out []gossip.Node
	for _, m := range c.s.members {
		if slices.Contains(c.s.owner[:], m) {
			out = append(out, c.s.nodes[m])
		}
	}
	return out, nil
}

// Records implements originsync.Store.
func (c *client) Records(ctx context.Context) (originsync.Records, error) {
	entries, end, err := keyedlog.ReadNewest(ctx, &source{c, recordLog})
	out := originsync.Records{Incomplete: end.Era > era.First}
	for _, e := range entries {
		if e.Key == completeKey {
			out.Incomplete = out.Incomplete && string(e.Value) != fmt.Sprint(uint64(end.Era))
			continue
		}
		if e.Key == quarantinesKey {
			err = errors.Join(err, json.Unmarshal(e.Value, &out.Quarantines))
			continue
		}
		var s origin.Start
		err = errors.Join(err, json.Unmarshal(e.Value, &s))
		out.Starts = append(out.Starts, s)
	}
	return out, err
}

// The keys in recordLog, apart from those of starts.
const (
	quarantinesKey = "quarantines"
	completeKey    = "starts-complete"
)

// MarkComplete implements originsync.Store.
func (c *client) MarkComplete(ctx context.Context, e era.Era) error {
	if err := c.write(ctx); err != nil {
		return err
	}
	c.s.put(recordLog, completeKey, fmt.Sprint(uint64(e)))
	return nil
}

// PutQuarantines implements vm.QuarantineStore.
func (c *client) PutQuarantines(ctx context.Context, crashes []crash.Crash) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	text, err := json.Marshal(crashes)
	if len(crashes) == 0 {
		text = nil
	}
	c.s.put(recordLog, quarantinesKey, string(text))
	return err
}

// PutStarts implements originsync.Store.
func (c *client) PutStarts(ctx context.Context, starts []origin.Start) error {
	return c.putStarts(ctx, starts, func(text string) string { return text })
}

// DeleteStarts implements originsync.Store.
func (c *client) DeleteStarts(ctx context.Context, starts []origin.Start) error {
	return c.putStarts(ctx, starts, func(string) string { return "" })
}

func (c *client) putStarts(ctx context.Context, starts []origin.Start, value func(text string) string) error {
	if err := c.write(ctx); err != nil {
		return err
	}
	for _, s := range starts {
		key, err := json.Marshal(s)
		if err != nil {
			return err
		}
		c.s.put(recordLog, string(key), value(string(key)))
	}
	return nil
}

// AppendOrigins implements originsync.Store.
func (c *client) AppendOrigins(ctx context.Context, origins []originsync.Archived) error {
	if err := c.write(ctx); err != nil {
		return err
	}
	text, err := json.Marshal(origins)
	if err == nil {
		c.s.put(originLog, "", string(text))
	}
	return err
}

// Origins implements originsync.Store. It returns all origins as one page.
func (c *client) Origins(ctx context.Context, from era.Position) (originsync.OriginPage, error) {
	if current := c.s.currentEra(); from.Era != current {
		from = era.Position{Era: current}
	}
	page, err := (&source{c, originLog}).Read(ctx, from, 0)
	if err != nil {
		return originsync.OriginPage{}, err
	}
	out := originsync.OriginPage{Next: page.Next}
	for _, e := range page.Entries {
		var origins []originsync.Archived
		if err := json.Unmarshal(e.Value, &origins); err != nil {
			return originsync.OriginPage{}, err
		}
		out.Origins = append(out.Origins, origins...)
	}
	return out, nil
}

// LastLeader implements authority.LeaderRecord.
func (c *client) LastLeader(ctx context.Context) (last authority.LastLeader, version era.Position, err error) {
	entries, end, err := keyedlog.ReadNewest(ctx, &source{c, leaderLog})
	if err == nil && len(entries) > 0 {
		err = json.Unmarshal(entries[0].Value, &last)
	}
	return last, end, err
}

// SetLastLeader implements authority.LeaderRecord.
func (c *client) SetLastLeader(ctx context.Context, vm string, version era.Position) error {
	if err := c.write(ctx); err != nil {
		return err
	}
	value, err := json.Marshal(authority.LastLeader{VM: vm, Era: version.Era})
	if err != nil {
		return err
	}
	if !c.s.putIf(leaderLog, version.Offset, "leader", string(value)) {
		return driver.ErrFailed
	}
	return nil
}
