package gossip

import (
	"testing"

	"gotest.tools/v3/poll"
)

// Ten VMs start together, and the group has listed only one of them so far. They
// must know each other before callers come, without reading the list for long.
func TestVMsIntroduceEachOther(t *testing.T) {
	const vms = 10
	var hubs [vms]hub
	var all [vms]*Members
	_, all[0] = start(t, &hubs[0])
	for i := 1; i < vms; i++ {
		_, all[i] = start(t, &hubs[i])
		all[i].List([]Node{all[0].own})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, m := range all {
			if n := len(m.Callers("")); n < vms {
				return poll.Continue("VM %d knows %d", i, n)
			}
		}
		return poll.Success()
	})
}
