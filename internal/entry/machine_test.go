package entry

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/network"
	"fescuestand/internal/simnet"
	"fescuestand/internal/standin/loopback"
)

// machine is what the processes of a cluster run on.
type machine struct {
	network network.Network
	driver  string // for connections to the fakes
	clock   clock.Clock
	address func() string // returns an unused one
}

// loopbackMachine is this machine.
func loopbackMachine() machine {
	return machine{network: network.Machine{}, driver: httpdriver.Name, clock: clock.Boot{}, address: loopback.FreeAddress}
}

const (
	simulatedDriver    = "simulated"
	firstSimulatedPort = 9000
)

// hostDialer dials from the host of the latest cluster in simulated time.
type hostDialer struct{ host atomic.Pointer[simnet.Host] }

// DialContext implements stall.Dialer.
func (d *hostDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.host.Load().DialContext(ctx, network, address)
}

var simulatedDialer = sync.OnceValue(func() *hostDialer {
	d := &hostDialer{}
	httpdriver.Register(simulatedDriver, d)
	return d
})

// simulatedMachine is a host of a simulated network. It is used in a bubble.
func simulatedMachine(t testing.TB) machine {
	n := simnet.New(simnet.Options{Seed: 1, Latency: 100 * time.Microsecond, Jitter: 50 * time.Microsecond})
	t.Cleanup(n.Close)
	host, port := n.NewHost(), firstSimulatedPort
	simulatedDialer().host.Store(host)
	return machine{network: host.Sockets(), driver: simulatedDriver, clock: simnet.Clock{}, address: func() string {
		port++
		return net.JoinHostPort(host.IP().String(), strconv.Itoa(port))
	}}
}
