package era

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against a start that counts as a restore, after which VMs keep endpoints that have left.
func TestTheNewestEraIsKept(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	tr := NewTracker(c)
	var restores []Era
	tr.OnRestore(func() { restores = append(restores, tr.Current()) })
	tr.Observe(None, "read")
	assert.Equal(t, tr.Current(), None)
	for _, e := range []Era{2, 2, 1, 4, 3} {
		tr.Observe(e, "read")
	}
	assert.Equal(t, tr.Current(), Era(4))
	assert.DeepEqual(t, restores, []Era{4})
}

// Guards against a VM that takes an era for younger than another VM knows it to be, or for older than
// any VM does.
func TestTheAgeOfAnEraIsTheLongestKnown(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	start := c.T
	tr := NewTracker(c)
	tr.Observe(2, "read")
	c.T = c.T.Add(time.Second)
	tr.Merge(2, 500*time.Millisecond, "vm")
	tr.Merge(1, time.Minute, "vm")
	_, since := tr.Since()
	assert.Equal(t, since, start)
	tr.Merge(2, 3*time.Second, "vm")
	_, since = tr.Since()
	assert.Equal(t, since, start.Add(-2*time.Second))
	tr.Observe(3, "read")
	e, since := tr.Since()
	assert.Equal(t, e, Era(3))
	assert.Equal(t, since, c.T)
}

// Guards against reads that count as showing all published configurations right after a restore, when
// the operators have not written again yet what the store lost.
func TestAnEraSettles(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	tr := NewTracker(c)
	assert.Assert(t, tr.SettledBy(c.T), "a store without eras isn't restored")
	tr.Observe(2, "read")
	assert.Assert(t, !tr.SettledBy(c.T.Add(RewriteTime-1)))
	assert.Assert(t, tr.SettledBy(c.T.Add(RewriteTime)))
}

func TestPositionsOfALaterEraAreLater(t *testing.T) {
	ordered := []Position{{None, 9}, {1, 0}, {1, 7}, {2, 3}}
	for i, p := range ordered {
		for j, q := range ordered {
			assert.Equal(t, p.Before(q), i < j)
		}
	}
}
