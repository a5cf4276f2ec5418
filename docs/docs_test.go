// Package docs checks that the documentation pages agree with the code: keys of sheets and settings,
// log messages, and the tests and scenarios cited as evidence.
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

// TestPagesNameEveryKey guards against a sheet or settings key that is added to the code but not to
// its page, or removed from the code but left on the page.
func TestPagesNameEveryKey(t *testing.T) {
	for page, values := range map[string][]any{
		"SHEET.md":    {sheet.Sheet{}},
		"SETTINGS.md": {entry.Settings{}, control.Settings{}, operator.Settings{}},
	} {
		b, err := os.ReadFile(page)
		assert.NilError(t, err)
		keysInCode := map[string]bool{}
		for _, v := range values {
			for _, key := range settings.Keys(v) {
				keysInCode[key] = true
				assert.Check(t, strings.Contains(string(b), "| `"+key+"` |"), "%s has no table row for key %s", page, key)
			}
		}
		for _, line := range strings.Split(string(b), "\n") {
			var key string
			if n, _ := fmt.Sscanf(line, "| `%s", &key); n == 1 {
				key = strings.TrimSuffix(key, "`")
				assert.Check(t, keysInCode[key], "%s documents key %s, which the code does not accept", page, key)
			}
		}
	}
}

var (
	// logLine matches a call that logs a literal message, and message="..." in a string literal.
	logLine = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([^"]+)"\)|message=\\"([^"\\]+)\\"`)
	// documentedMessage matches a message in backquotes on the page.
	documentedMessage = regexp.MustCompile("`([a-zA-Z][^`=]*)`")
)

// vmPackages lists the packages under internal whose log messages fescue-node writes.
var vmPackages = []string{
	"vm", "era", "gateway", "gossip", "catalog", "configsync", "cachesync", "authority", "keyedlog", "orders", "exchange",
	"eventlog", "kernel", "freshness", "usage", "scaling", "reachability", "originsync", "httpserver",
	"policy/backpressure",
}

// TestOperationsNamesEveryEvent guards against a log message that OPERATIONS.md does not explain to the
// on-call engineer, and against a documented message that the code no longer writes.
func TestOperationsNamesEveryEvent(t *testing.T) {
	b, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(b), "## Log lines")
	assert.Assert(t, found)
	table, _, _ = strings.Cut(table, "## Counters")
	loggedMessages := map[string]bool{}
	for _, pkg := range vmPackages {
		for _, m := range logLine.FindAllStringSubmatch(readPackageSource(t, filepath.Join("..", "internal", pkg)), -1) {
			message := m[1] + m[2]
			loggedMessages[message] = true
			assert.Check(t, strings.Contains(table, "`"+message+"`"), "OPERATIONS.md does not document log message %q of package %s", message, pkg)
		}
	}
	for _, m := range logLine.FindAllStringSubmatch(readPackageSource(t, "../platform"), -1) {
		loggedMessages[m[1]] = true
	}
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 2 {
			continue
		}
		for _, m := range documentedMessage.FindAllStringSubmatch(cells[1], -1) {
			assert.Check(t, loggedMessages[m[1]], "OPERATIONS.md documents log message %q, which the code does not write", m[1])
		}
	}
}

// readPackageSource returns the concatenated Go files of the package in dir, without its tests.
func readPackageSource(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(t, err)
	var source strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		source.Write(b)
	}
	return source.String()
}

var (
	testName     = regexp.MustCompile(`\bTest[A-Z]\w+`)
	scenarioName = regexp.MustCompile(`promise\d_\w+`)
)

// TestPromisesNameProofsThatExist guards against PROMISES.md citing a test or scenario that was renamed
// or removed, and against a promise scenario that the page does not cite.
func TestPromisesNameProofsThatExist(t *testing.T) {
	b, err := os.ReadFile("PROMISES.md")
	assert.NilError(t, err)
	existingTests := collectTestNames(t)
	for _, name := range testName.FindAllString(string(b), -1) {
		assert.Check(t, existingTests[name], "PROMISES.md cites test %s, which does not exist", name)
	}
	citedScenarios := map[string]bool{}
	for _, name := range scenarioName.FindAllString(string(b), -1) {
		citedScenarios[name] = true
		_, err := os.Stat("../scenarios/" + name + ".txtar")
		assert.Check(t, err)
	}
	files, err := filepath.Glob("../scenarios/promise*.txtar")
	assert.NilError(t, err)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		assert.Check(t, citedScenarios[name], "scenario %s is not cited in PROMISES.md", name)
	}
}

// collectTestNames returns all test names in the test files under internal, platform and scenarios.
func collectTestNames(t *testing.T) map[string]bool {
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
