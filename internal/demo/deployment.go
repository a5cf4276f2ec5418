// Package demo starts one example deployment with its stand-ins on loopback addresses, runs a caller
// against it and stops everything. It is a development tool; the processes of the product itself
// never start other processes.
package demo

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"fescuestand/internal/node"
	"fescuestand/internal/sheet"
)

// Deployment is the part of an example directory that the demo uses.
type Deployment struct {
	Dir       string
	SheetFile string
	CtlFile   string
	Sheet     *sheet.Sheet
	VMs       []VM
}

// VM is one entry VM of the example with its settings files.
type VM struct {
	EntryFile   string
	ControlFile string
	Entry       node.Settings
	Control     node.Settings
}

// Load reads the example in directory dir.
func Load(dir string) (*Deployment, error) {
	d := &Deployment{
		Dir:       dir,
		SheetFile: filepath.Join(dir, "sheet.jsonc"),
		CtlFile:   filepath.Join(dir, "fescuectl.jsonc"),
	}
	body, err := os.ReadFile(d.SheetFile)
	if err != nil {
		return nil, eris.Wrap(err, "no such example")
	}
	if d.Sheet, err = sheet.Parse(d.SheetFile, body); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.jsonc"))
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		vm := VM{EntryFile: f, ControlFile: filepath.Join(dir, "control"+filepath.Base(f)[len("entry"):])}
		if err := read(vm.EntryFile, &vm.Entry); err != nil {
			return nil, err
		}
		if err := read(vm.ControlFile, &vm.Control); err != nil {
			return nil, err
		}
		d.VMs = append(d.VMs, vm)
	}
	if len(d.VMs) == 0 {
		return nil, eris.Errorf("%s has no entry-*.jsonc", dir)
	}
	return d, nil
}

// addresses returns every address that the demo's processes listen on.
func (d *Deployment) addresses() []string {
	first := d.VMs[0].Entry
	all := []string{first.Log.Address, first.VMList.Address, first.WeightStore.Address}
	for _, vm := range d.VMs {
		a := vm.Entry.Addresses
		all = append(all, a.Caller, a.Peer, a.Status, vm.Control.Addresses.Status)
	}
	for i := range d.Sheet.Engines {
		all = append(all, d.Sheet.Engines[i].Address)
	}
	for _, s := range d.Sheet.Services {
		for _, e := range s.Endpoints {
			all = append(all, e.Address)
		}
	}
	return all
}

// read decodes the settings that all processes have in common. It doesn't validate them, as each
// process checks its whole file when it starts.
func read(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "incomplete example")
	}
	b, err = hujson.Standardize(b)
	if err != nil {
		return eris.Wrapf(err, "%s", file)
	}
	return json.Unmarshal(b, v)
}
