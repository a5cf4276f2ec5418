package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/entry/forward"
	"fescuestand/internal/logclient"
	"fescuestand/internal/membership"
	"fescuestand/internal/peer"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/process"
	"fescuestand/internal/replica"
	"fescuestand/internal/wire"
)

const (
	// drainLinger is how long a leaving VM keeps its addresses open after it
	// said so: callers keep an address answer for addressTTL, and their peers
	// must have heard of the leaving to leave the VM out of newer ones.
	drainLinger = addressTTL + time.Second
	// drainStep is the pause between two looks for work that still runs.
	drainStep = 50 * time.Millisecond
	// recordWait bounds the wait for the last outcomes to reach the log.
	recordWait = 5 * time.Second
)

// processName is what peers know this process by.
const processName = "entry"

// Options of the Unit.
type Options struct {
	Settings    *Settings
	Incarnation string
	Replica     *replica.Replica
	Log         *logclient.Client
	Peers       *peer.Pool
	Clock       clock.Clock
}

// Unit is the kernel unit of fescue-entry.
type Unit struct {
	o        Options
	fleet    *fleet.Fleet
	dispatch *dispatch.Dispatcher
	suspects *suspect.Register
	table    *commit.Table
	commits  *commit.Committer
	journal  *journal
	backend  *backend
	account  *account
	front    *forward.Handler
	server   *http.Server
	peers    *peer.Server

	callerLn, peerLn net.Listener
	leaving          atomic.Bool
	active           atomic.Int64 // requests in hand
}

// New wires the unit's parts. It connects nowhere.
func New(o Options) *Unit {
	u := &Unit{o: o}
	s := o.Settings
	u.fleet = fleet.New(route.Config{Zone: s.Zone, Cells: s.Cells}, o.Clock, seedOf(o.Incarnation))
	u.suspects = suspect.NewRegister()
	u.dispatch = dispatch.New(dispatch.Options{
		Fleet: u.fleet, Clock: o.Clock, Writer: o.Incarnation,
		Retries: retry.New(retry.Config{}, seedOf(o.Incarnation)), Suspects: u.suspects, Exchange: u.exchangeEvidence,
	})
	maxWindow := commit.WindowFor(s.Commits.Retention.D())
	u.table = commit.NewTable(o.Clock, maxWindow+commit.MaxAhead)
	u.journal = &journal{log: o.Log, stream: s.Streams.Commits}
	u.commits = commit.New(commit.Options{
		Clock: o.Clock, Writer: o.Incarnation, DispatchWithin: s.Commits.DispatchWithin.D(),
		Window: u.window, MaxWindow: maxWindow,
	}, u.table, u.journal, u.dispatch)
	u.backend = &backend{own: s, views: o.Replica.View, dispatch: u.dispatch, commits: u.commits}
	u.account = newAccount(u.backend, o.Clock)
	handler := callerapi.NewHandler(u.account)
	u.front = &forward.Handler{
		Next: handler, Peers: pool{o.Peers}, Leaving: u.away,
		PeerAddresses: u.backend.peers, Refuse: handler.Refuse,
	}
	u.server = callerapi.NewServer(u.counted(u.front))
	u.peers = peer.NewServer(u.hello(), u)
	o.Replica.Contribute(u.contribute)
	o.Replica.OnGossip(u.hear)
	return u
}

func (u *Unit) hello() *wire.Hello {
	return process.Hello(&u.o.Settings.Settings, processName, u.o.Incarnation)
}

// window returns the sheet's commit window; none before the first sheet.
func (u *Unit) window() time.Duration {
	if s := u.o.Replica.View().Sheet; s != nil {
		return s.Limits.CommitWindow.D()
	}
	return 0
}

// away tells whether this VM takes no new work: it was told to stop, or the VM
// list says that it leaves.
func (u *Unit) away() bool {
	if u.leaving.Load() {
		return true
	}
	m := u.o.Replica.View().Member(u.o.Settings.VM)
	return m != nil && m.Leaving
}

// counted keeps the number of requests in hand, which a drain waits for.
func (u *Unit) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.active.Add(1)
		defer u.active.Add(-1)
		if u.away() {
			// The caller's next request goes elsewhere. Closing idle
			// connections instead would cut a request that is on its way.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "entry" }

// Left implements kernel.Leftover.
func (u *Unit) Left() int { return int(u.active.Load()) + u.commits.Pending() }

// Provision implements kernel.Provisioner.
func (u *Unit) Provision(ctx context.Context) error {
	var lc net.ListenConfig
	var err error
	if u.callerLn, err = lc.Listen(ctx, "tcp", u.o.Settings.Addresses.Caller); err != nil {
		return err
	}
	if u.peerLn, err = lc.Listen(ctx, "tcp", u.o.Settings.Addresses.Peer); err != nil {
		_ = u.callerLn.Close()
	}
	return err
}

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return u.fleet.Run(ctx) })
	group.Go(func() error { return u.dispatch.Run(ctx) })
	group.Go(func() error { return u.journal.follow(ctx, u.table) })
	group.Go(func() error { return u.journal.awaitEnd(ctx, u.table) })
	group.Go(func() error { return u.followView(ctx) })
	group.Go(func() error { return u.peers.Serve(ctx, u.peerLn) })
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = u.server.Close() })
		defer stop()
		if err := u.server.Serve(u.callerLn); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return group.Wait()
}

// followView hands each sheet in force to the fleet, and how many entries share
// the endpoints: the usable VMs, this one among them.
func (u *Unit) followView(ctx context.Context) error {
	version, entries := uint64(0), 0
	for {
		changed := u.o.Replica.Updated()
		if n := len(u.backend.usable()); n > 0 && n != entries {
			entries = n
			u.fleet.SetEntries(ctx, n)
		}
		if v := u.o.Replica.View(); v.Sheet != nil && v.Version > version {
			version = v.Version
			u.account.follow(v.Sheet)
			u.fleet.SetSheet(ctx, v.Sheet, v.Version)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Drain implements kernel.Drainer: the VM says that it leaves, passes late
// arrivals on, lets streams and commits end, and returns.
func (u *Unit) Drain(ctx context.Context) error {
	u.leaving.Store(true)
	u.o.Replica.SetLeaving()
	linger := time.NewTimer(drainLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	step := time.NewTicker(drainStep)
	defer step.Stop()
	for u.Left() > 0 {
		select {
		case <-step.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	log.Info("no request in hand")
	return nil
}

// Close implements kernel.Closer.
func (u *Unit) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	u.commits.Close(ctx)
	return errors.Join(ignoreClosed(u.callerLn.Close()), ignoreClosed(u.peerLn.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Handle implements peer.Handler.
func (u *Unit) Handle(ctx context.Context, _ *wire.Hello, req *wire.PeerRequest) *wire.PeerResponse {
	if d := req.GetDirective(); d != nil {
		n := u.fleet.Direct(ctx, d)
		return &wire.PeerResponse{Kind: &wire.PeerResponse_DirectiveAck{
			DirectiveAck: &wire.DirectiveAck{Engine: d.GetEngine(), InFlight: uint32(n)},
		}}
	}
	if resp := u.o.Replica.Handle(req); resp != nil {
		return resp
	}
	return &wire.PeerResponse{Code: uint32(code.PeerVersion), Detail: "request of an unknown kind"}
}

// Forward implements peer.Handler.
func (u *Unit) Forward(ctx context.Context, _ *wire.Hello, fwd *wire.Forward, send func(*wire.ForwardFrame) error) error {
	u.active.Add(1)
	defer u.active.Add(-1)
	return u.front.Serve(ctx, fwd, send)
}

// pool adapts peer.Pool to the forwarding front.
type pool struct{ *peer.Pool }

// Forward implements forward.Peers.
func (p pool) Forward(ctx context.Context, addr string, fwd *wire.Forward) (forward.Frames, error) {
	frames, err := p.Pool.Forward(ctx, addr, fwd)
	if err != nil {
		return nil, err
	}
	return frames, nil
}

// Members returns the VMs as this process sees them.
func (u *Unit) Members() []membership.Member { return u.o.Replica.View().Members }
