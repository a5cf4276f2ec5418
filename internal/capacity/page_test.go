package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// slopeLine is the start of a line of the page's table of slopes: the benchmark
// and its package.
var slopeLine = regexp.MustCompile("(?m)^\\| `(\\w+)` \\(([\\w/]+)\\)")

// A slope is worth as much as the benchmark that anybody can run again: one
// that is renamed or removed is named here.
func TestPageNamesBenchmarksThatExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	lines := slopeLine.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(lines) > 20, "%d", len(lines))
	for _, l := range lines {
		assert.Check(t, hasBenchmark(t, l[2], l[1]), "internal/%s has no Benchmark%s", l[2], l[1])
	}
}

func hasBenchmark(t *testing.T, pkg, name string) bool {
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	assert.NilError(t, err)
	for _, f := range files {
		src, err := os.ReadFile(f)
		assert.NilError(t, err)
		if strings.Contains(string(src), "func Benchmark"+name+"(") {
			return true
		}
	}
	return false
}
