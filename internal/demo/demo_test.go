package demo

import (
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesAreValid(t *testing.T) {
	for name, vms := range map[string]int{"lakeshore": 3, "cevallos": 4} {
		d, err := Load(filepath.Join("..", "..", "examples", name))
		assert.NilError(t, err)
		assert.Equal(t, len(d.VMs), vms)
		fenceCheckers := 0
		for _, e := range d.Sheet.Engines {
			if e.ChecksFence {
				fenceCheckers++
			}
		}
		assert.Assert(t, fenceCheckers > 0 && fenceCheckers < len(d.Sheet.Engines), "the example must have engines that check fencing tokens and engines that ignore them")
		for _, vm := range d.VMs {
			assert.Equal(t, vm.Entry.VM, vm.Control.VM)
			assert.Equal(t, vm.Entry.Deployment, name)
		}
		all := d.addresses()
		slices.Sort(all)
		assert.Equal(t, len(slices.Compact(slices.Clone(all))), len(all), "an address is used twice")
	}
}
