package scenarios

import (
	"fmt"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/code"
	"fescuestand/internal/standin/engine"
)

// check judges the histories that the stand-ins kept:
//
//	check orders [ENGINE...]   no two orders in effect at once, no token below
//	                           an earlier one in effect, no stream cut
//	check commits              per key at most one execution, and every answer
//	                           that "call" got agrees with the count
//	check running N      at least N engines were not lost
//	check history              lists the orders, for a failed scenario's reader
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
			continue // refused: it changed nothing
		}
		if o.Overlap || o.Effect == engine.EffectConflict {
			return fmt.Errorf("order %s (token %d) began while another was carried out", o.ID, o.Fence)
		}
		if o.Fence < highest {
			return fmt.Errorf("order %s with token %d took effect after token %d", o.ID, o.Fence, highest)
		}
		if o.StreamsCut > 0 {
			return fmt.Errorf("order %s cut %d requests off", o.ID, o.StreamsCut)
		}
		highest = o.Fence
	}
	return nil
}

var keyReused = strconv.Itoa(int(code.KeyReused))

// checkCommits compares every answer with what the endpoints executed. The
// executions are read after the answers, so a "not-run" that is followed by a
// late run shows too, if the scenario lets the late run happen first.
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
			continue // the key ran with its first body, this one did not
		}
		switch n := counts[a.key]; {
		case a.run == "ran" && n != 1:
			return fmt.Errorf("key %s was answered as ran (code %s) and executed %d times", a.key, a.code, n)
		case a.run == "not-run" && n > 0 && !f.otherRan(a):
			return fmt.Errorf("key %s was answered as not run (code %s) and executed", a.key, a.code)
		}
	}
	return nil
}

// otherRan tells whether another sending of the same key may explain an
// execution beside a "not-run" answer: one that was not over when this one
// began. An earlier one that was over does not: this one had to know of it.
func (f *fleet) otherRan(a answer) bool {
	for _, b := range f.answers {
		if b.key == a.key && b.end > a.begin && b.run != "not-run" {
			return true
		}
	}
	return false
}

func (f *fleet) checkRunning(least string) error {
	n, err := strconv.Atoi(least)
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
		return fmt.Errorf("%d of %d engines run, at least %d should", running, len(f.engines), n)
	}
	return nil
}
