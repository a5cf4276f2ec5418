package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const vmA = `timestamp=2026-09-05T22:42:14.1Z level=info message="configuration in force" routes=9 version=4
timestamp=2026-09-05T22:42:14.2Z level=info message="endpoint reports" endpoint=i-1 draining=false
timestamp=2026-09-05T22:42:14.3Z level=info message="endpoint reports" endpoint=i-2 draining=false
not a log line
timestamp=2026-09-05T22:42:15Z level=info message="request ends" attempt1=i-1:not-run attempt2=i-3:lost code=3003 id=9c outcome=lost why="connection cut"
timestamp=2026-09-05T22:42:16Z level=info message="endpoint gone" endpoint=i-1
`

const vmB = `  1.25 vm-b timestamp=2026-09-05T22:42:14.9Z level=info message="request ends" id=9c outcome=refused code=2002
timestamp=2026-09-05T22:42:14.95Z level=info message="endpoint reports" endpoint=i-1 draining=true
`

func explainRequest(t *testing.T, id string) string {
	t.Helper()
	a, err := Read("vm-a", strings.NewReader(vmA))
	assert.NilError(t, err)
	b, err := Read("vm-b", strings.NewReader(vmB))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Find(append(a, b...), id).Write(&out))
	return out.String()
}

func TestRequestTrace(t *testing.T) {
	assert.Equal(t, explainRequest(t, "9c"), `believed at its end:
     0.900 s before  timestamp=2026-09-05T22:42:14.1Z level=info message="configuration in force" routes=9 version=4
     0.800 s before  timestamp=2026-09-05T22:42:14.2Z level=info message="endpoint reports" endpoint=i-1 draining=false
the request:
  22:42:14.900  vm-b: timestamp=2026-09-05T22:42:14.9Z level=info message="request ends" id=9c outcome=refused code=2002
  22:42:15.000  vm-a: timestamp=2026-09-05T22:42:15Z level=info message="request ends" attempt1=i-1:not-run attempt2=i-3:lost code=3003 id=9c outcome=lost why="connection cut"
decided by: request ends, outcome lost: it was sent, and the answer was lost or spoiled: it may have run; code 3003; connection cut
`)
}

func TestUnknownRequest(t *testing.T) {
	assert.Equal(t, explainRequest(t, "77"), "no line names 77\n")
}
