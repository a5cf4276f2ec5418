package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/kernel"
)

const requestLogLine = "timestamp=2026-09-05T22:42:15Z level=info message=\"request ends\" id=9c outcome=refused code=2002\n"

func TestExplainReadsFilesOrStandardInput(t *testing.T) {
	var out bytes.Buffer
	c := &explainCommand{out: &out, in: strings.NewReader(requestLogLine)}
	c.Args.ID = "9c"
	assert.NilError(t, c.Execute(nil))
	assert.Assert(t, strings.Contains(out.String(), "outcome refused"), out.String())

	name := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(name, []byte(requestLogLine), 0o600))
	out.Reset()
	c.Args.Files = []string{name}
	assert.NilError(t, c.Execute(nil))
	assert.Assert(t, strings.Contains(out.String(), name+": timestamp"), out.String())
}

func TestExplainRejectsBadUsage(t *testing.T) {
	assert.Equal(t, exitCode((&explainCommand{}).Execute(nil)), kernel.ExitUsage)
	c := &explainCommand{}
	c.Args.ID, c.Args.Files = "9c", []string{"absent"}
	assert.Equal(t, exitCode(c.Execute(nil)), kernel.ExitUsage)
}
