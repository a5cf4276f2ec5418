package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuestand/internal/wire"
)

// frameOverhead is what a call costs beside its two messages: six yamux
// headers of 12 bytes, two lengths of 4 and four TCP/IP headers of 40.
const frameOverhead = 6*12 + 2*4 + 4*40

// counted counts the calls and bytes of a fleet.
type counted struct {
	*fleet
	bytes atomic.Int64
	calls atomic.Int64
}

func (c *counted) Call(ctx context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	resp, err := c.fleet.Call(ctx, addr, req)
	c.calls.Add(1)
	c.bytes.Add(int64(proto.Size(req) + proto.Size(resp) + frameOverhead))
	return resp, err
}

// BenchmarkGossipBytes tells what the gossip of one entry costs, sent and
// received, without what the traffic side adds to it.
func BenchmarkGossipBytes(b *testing.B) {
	for _, n := range []int{8, 40, 420} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			for range b.N {
				calls, bytes := gossipFor(n)
				b.ReportMetric(calls, "calls/s/node")
				b.ReportMetric(bytes, "bytes/s/node")
			}
		})
	}
}

const gossipTime = 20 * time.Second

func gossipFor(n int) (calls, bytes float64) {
	t := &testing.T{}
	synctest.Test(t, func(t *testing.T) {
		f := &counted{fleet: newFleet(t)}
		f.peers = f
		for i := range n {
			f.start(fmt.Sprintf("leamington-%d", i), false)
		}
		time.Sleep(5 * time.Second)
		c0, b0 := f.calls.Load(), f.bytes.Load()
		time.Sleep(gossipTime)
		calls = float64(f.calls.Load()-c0) / float64(n) / gossipTime.Seconds()
		bytes = 2 * float64(f.bytes.Load()-b0) / float64(n) / gossipTime.Seconds()
		f.close()
	})
	return calls, bytes
}
