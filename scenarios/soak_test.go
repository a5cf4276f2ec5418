package scenarios

import (
	"flag"
	"fmt"
	"testing"
)

// The soak runs the processes of several VMs against stand-ins of the platform, injects faults from
// outside and checks the guarantees by what callers and endpoints observed. README.md describes how to
// run many seeds.
var (
	soakSeeds = flag.Int("soak.seeds", 0, "number of seeds that the soak runs in addition to the kept ones")
	soakFirst = flag.Int64("soak.first", 1000, "the first of these seeds")
	soakOld   = flag.String("soak.old", "", "path of another build of fescue-node that every other VM runs")
	soakNode  = flag.String("soak.node", "", "path of another build of fescue-node that all VMs run")
)

// soakKept lists the seeds that CI runs: one with planned work only, one with faults of all kinds, and
// each seed that has failed, with the cause.
var soakKept = []int64{
	1,     // planned work only
	2,     // faults of all kinds
	9,     // as 2, with a request that crashes endpoints
	24,    // as 2, with VMs that are cut off from all endpoints and a request that crashes endpoints
	11000, // streams were refused everywhere, as a partition had cut connections to three live endpoints
	7028,  // reads running on three isolated endpoints were refused as if the reads had crashed the endpoints
}

func TestSoak(t *testing.T) {
	seeds := append([]int64(nil), soakKept...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+int64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			s.persistent = true // else no stream is taken up at VMs that have all just started
			s.run()
			s.check()
		})
	}
}
