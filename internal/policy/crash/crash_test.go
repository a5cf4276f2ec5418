package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

func recordCrash(r *Register, now clock.Time, request uint64, endpoint string) bool {
	return r.Record(now, Crash{Request: request, Endpoint: endpoint})
}

// Guards against a request that crashes one engine after another, as its caller retries it at any
// VM. Once it has crashed three engines it must be refused, so that the fourth isn't lost.
func TestARequestThatCrashedThreeEndpointsIsRefused(t *testing.T) {
	r := New()
	now := clock.Time(0)
	for i, e := range []string{"a", "b", "c"} {
		assert.Assert(t, !r.ShouldRefuse(now, 7), "after %d", i)
		assert.Assert(t, recordCrash(r, now, 7, e))
		now = now.Add(5 * time.Second)
	}
	assert.Assert(t, r.ShouldRefuse(now, 7))
	assert.Assert(t, !r.ShouldRefuse(now, 8))
	assert.Assert(t, !r.ShouldRefuse(now.Add(crashTTL), 7))
}

// Guards against counting one crash several times because several VMs report it: three reports would
// quarantine a request that ran at a single engine which failed for another reason.
func TestOneCrashCountsOnce(t *testing.T) {
	r := New()
	assert.Assert(t, recordCrash(r, 0, 7, "a"))
	assert.Assert(t, !recordCrash(r, 0, 7, "a"))
	assert.Equal(t, r.CrashCount(0, 7), 1)
}

// Guards against refusing, for minutes, a lookup that many callers send, because three endpoints
// were running it when their connections were cut.
func TestARequestThatIsAlsoAnsweredIsNotRefused(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	r.RecordSuccess(now, 7)
	for _, e := range []string{"a", "b", "c"} {
		recordCrash(r, now.Add(time.Second), 7, e)
		recordCrash(r, now.Add(time.Second), 8, e)
	}
	assert.Assert(t, !r.ShouldRefuse(now.Add(time.Second), 7))
	assert.Assert(t, r.ShouldRefuse(now.Add(time.Second), 8))
	for _, e := range []string{"d", "e", "f"} {
		recordCrash(r, now.Add(2*successCredit), 7, e)
	}
	assert.Assert(t, r.ShouldRefuse(now.Add(2*successCredit), 7), "its last success is too old")
}

func TestOldCrashesExpire(t *testing.T) {
	r := New()
	now := clock.Time(0)
	for _, e := range []string{"a", "b", "c", "d"} {
		recordCrash(r, now, 7, e)
		now = now.Add(crashTTL + time.Second)
	}
	assert.Assert(t, !r.ShouldRefuse(now, 7))
}

func TestNumberOfRecordsIsBounded(t *testing.T) {
	r := New()
	for i := range uint64(3 * maxRecords) {
		recordCrash(r, 0, i, "a")
	}
	assert.Assert(t, len(r.records) <= maxRecords)
}

// Guards against a request that is never quarantined, as its caller sends it again less often than
// crashes are forgotten.
func TestARequestThatCrashesEndpointsSeldomIsRefused(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	for _, e := range []string{"a", "b", "c"} {
		recordCrash(r, now, 7, e)
		now = now.Add(time.Minute)
	}
	assert.Assert(t, r.ShouldRefuse(now, 7))
}

// Guards against quarantines that end with the processes: what is stored must quarantine the same requests.
func TestCrashesInForceMakeUpTheQuarantines(t *testing.T) {
	r, now := New(), clock.Time(time.Hour)
	for _, e := range []string{"a", "b", "c", "d"} {
		recordCrash(r, now, 7, e)
	}
	recordCrash(r, now, 8, "a")
	stored := r.InForce(now.Add(time.Minute), 100)
	assert.Equal(t, len(stored), quarantineCrashes)
	started, later := New(), clock.Time(3*time.Hour)
	for _, c := range stored {
		assert.Assert(t, c.Age == time.Minute)
		started.Record(later, c)
	}
	assert.Assert(t, started.ShouldRefuse(later, 7) && !started.ShouldRefuse(later, 8))
	assert.DeepEqual(t, started.InForce(later, 100), stored)
	assert.Equal(t, len(started.InForce(later.Add(crashTTL), 100)), 0)
	assert.Equal(t, len(r.InForce(now, 2)), 2, "the record is bounded")
}

// Guards against a full table that forgets the request which crashes endpoints for those that were
// running beside it.
func TestAFullTableKeepsRepeatedCrashes(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	for _, e := range []string{"a", "b", "c"} {
		recordCrash(r, now, 7, e)
	}
	for i := range uint64(3 * maxRecords) {
		recordCrash(r, now.Add(time.Second), 1000+i, "d")
	}
	assert.Assert(t, r.ShouldRefuse(now.Add(time.Second), 7))
}

// Guards against reports of a crash that arrive after the endpoint has answered, and against an answer to
// a request that was sent before the crash.
func TestAnAnswerAfterACrashRefutesIt(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	crash := func(e string) { recordCrash(r, now, 7, e) }
	crash("a")
	crash("b")
	crash("c")
	r.RecordAnswer(now.Add(-time.Second), "a")
	assert.Assert(t, r.ShouldRefuse(now, 7))
	r.RecordAnswer(now.Add(time.Second), "a")
	assert.Equal(t, r.CrashCount(now, 7), 2)
	assert.Assert(t, !r.Record(now.Add(3*time.Second), Crash{Request: 7, Endpoint: "a", Age: 3 * time.Second}))
	assert.Assert(t, r.Record(now.Add(3*time.Second), Crash{Request: 7, Endpoint: "a", Age: time.Second}), "a later crash")
	assert.Assert(t, r.ShouldRefuse(now.Add(3*time.Second), 7))
}

// Guards against a quarantine that ends as VMs tell each other of an old success, which seems later by the
// transit time with each message.
func TestASuccessDoesntMoveAsVMsTellEachOther(t *testing.T) {
	const transit = 20 * time.Millisecond
	a, b := New(), New()
	now := clock.Time(time.Hour)
	a.RecordSuccess(now, 7)
	now = now.Add(successCredit + time.Second)
	for _, e := range []string{"a", "b", "c"} {
		recordCrash(a, now, 7, e)
	}
	for range 100 {
		for _, pair := range [][2]*Register{{a, b}, {b, a}} {
			reports := pair[0].Report(now, 4)
			now = now.Add(transit)
			for _, c := range reports {
				pair[1].Record(now, c)
			}
		}
	}
	assert.Assert(t, a.ShouldRefuse(now, 7))
	assert.Assert(t, b.ShouldRefuse(now, 7))
}
