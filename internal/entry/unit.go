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
	"fescuestand/internal/httpserver"
	"fescuestand/internal/limits"
	"fescuestand/internal/logclient"
	"fescuestand/internal/membership"
	"fescuestand/internal/network"
	"fescuestand/internal/peer"
	"fescuestand/internal/policy/connlimit"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/process"
	"fescuestand/internal/replica"
	"fescuestand/internal/wire"
)

const (
	// drainLinger is how long a VM keeps its addresses open after it has announced that it leaves.
	// Callers cache an address answer for addressTTL, and the peers must have received the
	// announcement before they omit the VM from newer answers.
	drainLinger = addressTTL + time.Second
	// drainPollInterval is the interval of the checks whether work is still in progress.
	drainPollInterval = 50 * time.Millisecond
	// lastAnswerMargin is how long before the drain times out requests in progress are ended, so that their answers
	// reach the callers.
	lastAnswerMargin = 100 * time.Millisecond
	// commitCloseTimeout bounds the wait until the last outcomes are written to the log.
	commitCloseTimeout = 5 * time.Second
)

// processName is the name of this process in messages between peers.
const processName = "entry"

// Options are the settings and dependencies of a Unit.
type Options struct {
	Settings    *Settings
	Incarnation string
	Replica     *replica.Replica
	Log         *logclient.Client
	Peers       *peer.Pool
	Clock       clock.Clock
	Network     network.Network // of its listeners, the machine's if it is nil
}

// Unit is the kernel.Unit that runs fescue-entry.
type Unit struct {
	opts         Options
	fleet        *fleet.Fleet
	dispatch     *dispatch.Dispatcher
	suspects     *suspect.Register
	commitTable  *commit.Table
	commits      *commit.Committer
	journal      *journal
	backend      *backend
	instrumented *instrumentedBackend
	forwarder    *forward.Handler
	server       *httpserver.Server // requests of callers
	forwarded    *httpserver.Server // requests that peers forward; it has no listener
	peers        *peer.Server

	callerLn, peerLn net.Listener
	leaving          atomic.Bool
	active           atomic.Int64 // requests in progress

	ending      context.Context // ends before a drain times out
	endRequests context.CancelFunc
}

// New assembles the unit. It opens no connection.
func New(opts Options) *Unit {
	if opts.Network == nil {
		opts.Network = network.Machine{}
	}
	u := &Unit{opts: opts}
	u.ending, u.endRequests = context.WithCancel(context.Background())
	s := opts.Settings
	u.fleet = fleet.New(route.Config{Zone: s.Zone, Cells: s.Cells}, opts.Clock, seedOf(opts.Incarnation))
	u.suspects = suspect.NewRegister()
	u.dispatch = dispatch.New(dispatch.Options{
		Fleet: u.fleet, Clock: opts.Clock, Writer: opts.Incarnation,
		Retries: retry.New(retry.Config{}, seedOf(opts.Incarnation)), Suspects: u.suspects, ExchangeEvidence: u.exchangeCrashEvidence,
	})
	maxWindow := commit.WindowFor(s.Commits.Retention.D())
	u.commitTable = commit.NewTable(opts.Clock, maxWindow+commit.MaxClockSkew)
	u.journal = &journal{log: opts.Log, stream: s.Streams.Commits}
	u.commits = commit.New(commit.Options{
		Clock: opts.Clock, Writer: opts.Incarnation, DispatchWithin: s.Commits.DispatchWithin.D(),
		Window: u.window, MaxWindow: maxWindow,
	}, u.commitTable, u.journal, u.dispatch)
	u.backend = &backend{settings: s, view: opts.Replica.View, dispatch: u.dispatch, commits: u.commits}
	u.instrumented = newInstrumentedBackend(u.backend, opts.Clock)
	handler := callerapi.NewHandler(u.instrumented)
	o := httpserver.Options{Name: "callers", RequestID: requestID, Refuse: func(w http.ResponseWriter, r *http.Request) {
		handler.Refuse(w, r, code.New(code.Internal, "the request handler failed").WithRun(code.Unknown))
	}}
	u.forwarded = httpserver.New(handler, &http.Server{}, o)
	u.forwarder = &forward.Handler{
		Next: handler, Forwarded: u.forwarded, Peers: peerPool{opts.Peers}, Leaving: u.isLeaving,
		PeerAddresses: u.backend.peerAddresses, Refuse: handler.Refuse,
	}
	front := u.trackActive(u.forwarder)
	u.server = httpserver.New(front, callerapi.NewServer(front), o)
	u.peers = peer.NewServer(u.hello(), u)
	sockets, memory := limits.Sockets(0), limits.Memory()
	u.server.SetConnectionLimits(callersShare.Limits(sockets, memory))
	u.peers.SetConnectionLimits(peersShare.Limits(sockets, memory))
	u.peers.SetMemory(memory)
	opts.Replica.Contribute(u.addMeasurements)
	opts.Replica.OnGossip(u.receiveGossip)
	return u
}

// Shares of the connections of this process (docs/design/0023). Callers' requests take connections to endpoints and peers.
var (
	callersShare = connlimit.Share{Sockets: 8, Memory: 20}
	peersShare   = connlimit.Share{Sockets: 4, Memory: 4}
)

func requestID(r *http.Request) string { return r.Header.Get(callerapi.HeaderRequestID) }

func (u *Unit) hello() *wire.Hello {
	return process.Hello(&u.opts.Settings.Settings, processName, u.opts.Incarnation)
}

// window returns the sheet's commit window, or 0 before the first sheet.
func (u *Unit) window() time.Duration {
	if s := u.opts.Replica.View().Sheet; s != nil {
		return s.Limits.CommitWindow.D()
	}
	return 0
}

// isLeaving reports whether this VM accepts no new work: it is draining, or the VM list marks it as
// leaving.
func (u *Unit) isLeaving() bool {
	if u.leaving.Load() {
		return true
	}
	m := u.opts.Replica.View().Member(u.opts.Settings.VM)
	return m != nil && m.Leaving
}

// trackActive counts the requests in progress, for which a drain waits.
func (u *Unit) trackActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.active.Add(1)
		defer u.active.Add(-1)
		if u.isLeaving() {
			// The caller has to open a new connection for its next request, to another VM.
			w.Header().Set("Connection", "close")
		}
		ctx, release := u.withEnd(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// withEnd returns a context for a request that is canceled before a drain times out. Its cause is the request's refusal
// then.
func (u *Unit) withEnd(ctx context.Context) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(u.ending, func() { cancel(code.New(code.Leaving, "the shutdown of this VM ends")) })
	return ctx, func() { stop(); cancel(nil) }
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "entry" }

// Left implements kernel.Leftover.
func (u *Unit) Left() int { return int(u.active.Load()) + u.commits.Pending() }

// Provision implements kernel.Provisioner.
func (u *Unit) Provision(ctx context.Context) error {
	var err error
	if u.callerLn, err = u.opts.Network.Listen(ctx, "tcp", u.opts.Settings.Addresses.Caller); err != nil {
		return err
	}
	if u.peerLn, err = u.opts.Network.Listen(ctx, "tcp", u.opts.Settings.Addresses.Peer); err != nil {
		_ = u.callerLn.Close()
	}
	return err
}

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return u.fleet.Run(ctx) })
	group.Go(func() error { return u.dispatch.Run(ctx) })
	group.Go(func() error { return u.journal.tailInto(ctx, u.commitTable) })
	group.Go(func() error { return u.journal.awaitCaughtUp(ctx, u.commitTable) })
	group.Go(func() error { return u.watchView(ctx) })
	group.Go(func() error { return u.peers.Serve(ctx, u.peerLn) })
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = u.server.Close() })
		defer stop()
		return u.server.Serve(u.callerLn)
	})
	return group.Wait()
}

// watchView applies each new sheet to the fleet, and the number of entries that share the endpoints:
// the usable VMs including this one.
func (u *Unit) watchView(ctx context.Context) error {
	version, entryCount := uint64(0), 0
	for {
		updated := u.opts.Replica.Updated()
		if n := len(u.backend.usableMembers()); n > 0 && n != entryCount {
			entryCount = n
			u.fleet.SetEntries(ctx, n)
		}
		if v := u.opts.Replica.View(); v.Sheet != nil && v.Version > version {
			version = v.Version
			u.instrumented.setObjectives(v.Sheet)
			u.fleet.SetSheet(ctx, v.Sheet, v.Version)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
		}
	}
}

// Drain implements kernel.Drainer. It announces that the VM leaves, keeps the addresses open for
// drainLinger while new requests are forwarded to peers, closes the connections on which no request has
// been read, and returns when all streams and commits have ended. Its peers are told last, as they may
// forward requests until then. Requests that are still in progress lastAnswerMargin before ctx ends are answered then.
func (u *Unit) Drain(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		last := time.AfterFunc(time.Until(end)-lastAnswerMargin, u.endRequests)
		defer last.Stop()
	}
	u.leaving.Store(true)
	u.opts.Replica.SetLeaving()
	linger := time.NewTimer(drainLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := u.server.Drain(ctx); err != nil {
		return err
	}
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for u.Left() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := u.peers.Drain(ctx); err != nil {
		return err
	}
	log.Info("drain finished: no requests in progress")
	return nil
}

// Close implements kernel.Closer.
func (u *Unit) Close() error {
	u.endRequests()
	ctx, cancel := context.WithTimeout(context.Background(), commitCloseTimeout)
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
		n := u.fleet.ApplyDirective(ctx, d)
		return &wire.PeerResponse{Kind: &wire.PeerResponse_DirectiveAck{
			DirectiveAck: &wire.DirectiveAck{Engine: d.GetEngine(), InFlight: uint32(n)},
		}}
	}
	if resp := u.opts.Replica.Handle(req); resp != nil {
		return resp
	}
	return &wire.PeerResponse{Code: uint32(code.PeerVersion), Detail: "request of an unknown kind"}
}

// Forward implements peer.Handler.
func (u *Unit) Forward(ctx context.Context, _ *wire.Hello, fwd *wire.Forward, send func(*wire.ForwardFrame) error) error {
	u.active.Add(1)
	defer u.active.Add(-1)
	ctx, release := u.withEnd(ctx)
	defer release()
	return u.forwarder.Serve(ctx, fwd, send)
}

// peerPool adapts peer.Pool to forward.Peers.
type peerPool struct{ *peer.Pool }

// Forward implements forward.Peers.
func (p peerPool) Forward(ctx context.Context, addr string, fwd *wire.Forward) (forward.Frames, error) {
	frames, err := p.Pool.Forward(ctx, addr, fwd)
	if err != nil {
		return nil, err
	}
	return frames, nil
}

// Members returns the VMs in this process's view of the membership.
func (u *Unit) Members() []membership.Member { return u.opts.Replica.View().Members }
