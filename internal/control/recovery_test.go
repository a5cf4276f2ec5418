package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowStore gives ten seconds of its rate for a model.
type slowStore struct{}

func (slowStore) Size(context.Context, string, string) (int64, error) { return 10 << 30, nil }
func (slowStore) Rate(context.Context) (int64, error)                 { return 1 << 30, nil }

// Story: an availability zone returns; its six engines are empty. If all asked
// for their weights at once, the store would split its rate and none would
// serve for a minute. They take turns.
func TestEmptyEnginesTakeTurnsAtTheWeightStore(t *testing.T) {
	begun := func(paced bool) (n int) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 6, true)
			defer w.close()
			for _, e := range w.engines {
				e.state.Loaded = nil
			}
			w.start("vm0", func(o *Options) {
				if paced {
					o.Weights = slowStore{}
				}
			})
			eventually(t, 20*time.Second, "a load", func() bool { return w.loads() > 0 })
			time.Sleep(15 * time.Second)
			n = w.loads()
		})
		return n
	}
	assert.Equal(t, begun(true), 2, "loads begun in the first 15 s")
	assert.Equal(t, begun(false), 6, "without the pacing all at once")
}

func (w *world) loads() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.ordersTaken())
	}
	return n
}

// Story: all control processes are gone for longer than the log keeps records.
// Those that start afterwards find no state. They must not wait for ever, nor
// claim while a holder from before might still give orders.
func TestAuthorityBeginsAnewWhenNoRecordIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, false)
		defer w.close()
		w.start("vm0")
		eventually(t, 15*time.Second, "held", func() bool { return w.controls["vm0"].holdsAll() })
		w.controls["vm0"].stop()
		w.log.Expire("control", w.log.End("control"))
		for i := range 2 {
			w.start(fmt.Sprint("vm", i))
		}
		time.Sleep(beginAfter)
		assert.Assert(t, !w.controls["vm0"].holdsAll() && !w.controls["vm1"].holdsAll())
		eventually(t, time.Minute, "held again", func() bool {
			return w.controls["vm0"].holdsAll() || w.controls["vm1"].holdsAll()
		})
		time.Sleep(time.Minute)
		assert.Assert(t, w.controls["vm0"].holdsAll() != w.controls["vm1"].holdsAll())
	})
}

func (p *proc) holdsAll() bool {
	scopes := p.c.Scopes()
	for _, s := range scopes {
		if !s.Held {
			return false
		}
	}
	return len(scopes) > 0
}
