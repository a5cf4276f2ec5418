package vm

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Checks that changed settings are applied, and that the process keeps the last valid ones when the
// file becomes invalid.
func TestChangedSettingsAreApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("first")
	var sizes []int64
	r := &SettingsReloader{
		Path: path,
		Parse: func(_ string, text []byte) (Tunables, error) {
			if len(text) == 1 {
				return Tunables{}, errors.New("no settings")
			}
			return Tunables{MemoryBytes: int64(len(text))}, nil
		},
		Apply: func(t Tunables) { sizes = append(sizes, t.MemoryBytes) },
	}
	assert.NilError(t, r.Provision(t.Context()))
	r.reloadIfChanged()
	write("the second")
	r.reloadIfChanged()
	r.reloadIfChanged()
	write("{")
	r.reloadIfChanged()
	assert.NilError(t, os.Remove(path))
	r.reloadIfChanged()
	assert.DeepEqual(t, sizes, []int64{10})
}
