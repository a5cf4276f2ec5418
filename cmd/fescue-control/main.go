// Command fescue-control manages engines from an entry VM: it holds leases over them and sends them
// orders.
package main

import (
	"os"

	"fescuestand/internal/clock"
	"fescuestand/internal/control"
	_ "fescuestand/internal/driver/httpdriver" // registers the "http" drivers
	"fescuestand/internal/kernel"
	"fescuestand/internal/process"
	"fescuestand/internal/status"
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
	weights, err := s.OpenWeightStore()
	if err != nil {
		return kernel.Options{}, nil, err
	}
	parts, err := process.New(&s.Settings, "control")
	if err != nil {
		return kernel.Options{}, nil, err
	}
	unit := control.New(control.Options{
		Replica: parts.Replica, Log: parts.Log, Peers: parts.Peers, Weights: weights, Clock: clock.Boot{},
		Stream: s.Streams.Control, VM: s.VM, Incarnation: parts.Incarnation,
		Lease: s.LeaseOptions(), RenewInterval: s.Lease.RenewInterval.D(), ChangeTimeouts: s.ChangeTimeouts(),
	})
	report := func() status.Report { return statusReport(s, parts, unit) }
	units := append(parts.Units(), unit, status.NewServer(s.Addresses.Status, report, nil))
	return kernel.Options{DrainTimeout: s.DrainTimeout.D()}, units, nil
}

func statusReport(s *control.Settings, p *process.Parts, c *control.Control) status.Report {
	v := p.Replica.View()
	return status.Report{
		VM: s.VM, Zone: s.Zone, Process: "control", Incarnation: p.Incarnation,
		Ready: v.Ready, Leaving: v.Leaving, SheetVersion: v.Version,
		Log:    status.Log{Healthy: v.Log.Healthy, LastError: v.Log.LastError, Offset: v.Offset},
		Scopes: c.Scopes(),
	}
}
