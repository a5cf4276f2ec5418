// Package process builds the parts that both processes of a VM have: access to
// the log, links to peers and the copy of what all share.
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

// Parts of one process. Each start has an incarnation of its own.
type Parts struct {
	Incarnation string
	Log         *logclient.Client
	Peers       *peer.Pool
	Replica     *replica.Replica
}

// New wires the parts of the process called name, "entry" or "control". It
// connects nowhere.
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
		GossipInterval: s.Gossip.Every.D(), SuspectTimeout: s.Gossip.Suspect.D(), GoneTimeout: s.Gossip.Gone.D(),
		WriteCheckpoints: true,
	})
	return p, nil
}

// Units returns the parts in the order in which the kernel takes them.
func (p *Parts) Units() []kernel.Unit {
	return []kernel.Unit{kernel.Closing("log", p.Log), kernel.Closing("peers", p.Peers), p.Replica}
}

// Hello returns what a process says of itself to peers.
func Hello(s *node.Settings, name, incarnation string) *wire.Hello {
	return &wire.Hello{
		Protocol: peer.Protocol, Deployment: s.Deployment, Vm: s.VM, Zone: s.Zone,
		Incarnation: incarnation, Process: name,
	}
}
