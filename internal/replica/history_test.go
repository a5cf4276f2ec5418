package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/logclient"
	"fescuestand/internal/logclient/logtest"
)

// historyInput is a publish on a base, or a read of the accepted version.
type historyInput struct {
	publish bool
	base    uint64
}

// historyOutput is the result that the operator or reader got.
type historyOutput struct {
	version  uint64 // accepted or read
	accepted bool
	notRun   bool   // reported that it can't take effect
	unknown  string // publish id, if the verdict was reported as pending
}

// acceptedModel models the accepted version as one register: a publish takes effect if and only if
// its base is the current version, and versions only increase.
func acceptedModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			cur, i, o := state.(uint64), in.(historyInput), out.(historyOutput)
			switch {
			case !i.publish:
				return o.version == cur, cur
			case o.notRun:
				return true, cur
			case o.accepted:
				return i.base == cur && o.version > cur, o.version
			default:
				return i.base != cur, cur
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) record(client int, in historyInput, do func() historyOutput) historyOutput {
	call := time.Now().UnixNano()
	out := do()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: time.Now().UnixNano(),
	})
	return out
}

// Guards against lost updates and stale reads. Several operators publish and read concurrently
// while the log loses answers and reads lag. Their results must fit one order of events in which
// every accepted sheet replaced exactly its base and no reader got an older version after a newer
// one.
func TestPublishesAndReadsAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Assert(t, porcupine.CheckOperations(acceptedModel(), runHistory(t, seed, false)))
			})
		})
	}
}

// The same check must fail with readers that use any answer of the log as the newest state.
func TestStaleReadersAreNotLinearizable(t *testing.T) {
	failed := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			if !porcupine.CheckOperations(acceptedModel(), runHistory(t, seed, true)) {
				failed++
			}
		})
	}
	assert.Assert(t, failed > 0)
}

// runHistory runs operators against one log. Stale readers keep their first result and so return an
// old state.
func runHistory(t *testing.T, seed uint64, stale bool) []porcupine.Operation {
	const operators, rounds = 4, 8
	l := logtest.New()
	l.SetLatency(5 * time.Millisecond)
	rnd := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	l.SetOutcome(func(string, []byte) logtest.Outcome {
		mu.Lock()
		defer mu.Unlock()
		return []logtest.Outcome{logtest.Applied, logtest.Applied, logtest.AnswerLost, logtest.Dropped, logtest.Refused}[rnd.IntN(5)]
	})
	var rec recorder
	var wg sync.WaitGroup
	for op := range operators {
		rnd := rand.New(rand.NewPCG(seed, uint64(op)))
		wg.Go(func() {
			cached, base := false, uint64(0)
			for round := range rounds {
				time.Sleep(time.Duration(rnd.Int64N(int64(200 * time.Millisecond))))
				if !cached || !stale {
					base = readVersion(t, l, op)
					cached = true
				}
				read := base
				rec.record(op, historyInput{}, func() historyOutput {
					if !stale {
						read = readVersion(t, l, op)
					}
					return historyOutput{version: read}
				})
				rec.record(op, historyInput{publish: true, base: base}, func() historyOutput {
					return publishOnce(t, l, base, fmt.Sprintf("%d-%d", op, round))
				})
			}
		})
	}
	wg.Wait()
	resolveUnknown(t, l, rec.ops)
	return rec.ops
}

// resolveUnknown replaces each unknown verdict by the one that the log has in the end. Such a
// publish may have taken effect at any time since it began.
func resolveUnknown(t *testing.T, l *logtest.Log, ops []porcupine.Operation) {
	l.SetOutcome(nil)
	c := logclient.New(logclient.Options{Log: l, Writer: "auditor", VM: "room"})
	defer func() { assert.NilError(t, c.Close()) }()
	_, verdicts, err := ReadAccepted(t.Context(), c, "config")
	assert.NilError(t, err)
	for i := range ops {
		o := ops[i].Output.(historyOutput)
		if o.unknown == "" {
			continue
		}
		resolved := historyOutput{notRun: true}
		for _, v := range verdicts {
			if v.PublishId == o.unknown {
				resolved = historyOutput{version: v.Offset, accepted: v.Accepted}
			}
		}
		ops[i].Output, ops[i].Return = resolved, time.Now().UnixNano()
	}
}

func readVersion(t *testing.T, l *logtest.Log, op int) uint64 {
	c := logclient.New(logclient.Options{Log: l, Writer: fmt.Sprint("reader", op), VM: "room"})
	defer func() { assert.NilError(t, c.Close()) }()
	cur, _, err := ReadAccepted(t.Context(), c, "config")
	assert.NilError(t, err)
	return cur.Version
}

func publishOnce(t *testing.T, l *logtest.Log, base uint64, id string) historyOutput {
	c := logclient.New(logclient.Options{Log: l, Writer: "ctl-" + id, VM: "room"})
	defer func() { assert.NilError(t, c.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	v, err := Publish(ctx, c, "config", id, publishEntry(base, id))
	if err != nil {
		if code.Of(err).Run == code.Unknown {
			return historyOutput{unknown: id}
		}
		assert.Check(t, code.Of(err).Run == code.NotRun, "%v", err)
		return historyOutput{notRun: true}
	}
	return historyOutput{version: v.Offset, accepted: v.Accepted}
}
