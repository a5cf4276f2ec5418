// Package process builds the components that both processes of a VM have: the log client, the
// connections to peers and the replica of the shared state.
package process

import (
	"fescuestand/internal/clock"
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/peer"
	"fescuestand/internal/replica"
	"fescuestand/internal/wire"
)

// Parts are the common components of a process. Each start of a process has its own incarnation.
type Parts struct {
	Incarnation string
	Log         *logclient.Client
	Peers       *peer.Pool
	Replica     *replica.Replica
}

// New builds the components of the process called name, "entry" or "control". It opens no
// connection.
func New(s *node.Settings, name string) (*Parts, error) {
	service, err := s.OpenLog()
	if err != nil {
		return nil, err
	}
	vms, err := s.OpenVMList()
	if err != nil {
		return nil, err
	}
	p := &Parts{Incarnation: node.NewIncarnation()}
	p.Log = logclient.New(logclient.Options{Log: service, Writer: p.Incarnation, VM: s.VM})
	p.Peers = peer.NewPool(Hello(s, name, p.Incarnation))
	p.Replica = replica.New(replica.Options{
		Log: p.Log, VMs: vms, Peers: p.Peers, Clock: clock.Boot{}, Stream: s.Streams.Config,
		VM: s.VM, Process: name, Incarnation: p.Incarnation,
		GossipInterval: s.Gossip.Interval.D(), SuspectTimeout: s.Gossip.SuspectTimeout.D(), GoneTimeout: s.Gossip.GoneTimeout.D(),
		WriteCheckpoints: true,
	})
	return p, nil
}

// Units returns the components as units of package kernel, in the order of their start.
func (p *Parts) Units() []kernel.Unit {
	return []kernel.Unit{kernel.CloserUnit("log", p.Log), kernel.CloserUnit("peers", p.Peers), p.Replica}
}

// Hello returns the message by which a process introduces itself to peers.
func Hello(s *node.Settings, name, incarnation string) *wire.Hello {
	return &wire.Hello{
		Protocol: peer.Protocol, Deployment: s.Deployment, Vm: s.VM, Zone: s.Zone,
		Incarnation: incarnation, Process: name,
	}
}
