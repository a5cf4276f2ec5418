// Command fescue-control holds the authority over engines on an entry VM:
// it follows the sheet, plans roles, drains engines and gives them orders.
package main

import (
	"os"

	"fescuestand/internal/clock"
	"fescuestand/internal/control"
	_ "fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/peer"
	"fescuestand/internal/replica"
	"fescuestand/internal/status"
	fwire "fescuestand/internal/wire"
)

const process = "control"

func main() {
	about := "fescue-control holds the authority over engines: it follows the sheet, plans roles, drains engines and gives them orders."
	os.Exit(kernel.Main("fescue-control", about, os.Args[1:], wire))
}

func wire(config string) (kernel.Options, []kernel.Unit, error) {
	s, err := control.Load(config)
	if err != nil {
		return kernel.Options{}, nil, err
	}
	service, err := s.OpenLog()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	vms, err := s.OpenVMList()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	weights, err := s.OpenWeightStore()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	incarnation := node.NewIncarnation()
	client := logclient.New(logclient.Options{Log: service, Writer: incarnation, VM: s.VM})
	peers := peer.NewPool(&fwire.Hello{
		Protocol: peer.Protocol, Deployment: s.Deployment, Vm: s.VM, Zone: s.Zone, Incarnation: incarnation, Process: process,
	})
	copyOf := replica.New(replica.Options{
		Log: client, VMs: vms, Peers: peers, Clock: clock.Boot{}, Stream: s.Streams.Config,
		VM: s.VM, Process: process, Incarnation: incarnation,
		Every: s.Gossip.Every.D(), Suspect: s.Gossip.Suspect.D(), Gone: s.Gossip.Gone.D(), Checkpoint: true,
	})
	unit := control.New(control.Options{
		Replica: copyOf, Log: client, Peers: peers, Weights: weights, Clock: clock.Boot{},
		Stream: s.Streams.Control, VM: s.VM, Incarnation: incarnation,
		Lease: s.LeaseOptions(), Renew: s.Lease.Renew.D(), Times: s.Times(),
	})
	units := []kernel.Unit{
		closer{"log", client}, closer{"peers", peers}, copyOf, unit,
		status.NewServer(s.Addresses.Status, func() status.Report { return report(s, incarnation, copyOf, unit) }, nil),
	}
	return kernel.Options{LongestDrain: s.LongestDrain.D()}, units, nil
}

func report(s *control.Settings, incarnation string, r *replica.Replica, c *control.Control) status.Report {
	v := r.View()
	out := status.Report{
		VM: s.VM, Zone: s.Zone, Process: process, Incarnation: incarnation,
		Ready: v.Ready, Leaving: v.Leaving, SheetVersion: v.Version,
		Log:    status.Log{Healthy: v.Log.Healthy, LastError: v.Log.LastError, Offset: v.Offset},
		Scopes: c.Scopes(),
	}
	for _, m := range v.Members {
		out.Members = append(out.Members, status.Member{VM: m.Name, Zone: m.Zone, State: string(m.State)})
	}
	return out
}

// closer closes a part of the process that needs no other step.
type closer struct {
	name string
	c    interface{ Close() error }
}

// Name implements kernel.Unit.
func (c closer) Name() string { return c.name }

// Close implements kernel.Closer.
func (c closer) Close() error { return c.c.Close() }
