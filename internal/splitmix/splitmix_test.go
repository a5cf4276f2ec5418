package splitmix

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Compares Mix with the published sequence of SplitMix64 for seed 0.
func TestMixIsSplitmix64(t *testing.T) {
	assert.Equal(t, Mix(0), uint64(0xe220a8397b1dcdaf))
	const goldenGamma = 0x9e3779b97f4a7c15
	assert.Equal(t, Mix(goldenGamma), uint64(0x6e789e6aa1b965f4))
}
