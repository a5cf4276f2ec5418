package code

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOfFindsNumberedErrorInChain(t *testing.T) {
	inner := New(QueueFull, "depth %d", 7)
	got := Of(Wrap(EndpointFailed, inner, "outer"))
	assert.Equal(t, got.Code, EndpointFailed)
	assert.Equal(t, got.Run, NotRun)
	assert.Equal(t, Of(errors.New("x")).Run, Unknown)
}

func TestNamesAreUnique(t *testing.T) {
	codeByName := map[string]Code{}
	for c, i := range All() {
		other, dup := codeByName[i.Name]
		assert.Assert(t, !dup, "%d and %d are both %q", c, other, i.Name)
		codeByName[i.Name] = c
	}
}
