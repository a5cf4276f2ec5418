package origin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// serves and ends are changes of endpoints' entries.
func serves(id, version string, born int64) Change {
	return Change{ID: id, Service: "m", Version: version, Born: born, Accepts: true, CanRun: true}
}

func ends(id string) Change { return Change{ID: id} }

func changed(c Change, change func(*Change)) Change {
	change(&c)
	return c
}

// Guards against streams that go on at the version on record although another one was used and has gone while VMs
// couldn't write, and against refusals without a sign of that.
func TestHistoryTellsWhatWasUsedOffTheRecord(t *testing.T) {
	const since = 100
	recorded, other := Origin{"m", "v1"}, []Origin{{"m", "v2"}}
	left := []Change{serves("a", "v1", 1), serves("x", "v2", 110), ends("a"), serves("b", "v1", 120), ends("x")}
	cannotRun := func(c *Change) { c.CanRun = false }
	drains := func(c *Change) { c.Accepts = false }
	for name, tc := range map[string]struct {
		history History
		want    []Origin
	}{
		"nothing known": {History{}, nil},
		"one version":   {History{Whole: true, Changes: []Change{serves("a", "v1", 1), ends("a"), serves("b", "v1", 120)}}, nil},
		"came and went": {History{Whole: true, Changes: left}, other},
		"went long ago": {History{Whole: true, Changes: []Change{serves("a", "v1", 1), serves("x", "v2", 10), ends("a"), serves("b", "v1", 20), ends("x")}}, nil},
		"is the only one left": {
			History{Whole: true, Changes: []Change{serves("a", "v1", 1), serves("x", "v2", 10), ends("a")}}, other,
		},
		"beside enough of the recorded one": {
			History{Whole: true, Changes: []Change{serves("a", "v1", 1), serves("x", "v2", 110), ends("x"), serves("b", "v1", 120)}}, nil,
		},
		"beside too few of the recorded one": {
			History{Whole: true, Changes: []Change{serves("a", "v1", 1), serves("x", "v2", 110), serves("y", "v2", 110), ends("x"), ends("y")}}, other,
		},
		"recorded one can't run": {
			History{Whole: true, Changes: []Change{changed(serves("a", "v1", 1), cannotRun), serves("x", "v2", 110), ends("x")}}, other,
		},
		"recorded one drains": {
			History{Whole: true, Changes: []Change{serves("a", "v1", 1), serves("x", "v2", 110), changed(serves("a", "v1", 1), drains), serves("b", "v1", 120)}}, other,
		},
		"another service": {
			History{Whole: true, Changes: []Change{changed(serves("x", "v2", 110), func(c *Change) { c.Service = "n" }), ends("x")}}, nil,
		},
		"recorded one not changed lately": {
			History{Unchanged: []Change{serves("a", "v1", 1)}, Changes: []Change{serves("x", "v2", 110), ends("x")}}, nil,
		},
		"recorded one may have served before its first change": {
			History{Changes: []Change{serves("x", "v2", 110), ends("x"), changed(serves("a", "v1", 1), cannotRun)}}, nil,
		},
		"recorded one may have served before its end": {History{Changes: []Change{serves("x", "v2", 110), ends("a"), serves("b", "v1", 120)}}, other},
		"recorded one may have served for long":       {History{Changes: []Change{serves("x", "v2", 110), ends("x"), ends("a")}}, nil},
		"came and went in a part of the history":      {History{Changes: left}, other},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, tc.history.UsedOffRecord(recorded, since), tc.want)
		})
	}
}
