package sheet

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/settings"
)

const validSheet = `{
	"deployment": "lakeshore", // the morning's export
	"engines": [
		{"name": "e1", "zone": "leamington", "driver": "d", "address": "127.0.0.1:7001", "checks_fence": true},
		{"name": "e2", "zone": "saginaw", "driver": "d", "address": "127.0.0.1:7002", "checks_fence": false},
	],
	"pools": [{"name": "labels", "model": "m", "version": "1", "engines": ["e1", "e2"], "max_away_share": 0.5,
		"roles": {"planned": true, "min_prefill": 1, "min_decode": 1, "change_price": 2, "max_changes_per_hour": 9}}],
	"services": [{"name": "print", "driver": "d", "endpoints": [{"name": "p1", "zone": "saginaw", "address": "127.0.0.1:7101"}],
		"operations": [{"name": "print-and-commit", "idempotent": false}]}],
	"classes": [{"name": "draft", "priority": 1, "deadline": "8s", "first_token": "360ms", "between_tokens": "39ms", "objective": 0.95}],
	"limits": {"max_body": 1000000, "max_tokens": 2000, "workspace_share": 0.2, "commit_window": "24h", "queue_per_engine": 64},
}`

func TestParseAcceptsValidSheet(t *testing.T) {
	s, err := Parse("sheet", []byte(validSheet))
	assert.NilError(t, err)
	assert.Equal(t, s.Engines[0].Target().Address, "127.0.0.1:7001")
}

// An exported sheet can have several errors. Parse must report all of them in one run, each with its
// line, so that the operator need not run the check once per error.
func TestParseReportsEveryProblemAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		`"name": "e2", "zone": "saginaw"`, `"name": "e1", "zone": ""`,
		`"127.0.0.1:7101"`, `"127.0.0.1"`,
		`"engines": ["e1", "e2"], "max_away_share": 0.5`, `"engines": ["e1", "e9"], "max_away_share": 0.9`,
		`"min_prefill": 1`, `"min_prefill": 2`,
		`"deadline": "8s"`, `"deadline": "0s"`,
		`"workspace_share": 0.2`, `"workspace_share": 0`,
	).Replace(validSheet)
	_, err := Parse("sheet", []byte(text))
	var problems *settings.Problems
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	got := make([]string, len(problems.List))
	for i, p := range problems.List {
		assert.Assert(t, p.Line > 1, "%v", p)
		got[i] = p.Path
	}
	assert.DeepEqual(t, got, []string{
		"engines[1].name", "engines[1].zone", "pools[0].engines[1]", "pools[0].roles", "pools[0].max_away_share",
		"services[0].endpoints[0].address", "classes[0].deadline", "classes[0].first_token", "limits.workspace_share",
	})
	assert.Equal(t, problems.List[0].Code, code.DuplicateName)
}

func TestParseReportsEngineInTwoPools(t *testing.T) {
	pool := `{"name": "b", "model": "m", "version": "1", "engines": ["e1"], "max_away_share": 0.1, "roles": {"planned": false, "min_prefill": 0, "min_decode": 0, "change_price": 0, "max_changes_per_hour": 0}},`
	_, err := Parse("sheet", []byte(strings.Replace(validSheet, `"pools": [`, `"pools": [`+pool, 1)))
	assert.ErrorContains(t, err, `engine "e1" is in pool "b" too`)
}

func TestPatchChangesNamedMembers(t *testing.T) {
	patch := `{"note": "x", "engines": {"e2": null, "e1": {"withdrawn": true}, "e3": {"zone": "saginaw", "driver": "d", "address": "127.0.0.1:7003", "checks_fence": true}},
		"pools": {"labels": {"version": "2", "engines": ["e1", "e3"], "roles": {"min_prefill": 0, "min_decode": 0}}}}`
	out, err := ApplyPatch([]byte(validSheet), []byte(patch))
	assert.NilError(t, err)
	s, err := Parse("patched", out)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Engines), 2)
	assert.Assert(t, s.Engines[0].Withdrawn)
	assert.Equal(t, s.Engines[1].Name, "e3")
	assert.Equal(t, s.Pools[0].Version, "2")
	assert.Equal(t, s.Pools[0].MaxUnavailableShare, 0.5)
}

func TestPatchFollowsTheRFC(t *testing.T) {
	for _, c := range []struct{ base, patch, want string }{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[1,2]}`, `{"a":[3]}`, `{"a":[3]}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
		{`{"n":9007199254740993}`, `{}`, `{"n":9007199254740993}`},
	} {
		got, err := ApplyPatch([]byte(c.base), []byte(c.patch))
		assert.NilError(t, err)
		assert.Equal(t, string(got), c.want)
	}
	_, err := ApplyPatch([]byte(`{}`), []byte(`[]`))
	assert.ErrorContains(t, err, "not an object")
}
