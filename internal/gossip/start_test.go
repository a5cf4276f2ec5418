package gossip

import (
	"testing"

	"gotest.tools/v3/poll"
)

// Guards against VMs that know only the one which the group has listed when callers come.
func TestVMsIntroduceEachOther(t *testing.T) {
	const vms = 10
	var hubs [vms]hub
	var all [vms]*Members
	_, all[0] = start(t, &hubs[0])
	for i := 1; i < vms; i++ {
		_, all[i] = start(t, &hubs[i])
		all[i].MergeListed([]Node{all[0].own})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, m := range all {
			if n := len(m.AdvertisedAddresses("")); n < vms {
				return poll.Continue("VM %d knows %d", i, n)
			}
		}
		return poll.Success()
	})
}
