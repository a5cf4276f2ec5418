// Command fescue-entry serves callers on an entry VM.
package main

import (
	"expvar"
	"os"

	"fescuestand/internal/clock"
	_ "fescuestand/internal/driver/httpdriver" // registers the "http" drivers
	"fescuestand/internal/entry"
	"fescuestand/internal/kernel"
	"fescuestand/internal/process"
	"fescuestand/internal/status"
)

func main() {
	about := "fescue-entry serves callers: it admits, queues, routes and streams their requests and runs their commits once."
	os.Exit(kernel.Main("fescue-entry", about, os.Args[1:], wireUnits))
}

func wireUnits(config string) (kernel.Options, []kernel.Unit, error) {
	s, err := entry.Load(config)
	if err != nil {
		return kernel.Options{}, nil, err
	}
	parts, err := process.New(&s.Settings, "entry")
	if err != nil {
		return kernel.Options{}, nil, err
	}
	unit := entry.New(entry.Options{
		Settings: s, Incarnation: parts.Incarnation, Replica: parts.Replica, Log: parts.Log, Peers: parts.Peers, Clock: clock.Boot{},
	})
	expvar.Publish("entry", expvar.Func(unit.Metrics))
	units := append(parts.Units(), unit, status.NewServer(s.Addresses.Status, unit.Status, unit.Burn))
	return kernel.Options{DrainTimeout: s.DrainTimeout.D()}, units, nil
}
