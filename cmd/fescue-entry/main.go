// Command fescue-entry faces callers on an entry VM.
package main

import (
	"expvar"
	"os"

	"fescuestand/internal/clock"
	_ "fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/entry"
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/peer"
	"fescuestand/internal/replica"
	"fescuestand/internal/status"
)

func main() {
	about := "fescue-entry serves callers: it admits, queues, routes and streams their requests and runs their commits once."
	os.Exit(kernel.Main("fescue-entry", about, os.Args[1:], wire))
}

func wire(config string) (kernel.Options, []kernel.Unit, error) {
	s, err := entry.Load(config)
	if err != nil {
		return kernel.Options{}, nil, err
	}
	incarnation := node.NewIncarnation()
	service, err := s.OpenLog()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	vms, err := s.OpenVMList()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	client := logclient.New(logclient.Options{Log: service, Writer: incarnation, VM: s.VM})
	peers := peer.NewPool(entry.HelloOf(s, incarnation))
	copyOf := replica.New(replica.Options{
		Log: client, VMs: vms, Peers: peers, Clock: clock.Boot{}, Stream: s.Streams.Config,
		VM: s.VM, Process: "entry", Incarnation: incarnation,
		Every: s.Gossip.Every.D(), Suspect: s.Gossip.Suspect.D(), Gone: s.Gossip.Gone.D(), Checkpoint: true,
	})
	unit := entry.New(entry.Options{
		Settings: s, Incarnation: incarnation, Replica: copyOf, Log: client, Peers: peers, Clock: clock.Boot{},
	})
	expvar.Publish("entry", expvar.Func(unit.Metrics))
	units := []kernel.Unit{
		kernel.Closing("log", client), kernel.Closing("peers", peers), copyOf, unit,
		status.NewServer(s.Addresses.Status, unit.Status, unit.Burn),
	}
	return kernel.Options{LongestDrain: s.LongestDrain.D()}, units, nil
}
