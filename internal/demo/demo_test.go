package demo

import (
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesAreWhole(t *testing.T) {
	for name, vms := range map[string]int{"lakeshore": 3, "cevallos": 4} {
		d, err := Load(filepath.Join("..", "..", "examples", name))
		assert.NilError(t, err)
		assert.Equal(t, len(d.VMs), vms)
		checks := 0
		for _, e := range d.Sheet.Engines {
			if e.ChecksFence {
				checks++
			}
		}
		assert.Assert(t, checks > 0 && checks < len(d.Sheet.Engines), "both kinds of engine must be there")
		for _, vm := range d.VMs {
			assert.Equal(t, vm.Entry.VM, vm.Control.VM)
			assert.Equal(t, vm.Entry.Deployment, name)
		}
		all := d.addresses()
		slices.Sort(all)
		assert.Equal(t, len(slices.Compact(slices.Clone(all))), len(all), "an address stands twice")
	}
}
