package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fescuestand/internal/sheet"
)

const standinBinary = "fescue-standin"

// startStandins starts stand-ins for the external systems that the sheet and settings name.
func (d *Demo) startStandins(ctx context.Context) error {
	s := d.Deployment.Sheet
	settings := d.Deployment.VMs[0].Entry
	addresses := []string{settings.Log.Address, settings.VMList.Address, settings.WeightStore.Address}
	commands := [][]string{
		{"log", "log", "--listen", settings.Log.Address},
		append([]string{"vmlist", "vmlist", "--listen", settings.VMList.Address}, d.vmFlags()...),
		{"weights", "weights", "--listen", settings.WeightStore.Address},
	}
	for i := range s.Engines {
		e := &s.Engines[i]
		addresses = append(addresses, e.Address)
		commands = append(commands, append([]string{e.Name, "engine"}, d.engineFlags(e)...))
	}
	for i := range s.Services {
		commands = append(commands, append([]string{s.Services[i].Name, "service"}, serviceFlags(&s.Services[i])...))
		for _, e := range s.Services[i].Endpoints {
			addresses = append(addresses, e.Address)
		}
	}
	for _, c := range commands {
		p, err := d.start(c[0], standinBinary, c[1:]...)
		if err != nil {
			return err
		}
		d.standins = append(d.standins, p)
	}
	return d.awaitListening(ctx, addresses)
}

func (d *Demo) vmFlags() []string {
	var flags []string
	for _, vm := range d.Deployment.VMs {
		e := vm.Entry
		flags = append(flags, "--vm", strings.Join([]string{
			e.VM, e.Zone, e.Addresses.Caller, e.Addresses.Peer, e.Addresses.Status,
		}, ","))
	}
	return flags
}

func (d *Demo) engineFlags(e *sheet.Engine) []string {
	fence := "ignore"
	if e.ChecksFence {
		fence = "check"
	}
	flags := []string{
		"--listen", e.Address, "--fence", fence, "--weights", d.Deployment.VMs[0].Entry.WeightStore.Address,
	}
	for _, p := range d.Deployment.Sheet.Pools {
		for _, name := range p.Engines {
			if name == e.Name {
				flags = append(flags, "--load", p.Model+"/"+p.Version)
				if role, ok := p.Roles.Fixed[name]; ok {
					flags = append(flags, "--role", string(role))
				}
			}
		}
	}
	return flags
}

func serviceFlags(s *sheet.Service) []string {
	var flags []string
	for _, e := range s.Endpoints {
		flags = append(flags, "--listen", e.Address)
	}
	for _, o := range s.Operations {
		flags = append(flags, "--operation", o.Name)
	}
	return flags
}

// runCaller runs the caller and, if KillEntry is set, kills an entry during the run.
func (d *Demo) runCaller(ctx context.Context) error {
	if d.KillEntry > 0 {
		entry := d.entries[len(d.entries)-1]
		t := time.AfterFunc(d.KillEntry, func() {
			_, _ = fmt.Fprintln(d.Output, "killing", entry.name)
			entry.kill()
		})
		defer t.Stop()
	}
	return d.command(ctx, standinBinary, append([]string{"--log", "warn", "caller"}, d.callerFlags()...)...)
}

func (d *Demo) callerFlags() []string {
	s := d.Deployment.Sheet
	flags := []string{
		"--for", d.Duration.String(), "--rate", fmt.Sprint(d.Rate), "--strict",
		"--model", s.Pools[0].Model, "--model-version", s.Pools[0].Version,
	}
	for _, vm := range d.Deployment.VMs {
		flags = append(flags, "--entry", vm.Entry.Addresses.Caller)
	}
	for _, e := range s.Engines {
		flags = append(flags, "--engine", e.Address)
	}
	if len(s.Services) > 0 {
		flags = append(flags, "--service", s.Services[0].Name)
		for _, e := range s.Services[0].Endpoints {
			flags = append(flags, "--endpoint", e.Address)
		}
	}
	if d.KillEntry > 0 {
		flags = append(flags, "--resend")
	}
	return append(flags, d.CallerFlags...)
}
