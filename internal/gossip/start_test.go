package gossip

import (
	"testing"

	"gotest.tools/v3/poll"
)

// Guards against VMs that have only the one listed VM in their table when callers arrive.
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
				return poll.Continue("VM %d advertises %d VMs", i, n)
			}
		}
		return poll.Success()
	})
}
