package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// A request crashes each engine that begins to run it, and its caller sends it
// again at any VM. After three engines every VM that has heard of them refuses
// it, so that the fourth lives.
func TestARequestThatCrashedThreeEndpointsIsRefused(t *testing.T) {
	r := New()
	now := clock.Time(0)
	for i, e := range []string{"a", "b", "c"} {
		assert.Assert(t, !r.ShouldRefuse(now, 7), "after %d", i)
		assert.Assert(t, r.RecordCrash(now, 7, e))
		now = now.Add(5 * time.Second)
	}
	assert.Assert(t, r.ShouldRefuse(now, 7))
	assert.Assert(t, !r.ShouldRefuse(now, 8))
	assert.Assert(t, !r.ShouldRefuse(now.Add(refuseFor), 7))
}

// Several VMs tell of the same crash. Counted three times it would convict a
// request that was at an engine which failed for another reason.
func TestOneCrashCountsOnce(t *testing.T) {
	r := New()
	assert.Assert(t, r.RecordCrash(0, 7, "a"))
	assert.Assert(t, !r.RecordCrash(0, 7, "a"))
	assert.Equal(t, r.CrashCount(0, 7), 1)
}

// Guards against a lookup that many callers ask for and that is refused for minutes, since three
// endpoints that were cut off were running it.
func TestARequestThatIsAlsoAnsweredIsNotRefused(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	r.RecordSuccess(now, 7)
	for _, e := range []string{"a", "b", "c"} {
		r.RecordCrash(now.Add(time.Second), 7, e)
		r.RecordCrash(now.Add(time.Second), 8, e)
	}
	assert.Assert(t, !r.ShouldRefuse(now.Add(time.Second), 7))
	assert.Assert(t, r.ShouldRefuse(now.Add(time.Second), 8))
	for _, e := range []string{"d", "e", "f"} {
		r.RecordCrash(now.Add(2*remember), 7, e)
	}
	assert.Assert(t, r.ShouldRefuse(now.Add(2*remember), 7), "it has not been answered for long")
}

func TestOldLossesDoNotAddUp(t *testing.T) {
	r := New()
	now := clock.Time(0)
	for _, e := range []string{"a", "b", "c", "d"} {
		r.RecordCrash(now, 7, e)
		now = now.Add(remember + time.Second)
	}
	assert.Assert(t, !r.ShouldRefuse(now, 7))
}

func TestMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range uint64(3 * maxKnown) {
		r.RecordCrash(0, i, "a")
	}
	assert.Assert(t, len(r.known) <= maxKnown)
}
