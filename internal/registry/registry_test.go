package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDuplicateNamePanicsWithBothPackages(t *testing.T) {
	r := New[int]("log driver")
	r.Register("http", 1)
	defer func() {
		msg, _ := recover().(string)
		assert.Equal(t, msg, `registry: log driver "http" registered by both fescuestand/internal/registry and fescuestand/internal/registry`)
	}()
	r.Register("http", 2)
}

func TestUnknownNameListsTheKnownOnes(t *testing.T) {
	r := New[int]("log driver")
	r.Register("b", 1)
	r.Register("a", 2)
	_, err := r.Get("c")
	assert.Error(t, err, `unknown log driver "c"; known: a, b`)
}
