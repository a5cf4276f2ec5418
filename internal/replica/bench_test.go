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

// frameOverhead is the size of a call beyond its two messages, in bytes: six yamux headers of 12,
// two lengths of 4 and four TCP/IP headers of 40.
const frameOverhead = 6*12 + 2*4 + 4*40

// countingFleet counts the calls and bytes of a fleet.
type countingFleet struct {
	*fleet
	bytes atomic.Int64
	calls atomic.Int64
}

func (c *countingFleet) Call(ctx context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	resp, err := c.fleet.Call(ctx, addr, req)
	c.calls.Add(1)
	c.bytes.Add(int64(proto.Size(req) + proto.Size(resp) + frameOverhead))
	return resp, err
}

// BenchmarkGossipBytes reports the gossip traffic of one entry, sent and received, without the
// fields that request handling adds.
func BenchmarkGossipBytes(b *testing.B) {
	for _, n := range []int{8, 40, 420} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			for range b.N {
				calls, bytes := measureGossip(n)
				b.ReportMetric(calls, "calls/s/node")
				b.ReportMetric(bytes, "bytes/s/node")
			}
		})
	}
}

const measuredTime = 20 * time.Second

func measureGossip(n int) (calls, bytes float64) {
	t := &testing.T{}
	synctest.Test(t, func(t *testing.T) {
		f := &countingFleet{fleet: newFleet(t)}
		f.peers = f
		for i := range n {
			f.start(fmt.Sprintf("leamington-%d", i), false)
		}
		time.Sleep(5 * time.Second)
		c0, b0 := f.calls.Load(), f.bytes.Load()
		time.Sleep(measuredTime)
		calls = float64(f.calls.Load()-c0) / float64(n) / measuredTime.Seconds()
		bytes = 2 * float64(f.bytes.Load()-b0) / float64(n) / measuredTime.Seconds()
		f.close()
	})
	return calls, bytes
}
