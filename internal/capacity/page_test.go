package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// slopeLine matches the start of a row of the page's table of slopes: the benchmark and its package.
var slopeLine = regexp.MustCompile("(?m)^\\| `(\\w+)` \\(([\\w/]+)\\)")

// Guards against slopes on the page that nobody can measure again, because their benchmark was renamed or
// removed.
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
