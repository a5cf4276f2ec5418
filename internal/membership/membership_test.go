package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

const second = clock.Time(time.Second)

func table() *Table { return New(Options{SuspectAfter: 2 * time.Second, GoneAfter: 10 * time.Second}) }

func vm(name, peer string) driver.VM { return driver.VM{Name: name, Peer: peer} }

func state(t *testing.T, tb *Table, now clock.Time, name string) State {
	t.Helper()
	for _, m := range tb.Members(now) {
		if m.Name == name {
			return m.State
		}
	}
	return Gone
}

func TestSilenceMakesSuspectThenGone(t *testing.T) {
	tb := table()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	assert.Equal(t, state(t, tb, 0, "a"), Suspect)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	assert.Equal(t, state(t, tb, 2*second, "a"), Live)
	assert.Equal(t, state(t, tb, 4*second, "a"), Suspect)
	assert.Equal(t, state(t, tb, 12*second, "a"), Gone)
}

// Story: a VM says it leaves; the VM list still shows it as live for a minute.
// Callers must not be sent there for that minute.
func TestLeavingHeardCountsBeforeTheList(t *testing.T) {
	tb := table()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true, Leaving: true})
	tb.MergeListed(second, []driver.VM{vm("a", "p1")})
	assert.Equal(t, state(t, tb, second, "a"), Leaving)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	assert.Equal(t, state(t, tb, second, "a"), Leaving, "a crossed heartbeat doesn't bring it back")
}

// Story: a VM's process restarts. A leaving heartbeat of the old process was
// held up and arrives last; the new process must not be taken for leaving.
func TestOldIncarnationIsNotBelieved(t *testing.T) {
	tb := table()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "2", Ready: true})
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Leaving: true})
	members := tb.Members(second)
	assert.Equal(t, members[0].State, Live)
	assert.Equal(t, members[0].Incarnation, "2")
}

// Story: a VM is replaced; its successor has another name and the same
// address. The old name must not stay usable for as long as silence takes.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	tb := table()
	tb.MergeListed(0, []driver.VM{vm("old", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "old", Incarnation: "1", Ready: true})
	tb.MergeListed(second, []driver.VM{vm("new", "p1")})
	assert.Equal(t, state(t, tb, second, "old"), Gone)
	assert.Equal(t, state(t, tb, second, "new"), Suspect)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "new", Incarnation: "2", Ready: true})
	members := tb.Members(second)
	assert.Assert(t, members[0].Usable())
}

func TestTakenOffTheListTakesNoNewWork(t *testing.T) {
	tb := table()
	tb.MergeListed(0, []driver.VM{vm("a", "p1"), vm("b", "p2")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	tb.MergeListed(second, []driver.VM{vm("b", "p2")})
	assert.Equal(t, state(t, tb, second, "a"), Leaving)
	tb.MergeListed(30*second, []driver.VM{vm("b", "p2")})
	assert.Equal(t, len(tb.Members(30*second)), 1)
}
