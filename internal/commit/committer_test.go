package commit

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	goleak.VerifyTestMain(m)
}

var badLog = faults{notSent: .05, refused: .05, lostAfter: .1, lostBefore: .05, late: .15, maxLate: 8 * time.Second}

var badService = faults{
	notSent: .05, refused: .05, lostAfter: .1, lostBefore: .05, late: .1, crossed: .05, failed: .05,
	maxLate: 8 * time.Second,
}

// everyCaller runs keys callers at once, each starting at another node.
func everyCaller(w *world, keys, tries int) {
	var wg sync.WaitGroup
	for i := range keys {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			w.caller(fmt.Sprintf("key-%d", i), i, tries)
		})
	}
	wg.Wait()
}

func TestHealthyCommitsRunOnce(t *testing.T) {
	bad := simulate(t, 1, Options{}, faults{}, faults{}, func(w *world) {
		everyCaller(w, 50, 3)
		assert.Equal(t, len(w.svc.executions()), 50)
	})
	assert.Equal(t, len(bad), 0, bad)
}

// A customer tops up 200 lanterns; the app sends each key to three entries at
// the same moment and again when it hears nothing. The log loses answers, takes
// records late, and the service's answers are lost, late or crossed. A doubled
// execution would charge twice; a wrong not-run would make the app charge again.
func TestSameKeyThroughThreeEntriesAtOnce(t *testing.T) {
	for seed := range uint64(8) {
		bad := simulate(t, seed, Options{}, badLog, badService, threeAtOnce)
		assert.Equal(t, len(bad), 0, "seed %d: %v", seed, bad)
	}
}

func threeAtOnce(w *world) {
	var wg sync.WaitGroup
	for i := range 200 {
		for n := range 3 {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d", i)
				r := &Request{Key: key, Issued: time.Now(), Body: []byte(key), Resend: n > 0}
				w.send(w.nodes[n], r, 3*time.Second)
				time.Sleep(500 * time.Millisecond)
				again := *r
				again.Resend = true
				w.send(w.nodes[(n+1)%3], &again, 3*time.Second)
			})
		}
	}
	wg.Wait()
}

// An entry is killed at a step of a commit: its caller hears nothing and sends
// the key to another entry. Whatever the first did before it died, the second
// must neither run it again nor say that it did not run.
func TestKilledAtEachStep(t *testing.T) {
	for i, s := range steps {
		t.Run(string(s), func(t *testing.T) {
			bad := simulate(t, uint64(100+i), Options{}, badLog, badService, func(w *world) {
				killAt(w, s)
				everyCaller(w, 60, 6)
			})
			assert.Equal(t, len(bad), 0, "%v", bad)
		})
	}
}

// killAt lets the first node die when it comes to step s for the 10th time.
func killAt(w *world, s step) {
	var mu sync.Mutex
	left := 10
	w.nodes[0].at = func(n *simNode, now step, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if now != s {
			return
		}
		if left--; left == 0 {
			n.killed.Store(true)
		}
	}
}

// An entry is stopped (SIGSTOP, a suspended VM) between the intent and the
// dispatch, for longer than anybody waits, and then goes on. Its caller has
// long been told unknown by others; a top-up that runs minutes later would
// surprise everybody. The woken entry finds its time over and voids.
func TestFrozenBeforeDispatch(t *testing.T) {
	for _, s := range []step{afterAppend, beforeSend} {
		w := frozen(t, s, Options{})
		assert.Equal(t, len(w.late), 0, "%s: dispatched after the freeze: %v", s, w.late)
		assert.Equal(t, len(w.bad), 0, "%v", w.bad)
	}
}

func TestFrozenBeforeDispatchWithoutTimeLimit(t *testing.T) {
	w := frozen(t, beforeSend, Options{off: guardsOff{timeLimit: true}})
	assert.Assert(t, len(w.late) > 0)
}

type frozenResult struct{ late, bad []string }

func frozen(t *testing.T, s step, o Options) frozenResult {
	const freeze = 40 * time.Second
	var res frozenResult
	res.bad = simulate(t, 7, o, faults{}, faults{}, func(w *world) {
		w.nodes[0].at = func(_ *simNode, now step, _ string) {
			if now == s {
				time.Sleep(freeze)
			}
		}
		everyCaller(w, 30, 3)
		time.Sleep(2 * freeze)
		for _, e := range w.svc.executions() {
			if strings.HasPrefix(e.attempt, w.nodes[0].name+".") {
				res.late = append(res.late, e.key)
			}
		}
	})
	return res
}

// The log service is down for a while, around every step of a commit. Callers
// are refused at once as not run, those whose intent was already in the log get
// their outcome, and nothing runs twice when the log is back.
func TestLogOutageAroundEachStep(t *testing.T) {
	for seed := range uint64(6) {
		f := badLog
		f.downFrom = time.Duration(50+40*seed) * time.Millisecond
		f.downTill = f.downFrom + 4*time.Second
		bad := simulate(t, 200+seed, Options{}, f, badService, func(w *world) { everyCaller(w, 80, 8) })
		assert.Equal(t, len(bad), 0, "seed %d: %v", seed, bad)
	}
}

// Each guard is needed: without it the same simulations show the failure.
func TestGuardsAreNeeded(t *testing.T) {
	outage := badLog
	outage.downFrom, outage.downTill = 200*time.Millisecond, 5*time.Second
	twins := []struct {
		name string
		off  guardsOff
		log  faults
		play func(w *world)
	}{
		{"read back", guardsOff{readBack: true}, badLog, threeAtOnce},
		{"cut is not resent", guardsOff{retryCut: true}, badLog, func(w *world) { everyCaller(w, 80, 6) }},
		{"a resend is not told not-run", guardsOff{resend: true}, outage, func(w *world) {
			w.nodes[1].lag.Store(int64(time.Second))
			w.nodes[2].lag.Store(int64(time.Second))
			everyCaller(w, 80, 6)
		}},
	}
	for _, twin := range twins {
		t.Run(twin.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(4) {
				found += len(simulate(t, seed, Options{off: twin.off}, twin.log, badService, twin.play))
			}
			assert.Assert(t, found > 0, "the simulation does not see the guard missing")
		})
	}
}
