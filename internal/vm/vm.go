// Package vm wires the one process of a VM on the users' machines: the gateway
// that serves callers, the catalog that it serves by, the gossip between VMs,
// and the authority over engines. What speaks to the platform comes from an
// Adapter, which translates and decides nothing.
package vm

import (
	"encoding/binary"
	"expvar"
	"net/http"
	"runtime/debug"
	"time"

	"fescuestand/internal/authority"
	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/configsync"
	"fescuestand/internal/exchange"
	"fescuestand/internal/freshness"
	"fescuestand/internal/gateway"
	"fescuestand/internal/gossip"
	"fescuestand/internal/kernel"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/orders"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/policy/stages"
	"fescuestand/internal/scaling"
	"fescuestand/internal/truetime"
	"fescuestand/internal/usage"
	"fescuestand/internal/wire"
)

// Adapter translates between the product and the platform that it runs on.
type Adapter interface {
	gossip.Group
	// Codec reads and writes the headers of requests.
	Codec() gateway.Codec
	// Configs is where operators publish, under ConfigKey.
	Configs() keyedlog.Source
	// Endpoints is where endpoints report themselves, under their ids.
	Endpoints() keyedlog.Source
	// DecodeConfig reads a record of Configs.
	DecodeConfig(data []byte) (*catalog.Config, error)
	// DecodeEndpoint reads a record of Endpoints.
	DecodeEndpoint(id string, data []byte) (*catalog.Endpoint, error)
	// Duty keeps the VM that gave orders last.
	Duty() authority.Record
	// Engine gives orders over connections of pool.
	Engine(pool *exchange.Pool) orders.Engine
	// Caches asks engines what they have cached, over connections of pool.
	Caches(pool *exchange.Pool) cachesync.Lister
	// Readiness answers the platform's checks of this VM.
	Readiness(m *gossip.Members) http.Handler
	// Directory answers callers that ask where to connect.
	Directory(m *gossip.Members) http.Handler
	// UsageRecords keeps the windows of usage that are decided, and Billing takes the
	// reports.
	UsageRecords() usage.Records
	Billing() usage.Billing
	// Provider rents endpoints out. It is nil where none are ordered.
	Provider() scaling.Provider
}

// Usage says how the requests of workspaces are reported.
type Usage struct {
	Window time.Duration // zero if they aren't
	Due    time.Duration // after a window's end
}

// Options of a VM's process, as they hold for its whole life: a VM with other
// addresses is another VM.
type Options struct {
	Self      gossip.Node
	Addresses Addresses
	// Turn is the time within which two processes must not give orders by turns.
	Turn time.Duration
	// FirstStart tells that the whole deployment starts for the first time.
	FirstStart bool
	// Keys bound the age of the configuration by which API keys are judged. It is nil
	// where requests bear none.
	Keys  *freshness.Limits
	Usage Usage
	// Linger is how long a VM that was told to stop still takes requests.
	Linger time.Duration
	// LongestDrain is how long it has to finish those in hand.
	LongestDrain time.Duration
	Tunables
}

// Addresses that the process listens on over TCP, IP:port.
type Addresses struct {
	Callers   string // requests
	Ready     string // the platform's checks
	Directory string // callers that ask where to connect
	Metrics   string // counters for operators
}

// Tunables are the settings that may change while the process runs.
type Tunables struct {
	MemoryBytes int64 // that the VM lets the process have
	Budget      repeat.Config
}

const (
	// memoryShare of the VM's limit is the garbage collector's target.
	memoryShare = 0.6
	// gcPercent trades processor time for memory: the live heap is a few MB.
	gcPercent = 100
)

// Node is the process of a VM.
type Node struct {
	o        Options
	adapter  Adapter
	clock    clock.Clock
	catalog  *catalog.Store
	members  *gossip.Members
	planner  *place.Planner
	budget   *repeat.Budget
	crashes  *crash.Register
	pressure *backpressure.Tracker
	gateway  *gateway.Gateway
	gossip   *gossip.Unit
	exchange *gateway.GossipContent
	pool     *exchange.Pool
	duty     *authority.Authority
	orders   *orders.Unit
	config   *keyedlog.Follower
	fleet    *keyedlog.Follower
	changes  *gateway.Changes
	puller   *configsync.Puller
	share    configsync.Share
	fresh    *freshness.Tracker // nil where requests bear no keys
	nudgedAt clock.Time         // when a read of the configuration was hurried
	time     *truetime.Estimator
	usage    *usage.Book
}

// New wires a process. Its units do nothing until the kernel runs them.
func New(o Options, a Adapter) *Node {
	c := clock.Boot{}
	n := &Node{o: o, adapter: a, clock: c, catalog: catalog.NewStore(c), crashes: crash.New(), pressure: backpressure.New(seedOf(o.Self.Incarnation))}
	n.members = gossip.NewMembers(c, o.Self)
	n.pool = exchange.NewPool()
	n.duty = authority.New(o.Turn, o.FirstStart, c.Now())
	n.planner = place.New(o.Self.Zone, seedOf(o.Self.Incarnation))
	n.budget = repeat.New(o.Budget)
	n.orders = &orders.Unit{
		Catalog: n.catalog, Authority: n.duty, Engine: a.Engine(n.pool), Clock: c,
		Load: n.planner.Running, Demand: n.demand, Ordered: n.ordered,
	}
	if o.Keys != nil {
		n.fresh = freshness.New(c, *o.Keys)
	}
	n.time, n.usage = truetime.New(c, time.Now), usage.NewBook()
	n.followers()
	n.gateway = gateway.New(gateway.Options{
		Codec: a.Codec(), Catalog: n.catalog, Planner: n.planner, Budget: n.budget, Crashes: n.crashes,
		Pressure: n.pressure, Pool: n.pool, Clock: c, Leaving: n.members.Leaving,
		VMs: n.members.AdvertisedCount, OnPrefillSent: n.sent, OnPrefixCached: n.cached, OnCrash: n.crashed, OnEndpointLeaving: n.leaves,
		KeyFreshness: n.judgeKeys, OnRequestRunning: n.began,
	})
	n.planner.Admits = n.pressure.Admits
	n.pressure.Self = o.Self.Peer
	n.pressure.RequestRate, n.pressure.VMCount = n.gateway.RequestRate, n.members.AdvertisedCount
	n.orders.Leaves = n.leaves
	n.exchange = &gateway.GossipContent{
		Clock: c, Planner: n.planner, Pressure: n.pressure, Crashes: n.crashes, Catalog: n.catalog, Changes: n.changes,
		RequestRate: n.gateway.RequestRate, OnOrder: n.orders.Heard, OnPeerConfigVersion: n.puller.Heard, OnChange: n.news,
	}
	if o.Usage.Window > 0 {
		n.exchange.Time, n.exchange.Usage = n.time, n.usage
	}
	n.gossip = gossip.NewUnit(n.members, n.exchange)
	n.pressure.OnChange = n.gossip.SendEarly
	if n.fresh != nil {
		n.gossip.Freshness = &knowledge{n}
	}
	return n
}

// Tune takes over what may change while the process runs.
func (n *Node) Tune(t Tunables) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(t.MemoryBytes)))
	n.budget.SetConfig(t.Budget)
}

// Units returns the parts that the kernel runs.
func (n *Node) Units() []kernel.Unit {
	at, linger := n.o.Addresses, n.o.Linger
	units := []kernel.Unit{
		n.gossip,
		gossip.NewRegistration(n.adapter, n.members, n.renewed),
		&authority.Keeper{Authority: n.duty, Record: n.adapter.Duty(), Clock: n.clock, VM: n.o.Self.Peer},
		n.orders,
		&follower{n},
		n.cachesUnit(),
		gateway.NewServer("front", at.Callers, n.gateway, linger),
		gateway.NewServer("ready", at.Ready, n.adapter.Readiness(n.members), linger),
		gateway.NewServer("directory", at.Directory, n.adapter.Directory(n.members), linger),
		gateway.NewServer("peers", n.o.Self.Peer, n.forPeers(), 0),
		gateway.NewServer("metrics", at.Metrics, expvar.Handler(), 0),
	}
	return append(units, n.duties()...)
}

// forPeers answers other VMs.
func (n *Node) forPeers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+configsync.Path, &n.share)
	mux.Handle("GET "+cachesync.Path, &cachesync.Share{Planner: n.planner})
	mux.Handle("GET "+usage.Path, &usage.Share{Book: n.usage, Own: n.process()})
	return mux
}

func (n *Node) cachesUnit() *cachesync.Unit {
	return &cachesync.Unit{
		Clock: n.clock, Planner: n.planner, Catalog: n.catalog, Members: n.members, Engines: n.adapter.Caches(n.pool),
		Own: n.o.Self.Peer, NothingCached: n.o.FirstStart,
		Tell: func(c *wire.CachedPrefix) {
			n.gossip.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, c) })
		},
	}
}

// KernelOptions returns what the kernel needs to know of the process.
func (n *Node) KernelOptions() kernel.Options { return kernel.Options{LongestDrain: n.o.LongestDrain} }

// View returns what the process serves by.
func (n *Node) View() *catalog.View { return n.catalog.View() }

// Metrics are a process's counters and what it serves by, for expvar.
type Metrics struct {
	gateway.Snapshot
	ConfigVersion uint64
	Endpoints     int
	VMs           int // that callers are sent to
	Limited       int // endpoints that name a limit of requests
	Draining      int // endpoints that take no new work
}

// Metrics returns the counters as they are now.
func (n *Node) Metrics() Metrics {
	v := n.View()
	m := Metrics{Snapshot: n.gateway.Metrics().Snapshot(), Endpoints: len(v.All()), VMs: n.members.AdvertisedCount(), ConfigVersion: n.version(), Limited: n.pressure.LimitedCount(), Draining: len(v.All()) - v.Working()}
	return m
}

// urgentWork is the prefill work from which the other VMs are told at once: it
// delays what they send by more than their predictions err.
const urgentWork = 20 * time.Millisecond

func (n *Node) sent(work time.Duration) {
	if work >= urgentWork {
		n.gossip.SendEarlyToBusy()
	}
}

func (n *Node) demand() stages.Demand {
	d := n.planner.TotalDemand(n.clock.Now())
	return stages.Demand{Prefill: d.Prefill, Streams: d.Streams}
}

func (n *Node) ordered(id string) {
	n.planner.MarkChangingStage(n.clock.Now(), id)
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Changing = append(b.Changing, id) })
	n.gossip.SendEarly()
}

func (n *Node) cached(e *catalog.Endpoint, parts []place.Part) {
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, cachesync.Prefix(e, parts)) })
}

func (n *Node) crashed(fingerprint uint64, endpoint string) {
	if !n.crashes.RecordCrash(n.clock.Now(), fingerprint, endpoint) {
		return
	}
	c := &wire.Crash{Request: fingerprint, Endpoint: endpoint}
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Crashes = append(b.Crashes, c) })
	n.gossip.SendEarly()
	n.exchange.AnnounceCrash(c)
	n.news()
}

// leaves takes an endpoint's own word that it leaves.
func (n *Node) leaves(e *catalog.Endpoint) { n.exchange.AnnounceLeaving(e) }

// news has something told that all VMs must know.
func (n *Node) news() { n.gossip.PushUpdates() }

func (n *Node) renewed(sentAt clock.Time, h gossip.Assignment) {
	n.members.SetLeader(h.Leader)
	n.duty.Renewed(sentAt, h.Leader && !n.members.Leaving(), h.Generation)
}

// seedOf makes the planners of different processes break ties differently.
func seedOf(incarnation string) uint64 {
	var b [8]byte
	copy(b[:], incarnation)
	return binary.LittleEndian.Uint64(b[:])
}
