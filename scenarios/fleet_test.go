package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/loopback"
	"fescuestand/internal/standin/relay"
)

// fleet holds the stand-ins and VMs that one scenario runs, and the relays between them.
type fleet struct {
	dir         string
	processes   map[string]*process
	order       []string // processes in the order of their first start
	relays      map[string]*relay.Relay
	standInAddr map[string]string // address of each stand-in behind its relay
	vms         []*vm
	engines     []string
	services    []string
	traffic     map[string]*traffic
	calls       int               // number of starts and ends of calls, which orders them
	answers     []answer          // of calls with a key
	issued      map[string]string // issue time of each key in Unix ms; a retry with the same key repeats it
}

// vm is one entry VM: two processes and their addresses.
type vm struct {
	name, zone                 string
	caller, peer, status, ctrl string
}

func newFleet(dir string) *fleet {
	return &fleet{
		dir: dir, processes: map[string]*process{}, relays: map[string]*relay.Relay{},
		standInAddr: map[string]string{}, traffic: map[string]*traffic{}, issued: map[string]string{},
	}
}

func (f *fleet) stopAll() {
	for _, t := range f.traffic {
		_ = t.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		p.kill()
	}
	for _, r := range f.relays {
		r.Close()
	}
}

// failOnRace fails the scenario if the log of a process contains a data race report.
func (f *fleet) failOnRace(t testscript.T) {
	for _, p := range f.processes {
		b, err := os.ReadFile(p.log)
		if err == nil && bytes.Contains(b, []byte("WARNING: DATA RACE")) {
			t.Fatal(p.name, "reported a data race:", string(b))
		}
	}
}

// run starts a process under the name that scenario commands use.
func (f *fleet) run(name string, args ...string) error {
	if p, ok := f.processes[name]; ok && p.running() {
		return fmt.Errorf("%s is already running", name)
	}
	p := &process{name: name, args: args, log: filepath.Join(f.dir, name+".log")}
	f.processes[name] = p
	if !slices.Contains(f.order, name) {
		f.order = append(f.order, name)
	}
	return p.start()
}

// standIn starts one stand-in behind a relay and waits until it accepts connections.
func (f *fleet) standIn(name, kind string, args ...string) error {
	addr, ok := f.standInAddr[name]
	if !ok {
		addr = loopback.FreeAddress()
		r, err := relay.New(addr)
		if err != nil {
			return err
		}
		f.standInAddr[name], f.relays[name] = addr, r
	}
	full := append([]string{"fescue-standin", kind, "--listen", addr}, args...)
	if err := f.run(name, full...); err != nil {
		return err
	}
	return awaitListen(addr)
}

// relayAddr returns the address of a relay, at which the system reaches the stand-in behind it.
func (f *fleet) relayAddr(name string) string { return f.relays[name].Addr() }

func (f *fleet) process(name string) (*process, error) {
	if p, ok := f.processes[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no process %q; known processes: %s", name, strings.Join(f.order, ", "))
}

func (f *fleet) vm(name string) (*vm, error) {
	for _, v := range f.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM %q", name)
}

// writeJSON writes a settings file into the scenario's folder.
func (f *fleet) writeJSON(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, name), b, 0o600)
}

func (f *fleet) target(standIn, client string) map[string]any {
	return map[string]any{
		"driver": "http", "address": f.relayAddr(standIn), "options": map[string]string{"client": client},
	}
}

func (f *fleet) vmRecords() []httpapi.VM {
	var list []httpapi.VM
	for _, v := range f.vms {
		list = append(list, httpapi.VM{Name: v.name, Zone: v.zone, Caller: v.caller, Peer: f.relayAddr(v.name + ":peer"), Status: v.status})
	}
	return list
}
