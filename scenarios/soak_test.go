package scenarios

import (
	"flag"
	"fmt"
	"testing"
)

// The soak runs the processes of VMs on the users' machines against stand-ins of
// their platform, harms them from outside and checks the promises by what
// callers and endpoints saw. README.md tells how to run many seeds.
var (
	soakSeeds = flag.Int("soak.seeds", 0, "how many seeds the soak runs beside the kept ones")
	soakFirst = flag.Int64("soak.first", 1000, "the first of them")
)

// soakKept are the seeds that CI runs: one of each sort of faults, and each seed
// that ever failed, with the cause.
var soakKept = []int64{
	1,    // planned work only
	2,    // faults of all kinds
	7028, // reads that three cut-off endpoints were running were refused as if they crash them
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
			s.play()
			s.check()
		})
	}
}
