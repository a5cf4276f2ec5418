package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/peer"
	"fescuestand/internal/wire"
)

// gossipOf returns the gossip message of an entry that serves n pools.
func gossipOf(n int) *wire.Gossip {
	g := &wire.Gossip{
		Vm: vmName(1), Incarnation: writerOf(1), SheetVersion: 1 << 30, Ready: true, Process: "entry", SheetHash: 1 << 60,
	}
	for i := range n {
		g.Pools = append(g.Pools, loadOf(fmt.Sprintf("pool-%02d", i)))
	}
	return g
}

func loadOf(pool string) *wire.PoolLoad {
	return &wire.PoolLoad{
		Pool: pool, Requests: 1e6, PromptTokens: 1e9, OutputTokens: 1e9, Refused: 1e4, Queued: 100,
		QueuedPromptTokens: 1e6, OnTime: 1e6,
	}
}

// BenchmarkGossip measures the bytes of one gossip message and the time to encode and decode it.
func BenchmarkGossip(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			g := gossipOf(n)
			for b.Loop() {
				data, err := proto.Marshal(g)
				assert.NilError(b, err)
				assert.NilError(b, proto.Unmarshal(data, &wire.Gossip{}))
			}
			b.ReportMetric(float64(proto.Size(g)), "message-B")
		})
	}
}

// countingListener counts the bytes of all connections that it accepts, in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedHandler answers every call with the same message.
type fixedHandler struct{ answer *wire.PeerResponse }

func (h fixedHandler) Handle(context.Context, *wire.Hello, *wire.PeerRequest) *wire.PeerResponse {
	return h.answer
}

func (fixedHandler) Forward(context.Context, *wire.Hello, *wire.Forward, func(*wire.ForwardFrame) error) error {
	return nil
}

// servePeer runs a peer on loopback that answers every call with g.
func servePeer(tb testing.TB, g *wire.Gossip) *countingListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	l := &countingListener{Listener: ln}
	s := peer.NewServer(hello(), fixedHandler{&wire.PeerResponse{Kind: &wire.PeerResponse_Gossip{Gossip: g}}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	tb.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return l
}

func hello() *wire.Hello {
	return &wire.Hello{Protocol: peer.Protocol, Deployment: "design", Vm: vmName(1), Zone: "zone-1", Incarnation: writerOf(1), Process: "entry"}
}

// BenchmarkPeerCall measures one exchange of gossip: the CPU time of both ends and the bytes on the
// connection, without TCP and IP headers.
func BenchmarkPeerCall(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			g := gossipOf(n)
			l := servePeer(b, g)
			pool := peer.NewPool(hello())
			defer func() { _ = pool.Close() }()
			req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: g}}
			call := func() {
				_, err := pool.Call(context.Background(), l.Addr().String(), req)
				assert.NilError(b, err)
			}
			call()
			before, began := l.bytes.Load(), cpuTime()
			for b.Loop() {
				call()
			}
			reportCPU(b, began, b.N, "cpu-µs/call")
			b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N), "wire-B/call")
		})
	}
}

// BenchmarkPeerSessions measures the memory of idle open sessions that have carried one call each, for
// both ends together.
func BenchmarkPeerSessions(b *testing.B) {
	for _, n := range []int{8, 40, 160} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			l := servePeer(b, gossipOf(0))
			var kept float64
			for b.Loop() {
				var pools []*peer.Pool
				kept = retained(func() any {
					pools = openSessions(b, l, n)
					time.Sleep(20 * time.Millisecond) // lets the last streams close
					return pools
				})
				for _, p := range pools {
					_ = p.Close()
				}
			}
			b.ReportMetric(kept/float64(n), "kept-B/session-both-ends")
		})
	}
}

func openSessions(b *testing.B, l *countingListener, n int) []*peer.Pool {
	pools := make([]*peer.Pool, n)
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: gossipOf(0)}}
	for i := range pools {
		pools[i] = peer.NewPool(hello())
		_, err := pools[i].Call(context.Background(), l.Addr().String(), req)
		assert.NilError(b, err)
	}
	return pools
}
