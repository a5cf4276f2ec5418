package vm

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// The settings file changes, once to something that is no settings file. The
// process goes on with the last that it understood.
func TestChangedSettingsAreTakenOver(t *testing.T) {
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
	r.look()
	write("the second")
	r.look()
	r.look()
	write("{")
	r.look()
	assert.NilError(t, os.Remove(path))
	r.look()
	assert.DeepEqual(t, sizes, []int64{10})
}
