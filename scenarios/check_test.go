package scenarios

import (
	"fmt"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/code"
	"fescuestand/internal/standin/engine"
)

// check checks the histories that the stand-ins recorded:
//
//	check orders [ENGINE...]   no two orders were carried out at the same time, none took
//	                           effect after one with a higher token, none cut a stream off
//	check commits              each key was executed at most once, and every answer to
//	                           "call" agrees with the number of executions
//	check running N            at least N engines are running
//	check history              logs the orders, to diagnose a failed scenario
func check(ts *testscript.TestScript, f *fleet, args []string) error {
	switch args[0] {
	case "orders":
		return f.checkOrders(args[1:])
	case "commits":
		return f.checkCommits()
	case "running":
		return f.checkRunning(args[1])
	case "history":
		for _, name := range f.engines {
			orders, err := f.orders(name)
			if err != nil {
				return err
			}
			for i := range orders {
				ts.Logf("%s %+v", name, orders[i])
			}
		}
		return nil
	default:
		return fmt.Errorf("no check %q", args[0])
	}
}

func (f *fleet) checkOrders(names []string) error {
	if len(names) == 0 {
		names = f.engines
	}
	for _, name := range names {
		orders, err := f.orders(name)
		if err != nil {
			return err
		}
		if err := checkHistory(orders); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func checkHistory(orders []engine.HistoryEntry) error {
	highest := uint64(0)
	for i := range orders {
		o := &orders[i]
		if o.Effect == engine.EffectStale {
			continue // rejected by the engine, without effect
		}
		if o.Overlap || o.Effect == engine.EffectConflict {
			return fmt.Errorf("order %s (token %d) began while another order was carried out", o.ID, o.Fence)
		}
		if o.Fence < highest {
			return fmt.Errorf("order %s with token %d took effect after token %d", o.ID, o.Fence, highest)
		}
		if o.StreamsCut > 0 {
			return fmt.Errorf("order %s cut off %d requests", o.ID, o.StreamsCut)
		}
		highest = o.Fence
	}
	return nil
}

var keyReused = strconv.Itoa(int(code.KeyReused))

// checkCommits compares every answer with the executions on the endpoints. These are read after the
// answers, so the check also finds a "not-run" that a late execution contradicts, if the scenario waits
// for that execution.
func (f *fleet) checkCommits() error {
	counts, err := f.executions()
	if err != nil {
		return err
	}
	for key, n := range counts {
		if n > 1 {
			return fmt.Errorf("key %s was executed %d times", key, n)
		}
	}
	for _, a := range f.answers {
		if a.code == keyReused {
			continue // the key ran with its first body, and this request had another one
		}
		switch n := counts[a.key]; {
		case a.run == "ran" && n != 1:
			return fmt.Errorf("key %s was answered as ran (code %s) and executed %d times", a.key, a.code, n)
		case a.run == "not-run" && n > 0 && !f.explainedByOtherAttempt(a):
			return fmt.Errorf("key %s was answered as not run (code %s) and executed", a.key, a.code)
		}
	}
	return nil
}

// explainedByOtherAttempt reports whether another attempt with the same key may have caused the
// execution although a was answered "not-run". Only an attempt that ended after a began can: the outcome
// of one that ended earlier is recorded, so the answer to a must agree with it.
func (f *fleet) explainedByOtherAttempt(a answer) bool {
	for _, b := range f.answers {
		if b.key == a.key && b.end > a.begin && b.run != "not-run" {
			return true
		}
	}
	return false
}

func (f *fleet) checkRunning(minText string) error {
	n, err := strconv.Atoi(minText)
	if err != nil {
		return err
	}
	running := 0
	for _, name := range f.engines {
		if f.processes[name].running() {
			running++
		}
	}
	if running < n {
		return fmt.Errorf("%d of %d engines are running, want at least %d", running, len(f.engines), n)
	}
	return nil
}
