package commit

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	goleak.VerifyTestMain(m)
}

var faultyLog = faults{
	notSent: .05, refused: .05, answerLost: .1, requestLost: .05, delayed: .15,
	maxDelay: 8 * time.Second,
}

var faultyService = faults{
	notSent: .05, refused: .05, answerLost: .1, requestLost: .05, delayed: .1, wrongAnswer: .05, failed: .05,
	maxDelay: 8 * time.Second,
}

// runCallers runs one caller per key concurrently, each starting at another node.
func runCallers(sim *simulation, keys, tries int) {
	var wg sync.WaitGroup
	for i := range keys {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			sim.caller(fmt.Sprintf("key-%d", i), i, tries)
		})
	}
	wg.Wait()
}

func TestHealthyCommitsRunOnce(t *testing.T) {
	violations := simulate(t, 1, Options{}, faults{}, faults{}, func(sim *simulation) {
		runCallers(sim, 50, 3)
		assert.Equal(t, len(sim.svc.executions()), 50)
	})
	assert.Equal(t, len(violations), 0, violations)
}

// Guards against a commit whose caller gets no answer at the end of a shutdown as its endpoint still runs it, and one whose
// outcome is lost then.
func TestCommitGoesOnWhenItsRequestIsEndedByAShutdown(t *testing.T) {
	violations := simulate(t, 1, Options{}, faults{}, faults{}, func(sim *simulation) {
		n := sim.nodes[0]
		n.onStep = func(_ *simNode, s step, _ string) {
			if s == afterSend {
				time.Sleep(time.Second)
			}
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(time.Second/2, func() { cancel(code.New(code.Leaving, "the shutdown ends")) })
		start := time.Now()
		_, err := n.c.Do(ctx, &Request{Key: "k", Issued: time.Now(), Body: []byte("k")})
		assert.Equal(t, code.Of(err).Code, code.CommitRunning)
		assert.Equal(t, code.Of(err).Run, code.Unknown)
		assert.Equal(t, time.Since(start), time.Second/2)
		time.Sleep(2 * time.Second)
		a, err := sim.nodes[1].c.Status("k")
		assert.NilError(t, err)
		assert.Equal(t, a.Code, code.CommitReplayed)
	})
	assert.Equal(t, len(violations), 0, violations)
}

// Guards against a fault in one commit that ends the process and all its requests.
func TestFaultInACommitIsContained(t *testing.T) {
	violations := simulate(t, 1, Options{}, faults{}, faults{}, func(sim *simulation) {
		n := sim.nodes[0]
		n.onStep = func(_ *simNode, s step, _ string) {
			if s == afterSend {
				panic("fault")
			}
		}
		_, err := n.c.Do(context.Background(), &Request{Key: "k", Issued: time.Now(), Body: []byte("k")})
		assert.Equal(t, code.Of(err).Code, code.CommitUnknown)
		assert.Equal(t, code.Of(err).Run, code.Unknown)
		assert.Equal(t, n.c.Pending(), 0)
	})
	assert.Equal(t, len(violations), 0, violations)
}

// Guards against a double execution and against a wrong not-run answer, after which the caller
// would charge again. An app sends each of 200 keys to three entries at once and retries when it
// gets no answer. The log loses answers and appends records late; the service's answers are lost,
// late or wrong.
func TestSameKeyThroughThreeEntries(t *testing.T) {
	for seed := range uint64(8) {
		violations := simulate(t, seed, Options{}, faultyLog, faultyService, sendToThreeNodes)
		assert.Equal(t, len(violations), 0, "seed %d: %v", seed, violations)
	}
}

func sendToThreeNodes(sim *simulation) {
	var wg sync.WaitGroup
	for i := range 200 {
		for n := range 3 {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d", i)
				r := &Request{Key: key, Issued: time.Now(), Body: []byte(key), Resend: n > 0}
				sim.send(sim.nodes[n], r, 3*time.Second)
				time.Sleep(500 * time.Millisecond)
				again := *r
				again.Resend = true
				sim.send(sim.nodes[(n+1)%3], &again, 3*time.Second)
			})
		}
	}
	wg.Wait()
}

// An entry is killed at one step of a commit; its caller gets no answer and retries through another
// entry. Whatever the killed entry did before, the other must neither run the commit again nor
// answer that it was not run.
func TestKilledAtEachStep(t *testing.T) {
	for i, s := range steps {
		t.Run(string(s), func(t *testing.T) {
			violations := simulate(t, uint64(100+i), Options{}, faultyLog, faultyService, func(sim *simulation) {
				killAt(sim, s)
				runCallers(sim, 60, 6)
			})
			assert.Equal(t, len(violations), 0, "%v", violations)
		})
	}
}

// killAt kills the first node when it reaches step s for the 10th time.
func killAt(sim *simulation, s step) {
	var mu sync.Mutex
	left := 10
	sim.nodes[0].onStep = func(n *simNode, now step, _ string) {
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

// Guards against a commit that runs minutes after its caller gave up. An entry is frozen (SIGSTOP,
// a suspended VM) between the intent and the dispatch for longer than any caller waits. When it
// resumes, the dispatch time has passed and it must void the intent.
func TestFrozenBeforeDispatch(t *testing.T) {
	for _, s := range []step{afterAppend, beforeSend} {
		res := runFrozen(t, s, Options{})
		assert.Equal(t, len(res.dispatchedLate), 0, "%s: dispatched after the freeze: %v", s, res.dispatchedLate)
		assert.Equal(t, len(res.violations), 0, "%v", res.violations)
	}
}

// The same test with the time limit disabled.
func TestFrozenBeforeDispatchWithoutTimeLimit(t *testing.T) {
	res := runFrozen(t, beforeSend, Options{disabled: guards{timeLimit: true}})
	assert.Assert(t, len(res.dispatchedLate) > 0)
}

type freezeResult struct{ dispatchedLate, violations []string }

// runFrozen simulates a first node that freezes at step s of every commit, and returns the keys
// that this node dispatched.
func runFrozen(t *testing.T, s step, o Options) freezeResult {
	const freeze = 40 * time.Second
	var res freezeResult
	res.violations = simulate(t, 7, o, faults{}, faults{}, func(sim *simulation) {
		sim.nodes[0].onStep = func(_ *simNode, now step, _ string) {
			if now == s {
				time.Sleep(freeze)
			}
		}
		runCallers(sim, 30, 3)
		time.Sleep(2 * freeze)
		for _, e := range sim.svc.executions() {
			if strings.HasPrefix(e.attempt, sim.nodes[0].name+".") {
				res.dispatchedLate = append(res.dispatchedLate, e.key)
			}
		}
	})
	return res
}

// The log service is down for a while, around each step of a commit. Requests must be refused at
// once as not run, those whose intent is already in the log get their outcome, and nothing may run
// twice when the log is back.
func TestLogOutageAroundEachStep(t *testing.T) {
	for seed := range uint64(6) {
		f := faultyLog
		f.downFrom = time.Duration(50+40*seed) * time.Millisecond
		f.downUntil = f.downFrom + 4*time.Second
		violations := simulate(t, 200+seed, Options{}, f, faultyService, func(sim *simulation) { runCallers(sim, 80, 8) })
		assert.Equal(t, len(violations), 0, "seed %d: %v", seed, violations)
	}
}

// With a guard disabled, the same simulations must find a violation, which shows that the guard is
// needed and that the simulations would notice its loss.
func TestGuardsAreNeeded(t *testing.T) {
	outage := faultyLog
	outage.downFrom, outage.downUntil = 200*time.Millisecond, 5*time.Second
	tests := []struct {
		name     string
		disabled guards
		log      faults
		run      func(sim *simulation)
	}{
		{"read back", guards{readBack: true}, faultyLog, sendToThreeNodes},
		{"a cut dispatch is unknown", guards{cutIsUnknown: true}, faultyLog, func(sim *simulation) {
			runCallers(sim, 80, 6)
		}},
		{"a refused resend is unknown", guards{resendIsUnknown: true}, outage, func(sim *simulation) {
			sim.nodes[1].lag.Store(int64(time.Second))
			sim.nodes[2].lag.Store(int64(time.Second))
			runCallers(sim, 80, 6)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(4) {
				found += len(simulate(t, seed, Options{disabled: tt.disabled}, tt.log, faultyService, tt.run))
			}
			assert.Assert(t, found > 0, "no violation found with the guard disabled")
		})
	}
}
