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

// event is one operation of the history: a caller's sending or an execution.
type event struct {
	kind kind
	key  string
}

type kind int

const (
	sent kind = iota
	executed
)

// said is what a sending was answered, or the value of an execution.
type said struct {
	run   code.Run
	code  code.Code
	value string
}

// commitModel is a key's life: not executed, or executed once with one value.
// A sending answered ran must carry that value; one answered not-run must have
// a moment within its own time at which the key was not executed.
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
		value, out := state.(string), output.(said)
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

// world is one simulated run with its history.
type world struct {
	log   *simLog
	svc   *simService
	nodes []*simNode
	tick  atomic.Int64

	mu       sync.Mutex
	ops      []porcupine.Operation
	notRun   map[int]bool // sendings answered not-run
	sendings int
	counts   map[string]int
}

func newWorld(seed uint64, nodes int, o Options, logFaults, svcFaults faults) *world {
	w := &world{notRun: map[int]bool{}, counts: map[string]int{}}
	w.log = newSimLog(seed, logFaults)
	w.svc = &simService{chance: chance{seed}, faults: svcFaults, tick: &w.tick}
	for i := range nodes {
		w.nodes = append(w.nodes, newSimNode(strings.Repeat("n", i+1), w.log, w.svc, o))
	}
	return w
}

// send is one sending of a caller with its place in the history.
func (w *world) send(n *simNode, r *Request, deadline time.Duration) said {
	w.mu.Lock()
	w.sendings++
	id := w.sendings
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), sendingKey{}, id), deadline)
	defer cancel()
	call := w.tick.Add(1)
	ans, err := n.send(ctx, r)
	out := said{run: code.Ran, code: ans.Code, value: string(ans.Body)}
	if err != nil {
		e := code.Of(err)
		out = said{run: e.Run, code: e.Code}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: id, Input: event{sent, r.Key}, Call: call, Output: out, Return: w.tick.Add(1),
	})
	w.notRun[id] = out.run == code.NotRun
	w.counts[fmt.Sprintf("%s/%s", out.code, out.run)]++
	return out
}

// caller sends a key until its answer is final, to one node after the other.
func (w *world) caller(key string, first, tries int) {
	r := &Request{Key: key, Issued: time.Now(), Service: "lantern", Operation: "topup", Body: []byte(key)}
	for i := range tries {
		again := *r
		again.Resend = i > 0
		out := w.send(w.nodes[(first+i)%len(w.nodes)], &again, 3*time.Second)
		if out.run == code.Ran {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// finish lets late things happen, ends the nodes and judges the history.
func (w *world) finish(settle time.Duration) []string {
	time.Sleep(settle)
	for _, n := range w.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		n.c.Close(ctx)
		cancel()
		n.stop()
	}
	time.Sleep(2 * time.Second) // followers end
	synctest.Wait()
	return w.judge()
}

func (w *world) judge() []string {
	var bad []string
	times := map[string]int{}
	for _, e := range w.svc.executions() {
		times[e.key]++
		if times[e.key] == 2 {
			bad = append(bad, "executed twice: "+e.key)
		}
		if w.notRun[e.sending] {
			bad = append(bad, fmt.Sprintf("executed though answered not-run: %s", e.attempt))
		}
		w.ops = append(w.ops, porcupine.Operation{
			ClientId: 1 << 20, Input: event{executed, e.key}, Call: e.at, Output: said{value: e.value}, Return: e.at,
		})
	}
	if r := porcupine.CheckOperationsTimeout(commitModel, w.ops, 20*time.Second); r != porcupine.Ok {
		bad = append(bad, "history: "+string(r))
	}
	return bad
}

// simulate runs play in a bubble of fake time and returns what is wrong.
func simulate(t *testing.T, seed uint64, o Options, logFaults, svcFaults faults, play func(w *world)) []string {
	t.Helper()
	var bad []string
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, 3, o, logFaults, svcFaults)
		play(w)
		bad = w.finish(time.Minute)
		t.Logf("seed %d: %d executions, %d appends, %v", seed, len(w.svc.executions()), w.log.appends, w.counts)
	})
	return bad
}
