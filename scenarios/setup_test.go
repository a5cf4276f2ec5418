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

// fleetConfig holds the arguments of the fleet command.
type fleetConfig struct {
	vms, engines, services int
	fence                  string // check, ignore or mixed
	planned                bool   // role planning is enabled
	engineArgs             []string
	serviceArgs            []string
	logArgs                []string
	vmLag                  string
	commitWindow           string
}

func parseFleetConfig(args []string) (fleetConfig, error) {
	c := fleetConfig{vms: 3, engines: 4, services: 2, fence: "check", vmLag: "200ms", commitWindow: "5m"}
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		var err error
		switch key {
		case "vms":
			c.vms, err = strconv.Atoi(value)
		case "engines":
			c.engines, err = strconv.Atoi(value)
		case "services":
			c.services, err = strconv.Atoi(value)
		case "fence":
			c.fence = value
		case "planned":
			c.planned, err = strconv.ParseBool(value)
		case "engine":
			c.engineArgs = append(c.engineArgs, "--"+value)
		case "service":
			c.serviceArgs = append(c.serviceArgs, "--"+value)
		case "log":
			c.logArgs = append(c.logArgs, "--"+value)
		case "vm-lag":
			c.vmLag = value
		case "commit-window":
			c.commitWindow = value
		default:
			err = fmt.Errorf("unknown key")
		}
		if err != nil {
			return c, fmt.Errorf("fleet: %s: %w", a, err)
		}
	}
	return c, nil
}

var zones = []string{"north", "south", "west"}

// build starts the stand-ins, adds the VMs and writes the settings and the sheet.
func (f *fleet) build(c fleetConfig) error {
	if err := f.startPlatform(c); err != nil {
		return err
	}
	if err := f.startEndpoints(c); err != nil {
		return err
	}
	for i := range c.vms {
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
	return f.writeJSON("sheet.jsonc", f.sheet(c))
}

func (f *fleet) startPlatform(c fleetConfig) error {
	if err := f.standIn("log", "log", c.logArgs...); err != nil {
		return err
	}
	if err := f.standIn("vmlist", "vmlist", "--lag", c.vmLag); err != nil {
		return err
	}
	return f.standIn("weights", "weights")
}

func (f *fleet) startEndpoints(c fleetConfig) error {
	for i := range c.engines {
		name := fmt.Sprintf("e%d", i+1)
		f.engines = append(f.engines, name)
		fence := c.fence
		if fence == "mixed" {
			fence = []string{"check", "ignore"}[i%2]
		}
		args := append([]string{"--fence", fence, "--load", "m/v1", "--role-change", "500ms", "--weights", f.relayAddr("weights")}, c.engineArgs...)
		if err := f.standIn(name, "engine", args...); err != nil {
			return err
		}
	}
	for i := range c.services {
		name := fmt.Sprintf("s%d", i+1)
		f.services = append(f.services, name)
		if err := f.standIn(name, "service", c.serviceArgs...); err != nil {
			return err
		}
	}
	return nil
}

// addVM allocates the addresses of a VM, puts a relay before its peer address and writes the settings
// of its two processes.
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

// nodeSettings returns the settings of one process. Timeouts are scaled down by a factor of about
// four, so that lease expiry and takeover fit into a scenario.
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

func (f *fleet) sheet(c fleetConfig) *sheet.Sheet {
	s := &sheet.Sheet{Deployment: "scenario", Pools: []sheet.Pool{{
		Name: "labels", Model: "m", Version: "v1", MaxUnavailableShare: 0.5, Engines: f.engines,
		Roles: sheet.Roles{Planned: c.planned, MaxChangesPerHour: 60},
	}}}
	if c.planned {
		s.Pools[0].Roles.MinPrefill, s.Pools[0].Roles.MinDecode = 1, 1
	}
	for i, name := range f.engines {
		checks := c.fence == "check" || c.fence == "mixed" && i%2 == 0
		s.Engines = append(s.Engines, sheet.Engine{
			Name: name, Zone: zones[i%len(zones)], Driver: "http", Address: f.relayAddr(name), ChecksFence: checks,
		})
	}
	s.Services = []sheet.Service{{Name: "trace", Driver: "http", Operations: []sheet.Operation{
		{Name: "lookup", Idempotent: true}, {Name: "commit"},
	}}}
	for i, name := range f.services {
		s.Services[0].Endpoints = append(s.Services[0].Endpoints, sheet.ServiceEndpoint{Name: name, Zone: zones[i%len(zones)], Address: f.relayAddr(name)})
	}
	s.Classes = []sheet.Class{class("question", 2, 10*time.Second), class("draft", 1, 30*time.Second)}
	s.Limits = sheet.Limits{MaxBodyBytes: 1 << 20, MaxTokens: 2000, WorkspaceShare: 1, QueuePerEngine: 32}
	_ = s.Limits.CommitWindow.UnmarshalText([]byte(c.commitWindow))
	return s
}

func class(name string, priority int, deadline time.Duration) sheet.Class {
	return sheet.Class{
		Name: name, Priority: priority, Deadline: settings.Duration(deadline),
		FirstToken: settings.Duration(time.Second), BetweenTokens: settings.Duration(100 * time.Millisecond), Objective: 0.95,
	}
}

// awaitListen waits until addr accepts connections.
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
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 60 * time.Second // only ends a scenario that hangs
)

// poll waits until ok returns true. Its timeout doesn't check the speed of the system.
func poll(what string, ok func() (bool, error)) error {
	deadline := time.Now().Add(pollTimeout)
	for {
		met, err := ok()
		if err != nil || met {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("waiting for %s timed out after %s", what, pollTimeout)
		}
		time.Sleep(pollInterval)
	}
}
