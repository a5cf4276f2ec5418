package simworld

import (
	"testing"
	"time"

	"fescuestand/internal/simnet"
)

const (
	versionThird = "v3"
	// soonAfter is a short time after a restart or a change, in which VMs have read the store.
	soonAfter = 300 * time.Millisecond
	// storeDownTime is how long the store is down.
	storeDownTime = 1500 * time.Millisecond
	// entryLifetime is the time after which the store drops the entry of an endpoint that doesn't write it again.
	entryLifetime = 3600 * time.Millisecond
	// slowStore is what a slow store adds to each call.
	slowStore = 700 * time.Millisecond
	// slowAnswer is how long a slow endpoint takes to answer a question about itself.
	slowAnswer = 200 * time.Millisecond
	// absence is how long a version is away that comes back, longer than streams may be taken up.
	absence = 2 * time.Minute
	// lateRetryPause is that of callers that come late after the restart.
	lateRetryPause = 1500 * time.Millisecond
	// briefLossDelay bounds the time to a loss right after a change, and quickInterval is the time between two events of
	// streams that begin in it.
	briefLossDelay = 150 * time.Millisecond
	quickInterval  = 20 * time.Millisecond
	// joinedVMs is the number of VMs that join.
	joinedVMs = 2
	// lostDatagrams is the share of the datagrams that are lost.
	lostDatagrams = 0.3
)

// replaceAll has the old version leave.
func replaceAll(l *lossRun) { l.replace(lossEndpoints, versionOld, serviceBefore, versionNew) }

// replaceMost leaves few endpoints of the old version.
func replaceMost(l *lossRun) { l.replace(lossEndpoints*2/3, versionOld, serviceBefore, versionNew) }

// replaceByThird has three versions serve side by side.
func replaceByThird(l *lossRun) {
	const each = lossEndpoints / 3
	l.replace(each, versionOld, serviceBefore, versionNew)
	l.replace(each, versionOld, serviceBefore, versionThird)
	time.Sleep(lossStartSpread)
}

// inOrder returns a function that takes steps one after the other.
func inOrder(steps ...func(l *lossRun)) func(l *lossRun) {
	return func(l *lossRun) {
		for _, step := range steps {
			step(l)
		}
	}
}

func pause(d time.Duration) func(l *lossRun) { return func(*lossRun) { time.Sleep(d) } }

// storeFails sets the store's faults.
func storeFails(f storeFaults) func(l *lossRun) { return func(l *lossRun) { l.store.setFaults(f) } }

var (
	storeWorks         = storeFails(storeFaults{})
	storeRejectsAll    = storeFails(storeFaults{rejects: func(string, bool) bool { return true }})
	storeRejectsWrites = storeFails(storeFaults{rejects: func(_ string, isWrite bool) bool { return isWrite }})
	storeRejectsSome   = storeFails(storeFaults{rejects: func(vm string, _ bool) bool { return vm == "vm0" || vm == "vm1" }})
	storeIsSlow        = storeFails(storeFaults{latency: slowStore})
)

// copyStore copies the store, and restoreStore restores the copy. Operators and endpoints write again what is lost.
func copyStore(l *lossRun) { l.copied = l.store.lengths() }

func restoreStore(l *lossRun) {
	l.store.restore(l.copied)
	time.AfterFunc(entryLifetime, func() {
		for _, e := range l.removed() {
			l.store.put(endpointLog, e.id, "")
		}
	})
	time.AfterFunc(soonAfter, func() {
		l.rewriteConfig()
		for _, e := range l.allEndpoints() {
			l.writeEntry(e)
		}
	})
}

// forgetHistory has the store delete all records but the newest of each key.
func forgetHistory(l *lossRun) { l.store.forget() }

// loseAgain kills all VMs soon after they have started.
func loseAgain(l *lossRun) { l.lose(l.vms, nothing, maxRestartGap) }

// freeze has the last VM hear nothing, and thaw ends that.
func freeze(l *lossRun) {
	v := l.vms[len(l.vms)-1]
	l.setFrozen(v.address(portCallers))
	v.host.Silence()
}

func thaw(l *lossRun) {
	l.vms[len(l.vms)-1].host.Resume()
	l.setFrozen("")
}

// cutVMOff sets what happens between the last VM and the others, and the store's faults.
func (l *lossRun) cutVMOff(cut simnet.Cut, faults storeFaults) {
	last := l.vms[len(l.vms)-1]
	for _, v := range l.vms[:len(l.vms)-1] {
		l.network.SetCut(last.host, v.host, cut)
	}
	l.store.setFaults(faults)
}

// isolate has the last VM reach neither the other VMs nor the store, and rejoin ends that.
func isolate(l *lossRun) {
	last := l.vms[len(l.vms)-1]
	l.setFrozen(last.address(portCallers))
	l.cutVMOff(simnet.Hang, storeFaults{rejects: func(vm string, _ bool) bool { return vm == last.name }})
}

// answerSlowly delays what endpoints of the new version say of themselves.
func answerSlowly(e *endpoint, id string) {
	if id == "" && e.version == versionNew {
		time.Sleep(slowAnswer)
	}
}

// isolateMost has all VMs but the first reach neither it nor the store, and rejoinMost ends that.
func isolateMost(l *lossRun) {
	l.cutFirstVMOff(simnet.Hang, func(vm string, _ bool) bool { return vm != l.vms[0].name })
}

// isolateFirst has the first VM reach neither the other VMs nor the store.
func isolateFirst(l *lossRun) {
	l.cutFirstVMOff(simnet.Hang, func(vm string, _ bool) bool { return vm == l.vms[0].name })
}

func rejoinMost(l *lossRun) { l.cutFirstVMOff(simnet.NoCut, nil) }

func (l *lossRun) cutFirstVMOff(cut simnet.Cut, rejects func(vm string, isWrite bool) bool) {
	for _, v := range l.vms[1:] {
		l.network.SetCut(l.vms[0].host, v.host, cut)
	}
	l.store.setFaults(storeFaults{rejects: rejects})
}

func rejoin(l *lossRun) { l.cutVMOff(simnet.NoCut, storeFaults{}) }

// admitCallers has callers use all VMs.
func admitCallers(l *lossRun) { l.setFrozen("") }

// replaceMostAtOnce replaces endpoints as replaceMost does, but all at once, and the old ones don't end.
func replaceMostAtOnce(l *lossRun) {
	for _, e := range l.ofVersion(versionOld)[:lossEndpoints*2/3] {
		l.add(serviceBefore, versionNew)
		l.leave(e)
	}
}

func (l *lossRun) setFrozen(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = address
}

// join adds VMs.
func join(l *lossRun) {
	for range joinedVMs {
		l.addVM()
	}
}

// quicken has the endpoints of a version send events in short intervals.
func quicken(version string) func(l *lossRun) { return func(l *lossRun) { l.quick = version } }

// swap has all endpoints of a version end before those of another one start.
func swap(version, by string) func(l *lossRun) {
	return func(l *lossRun) {
		for _, e := range l.ofVersion(version) {
			l.remove(e)
			e.close()
		}
		time.Sleep(learnTime)
		for range lossEndpoints {
			l.add(serviceBefore, by)
		}
	}
}

// goBack replaces the new version by the old one.
func goBack(l *lossRun) {
	l.replace(len(l.ofVersion(versionNew)), versionNew, serviceBefore, versionOld)
}

var bothVersions = []string{versionOld, versionNew}

var faultCases = map[string]lossCase{
	"writes_rejected_both": {
		before: inOrder(storeRejectsWrites, replaceHalf), meanwhile: nothing, after: inOrder(pause(time.Second), storeWorks), awaitsStore: true,
	},
	"writes_rejected_left": {
		before: inOrder(storeRejectsWrites, replaceAll), meanwhile: nothing, after: inOrder(pause(time.Second), storeWorks), awaitsStore: true,
	},
	"writes_rejected_most": {
		before: inOrder(storeRejectsWrites, replaceMost, pause(lossStartSpread)), meanwhile: nothing, after: inOrder(pause(time.Second), storeWorks), awaitsStore: true,
	},
	"writes_rejected_back": {
		before: inOrder(storeRejectsWrites, replaceAll, goBack), meanwhile: nothing, after: inOrder(pause(time.Second), storeWorks), awaitsStore: true,
	},
	"writes_rejected_back_forgotten": {
		before:    inOrder(storeRejectsWrites, forgetHistory, replaceAll, goBack),
		meanwhile: nothing, after: inOrder(pause(time.Second), storeWorks), awaitsStore: true,
	},
	"some_vms_rejected": {before: inOrder(storeRejectsSome, replaceHalf), meanwhile: nothing, judgedVersions: bothVersions, awaitsStore: true},
	"store_down_in_restart_both": {
		before: replaceHalf, meanwhile: storeRejectsAll, after: inOrder(pause(storeDownTime), storeWorks), judgedVersions: bothVersions, awaitsStore: true,
	},
	"store_down_in_restart_left": {
		before: replaceAll, meanwhile: storeRejectsAll, after: inOrder(pause(storeDownTime), storeWorks), judgedVersions: []string{versionNew}, awaitsStore: true,
	},
	"store_down_after_restart_both": {
		before: replaceHalf, meanwhile: nothing, after: inOrder(storeRejectsAll, pause(storeDownTime), storeWorks),
		judgedVersions: bothVersions, awaitsStore: true,
	},
	"store_down_after_restart_left": {
		before: replaceAll, meanwhile: nothing, after: inOrder(storeRejectsAll, pause(storeDownTime), storeWorks),
		judgedVersions: []string{versionNew}, awaitsStore: true,
	},
	"slow_store_both":      {before: inOrder(storeIsSlow, replaceHalf), meanwhile: nothing, judgedVersions: bothVersions, awaitsStore: true},
	"slow_store_left":      {before: inOrder(storeIsSlow, replaceAll), meanwhile: nothing, minOldTakeUps: minJudgedTakeUps, awaitsStore: true},
	"restored_before_both": {before: inOrder(copyStore, replaceHalf, restoreStore, pause(time.Second)), meanwhile: nothing},
	"restored_long_before": {
		before: inOrder(copyStore, restoreStore, pause(lossWarmUp)), meanwhile: nothing, judgedVersions: []string{versionOld}, unnamedGoOn: true,
	},
	"restored_before_left":    {before: inOrder(copyStore, replaceAll, restoreStore), meanwhile: nothing},
	"restored_meanwhile_both": {before: inOrder(copyStore, replaceHalf), meanwhile: restoreStore},
	"restored_meanwhile_left": {before: inOrder(copyStore, replaceAll), meanwhile: restoreStore},
	"restored_meanwhile_back": {before: inOrder(copyStore, replaceHalf, goBack), meanwhile: restoreStore},
	"restored_after_both":     {before: inOrder(copyStore, replaceHalf), meanwhile: nothing, after: restoreStore},
	"restored_after_left":     {before: inOrder(copyStore, replaceAll), meanwhile: nothing, after: restoreStore},
	"second_loss_both":        {before: replaceHalf, meanwhile: nothing, after: loseAgain, judgedVersions: bothVersions},
	"second_loss_left":        {before: replaceAll, meanwhile: nothing, after: loseAgain, judgedVersions: []string{versionNew}},
	"returns_both": {
		before: inOrder(replaceAll, pause(absence), goBackHalf, pause(lossStartSpread)), meanwhile: nothing,
		callers: 2 * lossCallers, awaitsRetry: true, judgedVersions: bothVersions,
	},
	"returns_left": {
		before: inOrder(replaceAll, pause(absence), goBack, pause(replaceInterval)), meanwhile: nothing, maxLossDelay: maxLossDelay - replaceInterval,
		callers: 2 * lossCallers, judgedVersions: []string{versionOld},
	},
	"returns_just_left":      {before: inOrder(replaceAll, pause(absence), goBack), meanwhile: nothing},
	"release_meanwhile":      {before: nothing, meanwhile: replaceHalf, judgedVersions: []string{versionOld}},
	"release_meanwhile_late": {before: nothing, meanwhile: replaceHalf, retryPause: lateRetryPause, judgedVersions: []string{versionOld}},
	"moved_and_back": {
		before:    inOrder(quicken(versionMoved), addMoved, func(l *lossRun) { l.publishVariant(routeMoved) }),
		meanwhile: func(l *lossRun) { l.publishVariant("") }, maxLossDelay: briefLossDelay, minOldTakeUps: minJudgedTakeUps,
	},
	"swapped_and_back":  {before: inOrder(quicken(versionNew), swap(versionOld, versionNew)), meanwhile: swap(versionNew, versionOld), maxLossDelay: briefLossDelay},
	"history_forgotten": {before: forgetHistory, meanwhile: nothing, judgedVersions: []string{versionOld}, unnamedGoOn: true},
	"history_forgotten_release": {
		before: nothing, meanwhile: inOrder(forgetHistory, replaceHalf), judgedVersions: []string{versionOld},
	},
	"release_meanwhile_whole": {before: nothing, meanwhile: replaceAll, minOldTakeUps: minJudgedTakeUps},
	"three_versions":          {before: replaceByThird, meanwhile: nothing, judgedVersions: []string{versionOld, versionNew, versionThird}},
	"frozen_vm_both":          {before: inOrder(freeze, replaceHalf), meanwhile: nothing, after: inOrder(pause(time.Second), thaw), survivors: 1, judgedVersions: bothVersions},
	"frozen_vm_left":          {before: inOrder(freeze, replaceAll), meanwhile: nothing, after: inOrder(pause(time.Second), thaw), survivors: 1, judgedVersions: []string{versionNew}},
	"isolated_vm_stays": {
		before: inOrder(isolate, replaceMostAtOnce, pause(1700*time.Millisecond)), meanwhile: admitCallers, after: rejoin, maxLossDelay: briefLossDelay, survivors: 1, judgedVersions: bothVersions, awaitsStore: true,
	},
	"isolated_majority_stays": {
		before: inOrder(isolateMost, replaceMostAtOnce, pause(1700*time.Millisecond)), meanwhile: nothing, after: rejoinMost, maxLossDelay: briefLossDelay, survivors: vmCount - 1, awaitsStore: true,
	},
	// Guards against a stream that is taken for that of another caller with the same request, whose version is the only one
	// that the other VMs have heard of.
	"same_requests_of_isolated_vm": {
		before: inOrder(replaceHalf, isolateFirst, pause(lossStartSpread)), meanwhile: nothing, after: rejoinMost, survivors: vmCount - 1,
		samePairs: true, minOldTakeUps: 1, awaitsStore: true,
	},
	"restarts_in_place": {
		before: inOrder(restartInPlace, pause(2*learnTime)), meanwhile: nothing, survivors: vmCount,
	},
	"restarts_beside_isolated_vm": {
		before: inOrder(isolate, admitCallers, restartInPlace, pause(2*learnTime)), meanwhile: nothing, after: rejoin, survivors: vmCount, awaitsStore: true,
	},
	"restarts_slow_in_place": {
		before: inOrder(restartInPlace, pause(2*learnTime)), meanwhile: nothing, survivors: vmCount, onRequest: answerSlowly,
	},
	"restarts_twice_in_place": {
		before: inOrder(restartSome, restartNew, pause(2*learnTime)), meanwhile: nothing, survivors: vmCount,
	},
	"restarts_twice_beside_isolated_vm": {
		before: inOrder(isolate, restartSome, admitCallers, pause(time.Second), restartNew, pause(2*learnTime)), meanwhile: nothing, after: rejoin, survivors: vmCount, awaitsStore: true,
	},
	"restarts_before_loss": {
		before: restartSome, meanwhile: nothing, maxLossDelay: briefLossDelay, survivors: vmCount / 2,
	},
	"joined_vms_stay_both": {before: inOrder(replaceHalf, join, pause(time.Second)), meanwhile: nothing, survivors: joinedVMs, judgedVersions: bothVersions},
	"joined_vms_stay_left": {before: inOrder(replaceAll, join, pause(time.Second)), meanwhile: nothing, survivors: joinedVMs, judgedVersions: []string{versionNew}},
	"vms_join_after_both":  {before: replaceHalf, meanwhile: nothing, after: join, judgedVersions: bothVersions},
	"vms_join_after_left":  {before: replaceAll, meanwhile: nothing, after: join, judgedVersions: []string{versionNew}},
	"datagrams_lost_both":  {before: replaceHalf, meanwhile: nothing, lossShare: lostDatagrams, judgedVersions: bothVersions},
	"datagrams_lost_left":  {before: replaceAll, meanwhile: nothing, lossShare: lostDatagrams, judgedVersions: []string{versionNew}},
	"datagrams_lost_one":   {before: nothing, meanwhile: nothing, lossShare: lostDatagrams, judgedVersions: []string{versionOld}},
}

// goBackHalf replaces half of the endpoints of the new version by the old one.
func goBackHalf(l *lossRun) { l.replace(lossEndpoints/2, versionNew, serviceBefore, versionOld) }

// Guards against joined streams, and refusals of those that could go on, where the store or some VMs fail beside a
// loss of all VMs.
func TestWorldOfALossOfAllVMsBesideFaults(t *testing.T) { runLossCases(t, faultCases) }
