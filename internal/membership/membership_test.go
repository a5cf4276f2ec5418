package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

const second = clock.Time(time.Second)

func newTable() *Table {
	return New(Options{SuspectAfter: 2 * time.Second, GoneAfter: 10 * time.Second})
}

func vm(name, peer string) driver.VM { return driver.VM{Name: name, Peer: peer} }

func stateOf(t *testing.T, tb *Table, now clock.Time, name string) State {
	t.Helper()
	for _, m := range tb.Members(now) {
		if m.Name == name {
			return m.State
		}
	}
	return Gone
}

func TestSilentVMBecomesSuspectThenGone(t *testing.T) {
	tb := newTable()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	assert.Equal(t, stateOf(t, tb, 0, "a"), Suspect)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	assert.Equal(t, stateOf(t, tb, 2*second, "a"), Live)
	assert.Equal(t, stateOf(t, tb, 4*second, "a"), Suspect)
	assert.Equal(t, stateOf(t, tb, 12*second, "a"), Gone)
}

// Guards against callers being sent to a VM that announced that it is leaving while the VM list
// still shows it as live, for up to a minute.
func TestLeavingHeartbeatOverridesVMList(t *testing.T) {
	tb := newTable()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true, Leaving: true})
	tb.MergeListed(second, []driver.VM{vm("a", "p1")})
	assert.Equal(t, stateOf(t, tb, second, "a"), Leaving)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	assert.Equal(t, stateOf(t, tb, second, "a"), Leaving, "a reordered heartbeat doesn't revive it")
}

// Guards against a restarted VM counted as leaving because a delayed leaving heartbeat of its old
// process arrives last.
func TestHeartbeatOfOldIncarnationIsIgnored(t *testing.T) {
	tb := newTable()
	tb.MergeListed(0, []driver.VM{vm("a", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "2", Ready: true})
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "a", Incarnation: "1", Leaving: true})
	members := tb.Members(second)
	assert.Equal(t, members[0].State, Live)
	assert.Equal(t, members[0].Incarnation, "2")
}

// Guards against a replaced VM staying usable until its heartbeat timeout when its successor has
// another name and the same address.
func TestReplacedVMWithSameAddressIsGone(t *testing.T) {
	tb := newTable()
	tb.MergeListed(0, []driver.VM{vm("old", "p1")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "old", Incarnation: "1", Ready: true})
	tb.MergeListed(second, []driver.VM{vm("new", "p1")})
	assert.Equal(t, stateOf(t, tb, second, "old"), Gone)
	assert.Equal(t, stateOf(t, tb, second, "new"), Suspect)
	tb.ReceiveHeartbeat(second, Heartbeat{VM: "new", Incarnation: "2", Ready: true})
	members := tb.Members(second)
	assert.Assert(t, members[0].Usable())
}

func TestUnlistedVMGetsNoNewWork(t *testing.T) {
	tb := newTable()
	tb.MergeListed(0, []driver.VM{vm("a", "p1"), vm("b", "p2")})
	tb.ReceiveHeartbeat(0, Heartbeat{VM: "a", Incarnation: "1", Ready: true})
	tb.MergeListed(second, []driver.VM{vm("b", "p2")})
	assert.Equal(t, stateOf(t, tb, second, "a"), Leaving)
	tb.MergeListed(30*second, []driver.VM{vm("b", "p2")})
	assert.Equal(t, len(tb.Members(30*second)), 1)
}
