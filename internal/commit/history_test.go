package commit

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"fescuestand/internal/code"
)

// event is the input of one operation in the history: a caller's request or an execution.
type event struct {
	kind kind
	key  string
}

type kind int

const (
	sent kind = iota
	executed
)

// requestResult is the output of one operation in the history: the answer to a request, or the
// value of an execution.
type requestResult struct {
	run   code.Run
	code  code.Code
	value string
}

// commitModel is the sequential model of a key: not executed, or executed once with one value. A
// request answered ran must carry that value; for one answered not-run there must be a moment
// during the request at which the key was not executed.
var commitModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range h {
			k := op.Input.(event).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, out := state.(string), output.(requestResult)
		if input.(event).kind == executed {
			return value == "", out.value
		}
		switch out.run {
		case code.Ran:
			return value != "" && (out.value == "" || out.value == value), value
		case code.NotRun:
			return value == "", value
		}
		return true, value
	},
}

// simulation is one simulated run with its history.
type simulation struct {
	log          *simLog
	svc          *simService
	nodes        []*simNode
	logicalClock atomic.Int64

	mu             sync.Mutex
	ops            []porcupine.Operation
	answeredNotRun map[int]bool // requests answered not-run, by number
	requests       int
	counts         map[string]int
}

func newSimulation(seed uint64, nodes int, o Options, logFaults, svcFaults faults) *simulation {
	sim := &simulation{answeredNotRun: map[int]bool{}, counts: map[string]int{}}
	sim.log = newSimLog(seed, logFaults)
	sim.svc = &simService{faultSource: faultSource{seed}, faults: svcFaults, logicalClock: &sim.logicalClock}
	for i := range nodes {
		sim.nodes = append(sim.nodes, newSimNode(strings.Repeat("n", i+1), sim.log, sim.svc, o))
	}
	return sim
}

// send sends one request to node n and adds it to the history.
func (sim *simulation) send(n *simNode, r *Request, deadline time.Duration) requestResult {
	sim.mu.Lock()
	sim.requests++
	id := sim.requests
	sim.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), requestKey{}, id), deadline)
	defer cancel()
	call := sim.logicalClock.Add(1)
	ans, err := n.send(ctx, r)
	out := requestResult{run: code.Ran, code: ans.Code, value: string(ans.Body)}
	if err != nil {
		e := code.Of(err)
		out = requestResult{run: e.Run, code: e.Code}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.ops = append(sim.ops, porcupine.Operation{
		ClientId: id, Input: event{sent, r.Key}, Call: call, Output: out, Return: sim.logicalClock.Add(1),
	})
	sim.answeredNotRun[id] = out.run == code.NotRun
	sim.counts[fmt.Sprintf("%s/%s", out.code, out.run)]++
	return out
}

// caller sends a key to one node after the other until the answer is ran.
func (sim *simulation) caller(key string, first, tries int) {
	r := &Request{Key: key, Issued: time.Now(), Service: "lantern", Operation: "topup", Body: []byte(key)}
	for i := range tries {
		again := *r
		again.Resend = i > 0
		out := sim.send(sim.nodes[(first+i)%len(sim.nodes)], &again, 3*time.Second)
		if out.run == code.Ran {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// finish waits for delayed effects, stops the nodes and returns the violations in the history.
func (sim *simulation) finish(settle time.Duration) []string {
	time.Sleep(settle)
	for _, n := range sim.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		n.c.Close(ctx)
		cancel()
		n.stop()
	}
	time.Sleep(2 * time.Second) // until the goroutines that replicate the log have ended
	synctest.Wait()
	return sim.findViolations()
}

// findViolations returns the keys that were executed twice, executions that were answered not-run,
// and the result of checking the history against commitModel.
func (sim *simulation) findViolations() []string {
	var violations []string
	times := map[string]int{}
	for _, e := range sim.svc.executions() {
		times[e.key]++
		if times[e.key] == 2 {
			violations = append(violations, "executed twice: "+e.key)
		}
		if sim.answeredNotRun[e.request] {
			violations = append(violations, fmt.Sprintf("executed though answered not-run: %s", e.attempt))
		}
		sim.ops = append(sim.ops, porcupine.Operation{
			ClientId: 1 << 20, Input: event{executed, e.key},
			Call: e.executedAt, Output: requestResult{value: e.value}, Return: e.executedAt,
		})
	}
	if r := porcupine.CheckOperationsTimeout(commitModel, sim.ops, 20*time.Second); r != porcupine.Ok {
		violations = append(violations, "history: "+string(r))
	}
	return violations
}

// simulate executes run under the fake time of testing/synctest and returns the violations.
func simulate(t *testing.T, seed uint64, o Options, logFaults, svcFaults faults, run func(sim *simulation)) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(seed, 3, o, logFaults, svcFaults)
		run(sim)
		violations = sim.finish(time.Minute)
		t.Logf("seed %d: %d executions, %d appends, %v", seed, len(sim.svc.executions()), sim.log.appends, sim.counts)
	})
	return violations
}
