// Package docs checks the pages against the code.
package docs

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/control"
	"fescuestand/internal/entry"
	"fescuestand/internal/operator"
	"fescuestand/internal/settings"
	"fescuestand/internal/sheet"
)

// A key that is added to the code and not to its page, or removed from the
// code only, is named here.
func TestPagesNameEveryKey(t *testing.T) {
	for page, values := range map[string][]any{
		"SHEET.md":    {sheet.Sheet{}},
		"SETTINGS.md": {entry.Settings{}, control.Settings{}, operator.Settings{}},
	} {
		b, err := os.ReadFile(page)
		assert.NilError(t, err)
		known := map[string]bool{}
		for _, v := range values {
			for _, key := range settings.Keys(v) {
				known[key] = true
				assert.Check(t, strings.Contains(string(b), "| `"+key+"` |"), "%s lacks a line for %s", page, key)
			}
		}
		for _, line := range strings.Split(string(b), "\n") {
			var key string
			if n, _ := fmt.Sscanf(line, "| `%s", &key); n == 1 {
				key = strings.TrimSuffix(key, "`")
				assert.Check(t, known[key], "%s has a line for %s, which the code does not take", page, key)
			}
		}
	}
}
