package originsync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/wire"
)

// refusingStore is read, but takes no appends.
type refusingStore struct{ *memoryStore }

func (refusingStore) PutStarts(context.Context, []origin.Start) error    { return driver.ErrRefused }
func (refusingStore) AppendOrigins(context.Context, []Archived) error    { return driver.ErrRefused }
func (refusingStore) DeleteStarts(context.Context, []origin.Start) error { return driver.ErrRefused }

// settle has each VM see the endpoints of versions and record what is missing.
func (w *network) settle(t *testing.T, versions ...string) {
	t.Helper()
	for _, vm := range w.vms {
		a := vm.Archive
		a.checkAmbiguous(a.starts.SetVisible(w.clock.T, startsAt(versions...), window))
	}
	w.clock.T = w.clock.T.Add(retryInterval)
	for _, vm := range w.vms {
		vm.Archive.maintain(t.Context())
	}
}

// Guards against a stream of a version that couldn't be recorded, and therefore began without a record, that goes
// on at the recorded version although the VM itself sees two.
func TestUnrecordedVersionIsNotRuledOut(t *testing.T) {
	for name, key := range map[string]origin.Key{"named": 1, "unnamed": origin.Unnamed} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(4)
			w.settle(t, "v1")
			w.refuseWrites()
			w.setServing(1, 2) // v1 doesn't suffice
			w.settle(t, "v1", "v2")
			w.clock.T = w.clock.T.Add(3 * time.Second)
			assert.Assert(t, w.vm(1).Archive.starts.MayBegin(w.clock.T, &startsAt("v2")[0]), "streams begin at v2")
			o, source := w.vm(0).Find(t.Context(), streamOf(key), "m", window)
			assert.Assert(t, source == Unknown || source == Unread, "goes on at %s (%s), may be of v2", o.Version, source)
		})
	}
}

// refuseWrites has the store reject the writes of all VMs.
func (w *network) refuseWrites() {
	for _, vm := range w.vms {
		vm.Archive.Store = refusingStore{w.store}
	}
}

// setServing has all VMs see how many endpoints of each version serve.
func (w *network) setServing(v1, v2 int) {
	for _, vm := range w.vms {
		vm.Archive.starts.SetServing(w.clock.T, map[origin.Start]origin.Serving{startsAt("v1")[0]: {Endpoints: v1, CanRun: true}, startsAt("v2")[0]: {Endpoints: v2, CanRun: true}})
	}
}

// Guards against a stream of a version that was used without a record for a while, which goes on at the recorded one at a
// VM that hasn't begun a stream in that while.
func TestVersionThatWasUsedByOtherVMsIsNotRuledOut(t *testing.T) {
	for name, key := range map[string]origin.Key{"named": 1, "unnamed": origin.Unnamed} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(8)
			w.settle(t, "v1")
			w.refuseWrites()
			w.setServing(1, 2)
			w.settle(t, "v1", "v2")
			w.clock.T = w.clock.T.Add(time.Second)
			order := w.vm(0).Replicas(key, len(w.vms))
			asker, user := w.vms[order[0]], w.vms[order[len(order)-1]] // which isn't asked
			assert.Assert(t, !slices.Contains(asker.others(key, origin.Lookups), user.Self))
			assert.Assert(t, user.Archive.starts.MayBegin(w.clock.T, &startsAt("v2")[0]))
			user.Archive.starts.MarkBegun(streamOf(key), v2)
			w.setServing(3, 1) // v1 suffices again
			o, source := asker.Find(t.Context(), streamOf(key), "m", window)
			assert.Assert(t, source == Unknown || source == Unread, "goes on at %s (%s), may be of v2", o.Version, source)
		})
	}
}

// Guards against unnamed streams that go on at the earlier version since the store has failed right after it took the record
// of another one: the VMs that haven't read it count that one as unused.
func TestVersionRecordedRightBeforeAnOutageIsNotRuledOut(t *testing.T) {
	w := newNetwork(16)
	w.settle(t, "v1")
	w.setServing(3, 1)
	writer := w.vm(0)
	for _, vm := range w.vms {
		vm.Archive.checkAmbiguous(vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1", "v2"), window))
	}
	writer.Archive.starts.SetWritten(w.clock.T, startsAt("v2"))
	assert.Assert(t, writer.Archive.starts.MayBegin(w.clock.T, &startsAt("v2")[0]))
	w.store.down = true
	for _, vm := range w.vms {
		o, source := vm.Find(t.Context(), streamOf(origin.Unnamed), "m", window)
		assert.Equal(t, source, Unread, "%s: goes on at %s, may be of v2", vm.Self, o.Version)
	}
}

// Guards against a young VM that takes the only version on record while other VMs know the stream's origin.
func TestKnownOriginPrecedesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(4)
		w.store.starts = startsAt("v1")
		w.vm(1).Record(streamOf(1), v2, time.Minute) // began while v2 couldn't be recorded
		w.start("vm0")
		w.seen["vm0"] = origin.Observation{Versions: []string{"v1", "v2"}, Fresh: true}
		w.vm(0).Send = delayed(w.vm(0).Send, 5*time.Millisecond) // as between zones
		o, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
		assert.Check(t, o == v2 || source == Unknown || source == Unread, "goes on at %s (%s)", o.Version, source)
		time.Sleep(time.Second) // for the datagrams on their way
	})
}

// Guards against a restore that loses the start of a version whose endpoints have ended: nobody writes it again,
// and VMs that still know the version conclude from the record that there was another one only.
func TestRestoreKeepsStartsOfEndedVersions(t *testing.T) {
	w := newNetwork(4)
	w.settle(t, "v1")
	w.settle(t, "v1", "v2")
	w.settle(t, "v2") // callers may take up streams of v1 for the window
	w.store.starts = startsAt("v2")
	for _, vm := range w.vms {
		vm.Archive.Reset()
	}
	w.clock.T = w.clock.T.Add(3 * time.Second)
	w.settle(t, "v2")
	o, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Assert(t, source == Unknown || source == Unread, "goes on at %s (%s), may be of v1", o.Version, source)
}

// Guards against a removal that the store carries out seconds later, when endpoints of the version have come back:
// no VM notices, and after a loss of all VMs the version is taken for one that no stream began at.
func TestLateRemovalDoesNotShortenTheRecord(t *testing.T) {
	w := newNetwork(4)
	w.settle(t, "v1")
	w.settle(t, "v1", "v2")
	w.settle(t, "v2")
	w.clock.T = w.clock.T.Add(2*window + time.Second)
	late := w.vm(0).Archive.starts.Obsolete(w.clock.T) // sent, and not answered
	assert.Equal(t, len(late), 1)
	w.settle(t, "v1", "v2")
	assert.Assert(t, w.vm(1).Archive.starts.MayBegin(w.clock.T, &startsAt("v1")[0]))
	assert.NilError(t, w.store.DeleteStarts(t.Context(), late))
	for range 20 {
		w.settle(t, "v1", "v2")
	}
	assert.Equal(t, len(w.store.starts), 2, "streams of v1 begin without a record")
}

// Guards against a start that is dropped early since a configuration has shortened the time limits: streams that
// began before may still be taken up.
func TestShorterLimitsDoNotDropStartsEarly(t *testing.T) {
	const long = 5 * time.Minute
	s := origin.NewStarts()
	now := clock.Time(time.Hour)
	s.SetVisible(now, startsAt("v1", "v2"), long)
	s.SetRecorded(now, startsAt("v1", "v2"))
	s.SetVisible(now, startsAt("v2"), long)
	s.SetVisible(now.Add(time.Second), startsAt("v2"), minWindow)
	assert.Equal(t, len(s.Obsolete(now.Add(long-time.Second))), 0)
}

// Guards against streams that are refused as unread by VMs of a large deployment although the store answers.
func TestLookupsInLargeDeploymentsAreAnswered(t *testing.T) {
	for _, vms := range []int{8, 420, 1000} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(1)
				w.store.starts = startsAt("v1")
				unread, all := 0, 0
				for i := range 50 {
					w.restartAll()
					vm := w.vm(0)
					a := vm.Archive
					a.Clock, a.VMs, a.Spread = clock.Boot{}, func() int { return vms }, uint64(i)*uint64(vms)*uint64(spreadPerVM)/50
					results := make(chan Source, 20)
					for key := range origin.Key(20) {
						go func() {
							_, source := vm.Find(t.Context(), streamOf(key+1), "m", window)
							results <- source
						}()
						time.Sleep(50 * time.Millisecond)
					}
					for range 20 {
						all++
						if <-results == Unread {
							unread++
						}
					}
				}
				time.Sleep(time.Duration(vms) * spreadPerVM) // for reads that nobody waits for any longer
				assert.Check(t, unread == 0, "%d VMs: %d of %d look-ups", vms, unread, all)
			})
		})
	}
}

// Guards against origins that are in the store and aren't found: the bounds hold what begins in a window at the
// stated peak rate.
func TestArchiveHoldsAWindowOfStreams(t *testing.T) {
	const perSecond = 3900
	w := newNetwork(1)
	w.store.starts = startsAt("v1", "v2")
	const streams = perSecond * int(minWindow/time.Second)
	a := w.newArchive()
	for key := range origin.Key(streams) {
		a.Add(Archived{key + 1, v1})
	}
	a.appendPending(t.Context())
	assert.Check(t, len(w.store.origins) == streams, "%d of %d are written when a second version appears", len(w.store.origins), streams)
	w.store.origins = nil
	for key := range origin.Key(streams) {
		w.store.origins = append(w.store.origins, Archived{key + 1, v1})
	}
	_, known, _, err := a.Lookup(t.Context(), streamOf(1))
	assert.NilError(t, err)
	found := 0
	for key := range origin.Key(streams) {
		if _, ok := a.archived.Find(w.clock.T, key+1); ok {
			found++
		}
	}
	assert.Check(t, known && found == streams, "%d of %d are found after a loss of all VMs", found, streams)
}

// delayed returns send with a delay.
func delayed(send func([]string, *wire.Beat), delay time.Duration) func([]string, *wire.Beat) {
	return func(peers []string, b *wire.Beat) {
		go func() {
			time.Sleep(delay)
			send(peers, b)
		}()
	}
}

// Guards against streams that are lost with all VMs since a second version appeared while no VM was running: all of
// them began at the one that was on record before.
func TestVersionThatAppearsDuringTheLoss(t *testing.T) {
	w := newNetwork(4)
	w.settle(t, "v1")
	w.vm(0).Record(streamOf(1), v1, time.Minute)
	w.restartAll()
	w.settle(t, "v1", "v2")
	o, source := w.vm(1).Find(t.Context(), streamOf(1), "m", window)
	assert.Assert(t, o == v1, "%s", source)
}
