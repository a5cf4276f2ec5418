// Command fescue-control holds the authority over engines on an entry VM.
package main

import (
	"os"

	"fescuestand/internal/clock"
	"fescuestand/internal/control"
	_ "fescuestand/internal/driver/httpdriver" // the "http" drivers
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/peer"
	"fescuestand/internal/replica"
	"fescuestand/internal/status"
	"fescuestand/internal/wire"
)

func main() {
	about := "fescue-control holds leases over engines, plans their roles, and drains and orders them until they match the sheet."
	os.Exit(kernel.Main("fescue-control", about, os.Args[1:], wireUnits))
}

func wireUnits(config string) (kernel.Options, []kernel.Unit, error) {
	s, err := control.LoadSettings(config)
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
	peers := peer.NewPool(&wire.Hello{
		Protocol: peer.Protocol, Deployment: s.Deployment, Vm: s.VM, Zone: s.Zone,
		Incarnation: incarnation, Process: "control",
	})
	copyOf := replica.New(replica.Options{
		Log: client, VMs: vms, Peers: peers, Clock: clock.Boot{}, Stream: s.Streams.Config,
		VM: s.VM, Process: "control", Incarnation: incarnation,
		Every: s.Gossip.Every.D(), Suspect: s.Gossip.Suspect.D(), Gone: s.Gossip.Gone.D(),
		Checkpoint: true, CheckpointEvery: control.CheckpointEvery,
	})
	unit := control.New(control.Options{
		Replica: copyOf, Log: client, Peers: peers, Weights: weights, Clock: clock.Boot{},
		Stream: s.Streams.Control, VM: s.VM, Incarnation: incarnation,
		Lease: s.LeaseOptions(), Renew: s.Lease.Renew.D(), Times: s.Times(),
		CheckpointEvery: control.CheckpointEvery,
	})
	report := func() status.Report { return reportOf(s, incarnation, copyOf, unit) }
	units := []kernel.Unit{
		kernel.Closing("log", client), kernel.Closing("peers", peers), copyOf, unit,
		status.NewServer(s.Addresses.Status, report, nil),
	}
	return kernel.Options{LongestDrain: s.LongestDrain.D()}, units, nil
}

func reportOf(s *control.Settings, incarnation string, r *replica.Replica, c *control.Control) status.Report {
	v := r.View()
	return status.Report{
		VM: s.VM, Zone: s.Zone, Process: "control", Incarnation: incarnation,
		Ready: v.Ready, Leaving: v.Leaving, SheetVersion: v.Version,
		Log:    status.Log{Healthy: v.Log.Healthy, LastError: v.Log.LastError, Offset: v.Offset},
		Scopes: c.Scopes(),
	}
}
