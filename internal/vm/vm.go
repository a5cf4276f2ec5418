// Package vm assembles the process of one VM: the gateway that serves callers, the catalog that it
// routes by, the gossip between VMs, and the authority over engines.
//
// An Adapter implements the protocols of the platform. It only translates; all decisions are made in
// this process's units.
package vm

import (
	"encoding/binary"
	"expvar"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"fescuestand/internal/authority"
	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/configsync"
	"fescuestand/internal/era"
	"fescuestand/internal/eventlog"
	"fescuestand/internal/exchange"
	"fescuestand/internal/freshness"
	"fescuestand/internal/gateway"
	"fescuestand/internal/gossip"
	"fescuestand/internal/httpserver"
	"fescuestand/internal/kernel"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/network"
	"fescuestand/internal/orders"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/bytebudget"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/policy/stages"
	"fescuestand/internal/reachability"
	"fescuestand/internal/scaling"
	"fescuestand/internal/truetime"
	"fescuestand/internal/usage"
	"fescuestand/internal/wire"
)

// Adapter translates between this system and the platform that it runs on.
type Adapter interface {
	gossip.Group
	// Eras are the eras of the platform's store that this VM knows of. The adapter records those of
	// the answers.
	Eras() *era.Tracker
	// Codec decodes and encodes the headers of requests.
	Codec() gateway.Codec
	// Configs is the log in which operators publish the configuration, under ConfigKey.
	Configs() keyedlog.Source
	// Endpoints is the log in which endpoints report themselves, under their ids.
	Endpoints() keyedlog.Source
	// DecodeConfig decodes a record of Configs.
	DecodeConfig(data []byte) (*catalog.Config, error)
	// DecodeEndpoint decodes a record of Endpoints.
	DecodeEndpoint(id string, data []byte) (*catalog.Endpoint, error)
	// LeaderRecord stores which VM acted as leader last.
	LeaderRecord() authority.LeaderRecord
	// Engine sends orders to engines over connections of pool.
	Engine(pool *exchange.Pool) orders.Engine
	// Caches queries engines for what they have cached, over connections of pool.
	Caches(pool *exchange.Pool) cachesync.CacheLister
	// Readiness answers the platform's readiness checks of this VM.
	Readiness(m *gossip.Members) http.Handler
	// Directory answers callers that query for the addresses of VMs.
	Directory(m *gossip.Members) http.Handler
	// UsageRecords stores the decided usage windows, and Billing receives the reports.
	UsageRecords() usage.Records
	Billing() usage.Billing
	// StreamRecords stores where streams may begin and have begun.
	StreamRecords() originsync.Store
	// QuarantineStore stores the quarantines among the same records.
	QuarantineStore() QuarantineStore
	// Provider rents out endpoints. It is nil if this system doesn't scale services.
	Provider() scaling.Provider
}

// Usage holds how requests of workspaces are reported to billing.
type Usage struct {
	Window         time.Duration // length of a window, zero if requests aren't reported
	ReportDeadline time.Duration // from a window's end
}

// Options are the settings of a VM's process. Except for Tunables they are constant for its lifetime:
// a process with other addresses is another VM.
type Options struct {
	Self      gossip.Node
	Addresses Addresses
	// MinLeaderChangeInterval is the time within which two processes must not act as leader
	// alternately.
	MinLeaderChangeInterval time.Duration
	// FirstStart means that the whole deployment starts for the first time.
	FirstStart bool
	// Keys bounds the age of the configuration by which API keys are accepted or denied. It is nil
	// where requests carry no keys.
	Keys  *freshness.Limits
	Usage Usage
	// AddressLifetime is how long callers may use the address of a VM that is asked to stop.
	AddressLifetime time.Duration
	// Linger is how long a VM still accepts requests after it was asked to stop.
	Linger time.Duration
	// DrainTimeout bounds the time to finish the requests in progress after that.
	DrainTimeout time.Duration
	// Network opens the sockets, and Clock is the monotonic clock. Nil means those of the machine. The adapter
	// has its own.
	Network network.Network
	Clock   clock.Clock
	Tunables
}

// Addresses are the TCP addresses that the process listens on, as IP:port.
type Addresses struct {
	Callers   string // requests of callers
	Ready     string // the platform's readiness checks
	Directory string // callers' queries for the addresses of VMs
	Metrics   string // counters for operators
}

// Tunables are the settings that may change while the process runs.
type Tunables struct {
	MemoryBytes int64 // memory limit of the process, zero if it isn't known
	Descriptors int   // that the process may have open, zero if they aren't limited by the settings
	Budget      repeat.Config
}

const (
	// memoryShare is the share of the memory limit that the garbage collector may use.
	memoryShare = 0.6
	// gcPercent trades processor time for memory: the live heap is a few MB.
	gcPercent = 100
)

// Node is the process of a VM.
type Node struct {
	o                 Options
	adapter           Adapter
	clock             clock.Clock
	eras              *era.Tracker
	catalog           *catalog.Store
	members           *gossip.Members
	planner           *place.Planner
	retryBudget       *repeat.Budget
	crashes           *crash.Register
	pendingCrashes    crash.Pending
	backpressure      *backpressure.Tracker
	gateway           *gateway.Gateway
	gossip            *gossip.Unit
	gossipContent     *gateway.GossipContent
	origins           *originsync.Tracker
	archive           *originsync.Archive
	observedSince     atomic.Int64 // clock.Time since which this VM has had a fresh view of the endpoints
	hasStored         atomic.Bool  // quarantines may be on record at the store
	pool              *exchange.Pool
	reachability      *reachability.Unit
	authority         *authority.Authority
	orders            *orders.Unit
	configFollower    *keyedlog.Follower
	endpointFollower  *keyedlog.Follower
	endpointReads     *endpointReads
	hasReadEndpoints  atomic.Bool // since this process started
	endpointChanges   *gateway.Changes
	configPuller      *configsync.Puller
	configHandler     configsync.Handler
	freshness         *freshness.Tracker // nil where requests carry no keys
	lastNudge         clock.Time         // when refreshConfig last ended the wait of a read
	unreadableConfig  era.Position       // of the newest configuration that can't be decoded
	unreadableEntries eventlog.Limit     // of lines about endpoints' entries that can't be decoded
	timeEstimator     *truetime.Estimator
	callers           *gateway.Server
	servers           []*gateway.Server
	tunables          atomic.Pointer[Tunables] // that were applied last
	usageLedger       *usage.Ledger
	bodies            *bytebudget.Budget
}

// setDefaults sets the options that are nil.
func (o *Options) setDefaults() {
	if o.Network == nil {
		o.Network = network.Machine{}
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}

// New assembles a process. Its units do nothing until the kernel runs them.
func New(o Options, a Adapter) *Node {
	o.setDefaults()
	c := o.Clock
	n := &Node{o: o, adapter: a, clock: c, eras: a.Eras(), catalog: catalog.NewStore(c), crashes: crash.New(), backpressure: backpressure.New(seedOf(o.Self.Incarnation)), bodies: bytebudget.New()}
	n.members = gossip.NewMembers(c, o.Self)
	n.pool = exchange.NewPoolOn(o.Network)
	n.initReachability()
	n.authority = authority.New(o.MinLeaderChangeInterval, o.FirstStart, c.Now())
	n.planner = place.New(o.Self.Zone, seedOf(o.Self.Incarnation))
	n.retryBudget = repeat.New(o.Budget)
	if o.FirstStart {
		n.retryBudget.SetUnused()
	}
	n.orders = &orders.Unit{
		Catalog: n.catalog, Authority: n.authority, Engine: a.Engine(n.pool), Clock: c,
		Load: n.planner.Running, Demand: n.demand, OnOrder: n.stageChangeOrdered,
	}
	if o.Keys != nil {
		n.freshness = freshness.New(c, *o.Keys)
	}
	n.timeEstimator, n.usageLedger = truetime.New(c, time.Now), usage.NewLedger()
	n.endpointReads = &endpointReads{clock: c, done: make(chan struct{})}
	n.initFollowers()
	n.initOrigins()
	n.gateway = gateway.New(gateway.Options{
		Codec: a.Codec(), Catalog: n.catalog, Planner: n.planner, Budget: n.retryBudget, Crashes: n.crashes,
		Pressure: n.backpressure, Pool: n.pool, Clock: c, Leaving: n.members.Leaving,
		Peers: n.members.PeerCounts, AddressLifetime: o.AddressLifetime,
		VMs: n.members.AdvertisedCount, OnPrefillSent: n.prefillSent, OnPrefixCached: n.prefixCached, OnCrash: n.endpointCrashed, OnReset: n.connectionReset, OnEndpointLeaving: n.endpointLeaving,
		MayTryQuarantined: n.isLeader,
		KeyFreshness:      n.keyFreshness, Origins: n.origins, Starts: n.archive, HasRecords: n.archive.Loaded, OnRequestRunning: n.requestRunning,
		CutOff: n.isCutOff, RelayTargets: n.members.RelayTargets, RelayPool: exchange.NewPoolOn(o.Network), Bodies: n.bodies, OnBytesRefused: n.bytesRefused,
	})
	n.planner.Admits = n.backpressure.Admits
	n.backpressure.Self = o.Self.Peer
	n.backpressure.RequestRate, n.backpressure.VMCount = n.gateway.RequestRate, n.members.AdvertisedCount
	n.orders.OnEndpointLeaving = n.endpointLeaving
	n.gossipContent = &gateway.GossipContent{
		Clock: c, Eras: n.eras, Planner: n.planner, Pressure: n.backpressure, Crashes: n.crashes, Catalog: n.catalog, Changes: n.endpointChanges,
		Held: n.gateway.HeldRequests(), RequestRate: n.gateway.RequestRate, OnOrder: n.orders.RecordPeerOrder, OnPeerConfigVersion: n.configPuller.ReceiveVersion, OnChange: n.pushUpdates,
	}
	if o.Usage.Window > 0 {
		n.gossipContent.Time, n.gossipContent.Usage = n.timeEstimator, n.usageLedger
	}
	n.gossip = gossip.NewUnit(n.members, n.gossipContent)
	n.gossip.Network = o.Network
	n.gossip.ReceiveAboutStreams, n.origins.Send = n.origins.Receive, n.gossip.SendAboutStreams
	n.backpressure.OnChange = n.gossip.SendEarly
	if n.freshness != nil {
		n.gossip.Freshness = &configFreshness{n}
	}
	return n
}

// Tune applies the settings that may change while the process runs.
func (n *Node) Tune(t Tunables) {
	debug.SetGCPercent(gcPercent)
	if t.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(t.MemoryBytes)))
	}
	n.bodies.SetMemory(t.MemoryBytes)
	n.retryBudget.SetConfig(t.Budget)
	n.tunables.Store(&t)
	n.limitConnections(n.servers)
}

// Units returns the units that the kernel runs.
func (n *Node) Units() []kernel.Unit {
	at, linger := n.o.Addresses, n.o.Linger
	n.callers = gateway.NewServer("front", at.Callers, n.gateway, linger)
	n.servers = []*gateway.Server{
		n.callers,
		gateway.NewServer("ready", at.Ready, n.adapter.Readiness(n.members), linger),
		gateway.NewServer("directory", at.Directory, n.adapter.Directory(n.members), linger),
		gateway.NewServer("peers", n.o.Self.Peer, n.peerHandler(), 0),
		gateway.NewServer("metrics", at.Metrics, expvar.Handler(), 0),
	}
	n.limitConnections(n.servers)
	units := []kernel.Unit{
		n.gossip,
		n.gateway,
		gossip.NewRegistration(n.adapter, n.members, n.leadershipRenewed),
		&authority.Keeper{Authority: n.authority, Record: n.adapter.LeaderRecord(), Clock: n.clock, VM: n.o.Self.Peer},
		n.orders,
		&catalogUnit{n},
		n.archive,
		&quarantineUnit{n: n},
		n.cachesUnit(),
		n.reachability,
	}
	for _, s := range n.servers {
		s.Network = n.o.Network
		units = append(units, s)
	}
	return append(units, n.leaderUnits()...)
}

// peerHandler returns the handler for queries of other VMs.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+configsync.Path, &n.configHandler)
	mux.Handle("GET "+cachesync.Path, &cachesync.Handler{Planner: n.planner})
	mux.Handle("GET "+usage.Path, &usage.Handler{Ledger: n.usageLedger, Process: n.process()})
	return mux
}

func (n *Node) cachesUnit() *cachesync.Unit {
	return &cachesync.Unit{
		Clock: n.clock, Planner: n.planner, Catalog: n.catalog, Members: n.members, Engines: n.adapter.Caches(n.pool), Network: n.o.Network,
		OwnAddress: n.o.Self.Peer, FirstStart: n.o.FirstStart,
		Announce: func(c *wire.CachedPrefix) {
			n.gossip.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, c) })
		},
	}
}

// KernelOptions returns the options of the kernel that runs the process's units.
func (n *Node) KernelOptions() kernel.Options { return kernel.Options{DrainTimeout: n.o.DrainTimeout} }

// View returns the catalog's newest view.
func (n *Node) View() *catalog.View { return n.catalog.View() }

// Metrics are a process's counters and a summary of its catalog, for expvar.
type Metrics struct {
	gateway.Snapshot
	ConfigVersion uint64
	Endpoints     int
	VMs           int // advertised to callers
	Limited       int // endpoints that announce a limit of requests
	Draining      int // endpoints that accept no new work
	Changes       gateway.ChangeCounters
	Slowdowns     place.SlowdownMetrics
	Servers       map[string]httpserver.Counts // by name
	HeldRequests  map[string]int               // that wait for capacity now, by service
}

// Metrics returns the current values.
func (n *Node) Metrics() Metrics {
	v := n.View()
	servers := make(map[string]httpserver.Counts, len(n.servers))
	for _, s := range n.servers {
		servers[s.Name()] = s.Counts()
	}
	return Metrics{
		Servers: servers, HeldRequests: n.gateway.HeldRequests().Counts(),
		Snapshot: n.gateway.Metrics().Snapshot(), Endpoints: len(v.All()), VMs: n.members.AdvertisedCount(), ConfigVersion: n.version(),
		Limited: n.backpressure.LimitedCount(), Draining: len(v.All()) - v.AvailableCount(), Changes: n.endpointChanges.Counters(),
		Slowdowns: n.planner.SlowdownMetrics(n.clock.Now()),
	}
}

// minUrgentWork is the prefill work from which busy VMs are sent a beat early: it delays their requests
// to the same engine by more than the error of their predictions.
const minUrgentWork = 20 * time.Millisecond

func (n *Node) prefillSent(work time.Duration) {
	if work >= minUrgentWork {
		n.gossip.SendEarlyToBusy()
	}
}

func (n *Node) demand() stages.Demand {
	d := n.planner.TotalDemand(n.clock.Now())
	return stages.Demand{Prefill: d.Prefill, Streams: d.Streams}
}

func (n *Node) stageChangeOrdered(id string) {
	n.planner.MarkChangingStage(n.clock.Now(), id)
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Changing = append(b.Changing, id) })
	n.gossip.SendEarly()
}

func (n *Node) prefixCached(e *catalog.Endpoint, parts []place.Part) {
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, cachesync.Prefix(e, parts)) })
}

// endpointCrashed records a crash unless a partition of this VM may have cut the connection. If the process has ended,
// it is recorded later.
func (n *Node) endpointCrashed(c crash.Crash) {
	observedAt := n.clock.Now()
	n.reachability.Verify(func(reached bool) {
		now := n.clock.Now()
		switch c = c.Later(now.Sub(observedAt)); {
		case reached:
			n.recordCrash(c)
		case c.Ended:
			n.pendingCrashes.Add(now, c)
		}
	})
}

// recordPendingCrashes records the crashes that became known while this VM reached no endpoint.
func (n *Node) recordPendingCrashes() {
	view := n.catalog.View()
	lives := func(process string) bool { return gateway.HasProcess(view, process) }
	for _, c := range n.pendingCrashes.Take(n.clock.Now(), lives) {
		n.recordCrash(c)
	}
}

// connectionReset has it tested whether this VM reaches any endpoint: its links may reset new connections, while
// exchanges go on over older ones.
func (n *Node) connectionReset() { n.reachability.Verify(func(bool) {}) }

func (n *Node) recordCrash(observed crash.Crash) {
	c := n.gossipContent.RecordOwnCrash(observed)
	if c == nil {
		return
	}
	n.gossip.QueueUpdate(func(b *wire.Beat) { b.Crashes = append(b.Crashes, c) })
	n.gossip.SendEarly()
	n.pushUpdates()
}

// isLeader reports whether this VM is the leader for certain.
func (n *Node) isLeader() bool {
	_, ok := n.authority.MayAct(n.clock.Now())
	return ok
}

// endpointLeaving handles an endpoint's announcement that it leaves.
func (n *Node) endpointLeaving(e *catalog.Endpoint) { n.gossipContent.AnnounceLeaving(e) }

// pushUpdates sends pending updates that all VMs must receive.
func (n *Node) pushUpdates() { n.gossip.PushUpdates() }

// leadershipRenewed handles a confirmed renewal of this VM's membership in the platform's group.
func (n *Node) leadershipRenewed(sentAt clock.Time, a gossip.Assignment) {
	if a.Era < n.eras.Current() {
		return // delayed until after a restore: the group may have assigned the leadership anew
	}
	n.members.SetLeader(a.Leader)
	n.authority.RecordRenewal(sentAt, a.Leader && !n.members.Leaving(), a.Era, a.Generation)
}

// seedOf derives a seed from an incarnation, so that the planners of different processes break ties
// differently.
func seedOf(incarnation string) uint64 {
	var b [8]byte
	copy(b[:], incarnation)
	return binary.LittleEndian.Uint64(b[:])
}
