// Package docs checks the pages against the code.
package docs

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
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

var (
	logLine     = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([^"]+)"\)|message=\\"([^"\\]+)\\"`)
	toldMessage = regexp.MustCompile("`([a-zA-Z][^`=]*)`")
)

// vmPackages are what fescue-node consists of.
var vmPackages = []string{
	"vm", "gateway", "gossip", "catalog", "configsync", "cachesync", "authority", "keyedlog", "orders", "exchange",
	"eventlog", "kernel", "freshness", "usage", "scaling",
	"policy/backpressure",
}

// An on-call engineer meets a line that no page explains, or looks for one that
// the code has stopped writing.
func TestOperationsNamesEveryEvent(t *testing.T) {
	b, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(b), "## Log lines")
	assert.Assert(t, found)
	table, _, _ = strings.Cut(table, "## Counters")
	written := map[string]bool{}
	for _, pkg := range vmPackages {
		for _, m := range logLine.FindAllStringSubmatch(sourceOf(t, filepath.Join("..", "internal", pkg)), -1) {
			message := m[1] + m[2]
			written[message] = true
			assert.Check(t, strings.Contains(table, "`"+message+"`"), "OPERATIONS.md lacks the line %q of %s", message, pkg)
		}
	}
	for _, m := range logLine.FindAllStringSubmatch(sourceOf(t, "../platform"), -1) {
		written[m[1]] = true
	}
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 2 {
			continue
		}
		for _, m := range toldMessage.FindAllStringSubmatch(cells[1], -1) {
			assert.Check(t, written[m[1]], "OPERATIONS.md tells of %q, which no code writes", m[1])
		}
	}
}

// sourceOf returns the Go code of a package without its tests.
func sourceOf(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(t, err)
	var all strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		all.Write(b)
	}
	return all.String()
}

var (
	testName     = regexp.MustCompile(`\bTest[A-Z]\w+`)
	scenarioName = regexp.MustCompile(`promise\d_\w+`)
)

// A proof that is renamed or removed must not stay on the page.
func TestPromisesNameProofsThatExist(t *testing.T) {
	b, err := os.ReadFile("PROMISES.md")
	assert.NilError(t, err)
	tests := testsOfTheTree(t)
	for _, name := range testName.FindAllString(string(b), -1) {
		assert.Check(t, tests[name], "no test %s", name)
	}
	named := map[string]bool{}
	for _, name := range scenarioName.FindAllString(string(b), -1) {
		named[name] = true
		_, err := os.Stat("../scenarios/" + name + ".txtar")
		assert.Check(t, err)
	}
	files, err := filepath.Glob("../scenarios/promise*.txtar")
	assert.NilError(t, err)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		assert.Check(t, named[name], "scenario %s stands behind no promise", name)
	}
}

// testsOfTheTree returns the names of all test functions under internal and platform.
func testsOfTheTree(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{"../internal", "../platform", "../scenarios"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			for _, name := range testName.FindAllString(string(b), -1) {
				found[name] = true
			}
			return err
		})
		assert.NilError(t, err)
	}
	return found
}
