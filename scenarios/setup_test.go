package scenarios

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"fescuestand/internal/settings"
	"fescuestand/internal/sheet"
	"fescuestand/internal/standin/loopback"
	"fescuestand/internal/standin/relay"
)

// plan is what the fleet command was asked for.
type plan struct {
	vms, engines, services int
	fence                  string // check, ignore or mixed
	planned                bool   // the planner may change roles
	engineArgs             []string
	serviceArgs            []string
	logArgs                []string
	vmLag                  string
	commitWindow           string
}

func parsePlan(args []string) (plan, error) {
	p := plan{vms: 3, engines: 4, services: 2, fence: "check", vmLag: "200ms", commitWindow: "5m"}
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		var err error
		switch key {
		case "vms":
			p.vms, err = strconv.Atoi(value)
		case "engines":
			p.engines, err = strconv.Atoi(value)
		case "services":
			p.services, err = strconv.Atoi(value)
		case "fence":
			p.fence = value
		case "planned":
			p.planned, err = strconv.ParseBool(value)
		case "engine":
			p.engineArgs = append(p.engineArgs, "--"+value)
		case "service":
			p.serviceArgs = append(p.serviceArgs, "--"+value)
		case "log":
			p.logArgs = append(p.logArgs, "--"+value)
		case "vm-lag":
			p.vmLag = value
		case "commit-window":
			p.commitWindow = value
		default:
			err = fmt.Errorf("unknown key")
		}
		if err != nil {
			return p, fmt.Errorf("fleet: %s: %w", a, err)
		}
	}
	return p, nil
}

var zones = []string{"north", "south", "west"}

// build starts the stand-ins and writes the settings and the sheet.
func (f *fleet) build(p plan) error {
	if err := f.startPlatform(p); err != nil {
		return err
	}
	if err := f.startEndpoints(p); err != nil {
		return err
	}
	for i := range p.vms {
		if err := f.addVM(fmt.Sprintf("vm%d", i+1), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := f.publishVMList(); err != nil {
		return err
	}
	ctl := map[string]any{
		"deployment": "scenario", "operator": "scenario",
		"log": f.target("log", "operator"), "vm_list": f.target("vmlist", "operator"),
	}
	if err := f.writeJSON("ctl.jsonc", ctl); err != nil {
		return err
	}
	return f.writeJSON("sheet.jsonc", f.sheet(p))
}

func (f *fleet) startPlatform(p plan) error {
	if err := f.standIn("log", "log", p.logArgs...); err != nil {
		return err
	}
	if err := f.standIn("vmlist", "vmlist", "--lag", p.vmLag); err != nil {
		return err
	}
	return f.standIn("weights", "weights")
}

func (f *fleet) startEndpoints(p plan) error {
	for i := range p.engines {
		name := fmt.Sprintf("e%d", i+1)
		f.engines = append(f.engines, name)
		fence := p.fence
		if fence == "mixed" {
			fence = []string{"check", "ignore"}[i%2]
		}
		args := append([]string{"--fence", fence, "--load", "m/v1", "--role-change", "500ms", "--weights", f.reach("weights")}, p.engineArgs...)
		if err := f.standIn(name, "engine", args...); err != nil {
			return err
		}
	}
	for i := range p.services {
		name := fmt.Sprintf("s%d", i+1)
		f.services = append(f.services, name)
		if err := f.standIn(name, "service", p.serviceArgs...); err != nil {
			return err
		}
	}
	return nil
}

// addVM gives a VM its addresses and writes the settings of its processes.
func (f *fleet) addVM(name, zone string) error {
	v := &vm{name: name, zone: zone, caller: loopback.FreeAddress(), peer: loopback.FreeAddress(), status: loopback.FreeAddress(), ctrl: loopback.FreeAddress()}
	f.vms = append(f.vms, v)
	r, err := relay.New(v.peer)
	if err != nil {
		return err
	}
	f.relays[name+":peer"] = r
	if err := f.writeJSON("entry-"+name+".jsonc", f.nodeSettings(v, v.status, true)); err != nil {
		return err
	}
	return f.writeJSON("control-"+name+".jsonc", f.nodeSettings(v, v.ctrl, false))
}

// nodeSettings uses times scaled down by about four, so that lapses and
// takeovers fit into a scenario.
func (f *fleet) nodeSettings(v *vm, status string, entry bool) map[string]any {
	addresses := map[string]string{"status": status}
	if entry {
		addresses["caller"], addresses["peer"] = v.caller, v.peer
	}
	return map[string]any{
		"deployment": "scenario", "vm": v.name, "zone": v.zone,
		"addresses": addresses,
		"log":       f.target("log", v.name), "vm_list": f.target("vmlist", v.name), "weight_store": f.target("weights", v.name),
		"longest_drain": "30s",
		"lease":         map[string]string{"ttl": "1500ms", "renew": "500ms", "margin": "300ms", "max_flight": "500ms"},
		"gossip":        map[string]string{"every": "100ms", "suspect": "600ms", "gone": "3s"},
	}
}

func (f *fleet) sheet(p plan) *sheet.Sheet {
	s := &sheet.Sheet{Deployment: "scenario", Pools: []sheet.Pool{{
		Name: "labels", Model: "m", Version: "v1", MaxUnavailableShare: 0.5, Engines: f.engines,
		Roles: sheet.Roles{Planned: p.planned, MaxChangesPerHour: 60},
	}}}
	if p.planned {
		s.Pools[0].Roles.MinPrefill, s.Pools[0].Roles.MinDecode = 1, 1
	}
	for i, name := range f.engines {
		checks := p.fence == "check" || p.fence == "mixed" && i%2 == 0
		s.Engines = append(s.Engines, sheet.Engine{
			Name: name, Zone: zones[i%len(zones)], Driver: "http", Address: f.reach(name), ChecksFence: checks,
		})
	}
	s.Services = []sheet.Service{{Name: "trace", Driver: "http", Operations: []sheet.Operation{
		{Name: "lookup", Idempotent: true}, {Name: "commit"},
	}}}
	for i, name := range f.services {
		s.Services[0].Endpoints = append(s.Services[0].Endpoints, sheet.ServiceEndpoint{Name: name, Zone: zones[i%len(zones)], Address: f.reach(name)})
	}
	s.Classes = []sheet.Class{class("question", 2, 10*time.Second), class("draft", 1, 30*time.Second)}
	s.Limits = sheet.Limits{MaxBodyBytes: 1 << 20, MaxTokens: 2000, WorkspaceShare: 1, QueuePerEngine: 32}
	_ = s.Limits.CommitWindow.UnmarshalText([]byte(p.commitWindow))
	return s
}

func class(name string, priority int, deadline time.Duration) sheet.Class {
	return sheet.Class{
		Name: name, Priority: priority, Deadline: settings.Duration(deadline),
		FirstToken: settings.Duration(time.Second), BetweenTokens: settings.Duration(100 * time.Millisecond), Objective: 0.95,
	}
}

// awaitListen waits until somebody listens on addr.
func awaitListen(addr string) error {
	return poll("a listener on "+addr, func() (bool, error) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return false, nil
		}
		return true, conn.Close()
	})
}

const (
	pollEvery = 20 * time.Millisecond
	pollLimit = 60 * time.Second // ends a hung scenario only
)

// poll waits until ok. Its limit is no assertion on speed.
func poll(what string, ok func() (bool, error)) error {
	deadline := time.Now().Add(pollLimit)
	for {
		met, err := ok()
		if err != nil || met {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("still no %s after %s", what, pollLimit)
		}
		time.Sleep(pollEvery)
	}
}
