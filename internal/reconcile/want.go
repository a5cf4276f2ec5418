// Package reconcile computes the next step that brings one engine to its desired state: drain it,
// send it an order, or wait.
//
// It compares the desired state, which comes from the sheet and the role planner, with the state
// that the engine reports. It stores only what the engine can't report: the pending order and the
// phase of the planned change.
//
// Reconciliation is level-triggered: sending an order proves nothing, only the engine's state read
// after the order counts. So a crash of the engine during a change and a crash of the process that
// ordered it are handled in the same way, and the change takes effect once.
//
// A Reconciler is not safe for concurrent use.
package reconcile

import (
	"slices"

	"fescuestand/internal/driver"
	"fescuestand/internal/sheet"
)

// DesiredState is the state of one engine that the sheet and the role planner ask for.
type DesiredState struct {
	Role      driver.Role
	Loaded    []driver.Loaded // the model first, then its adapters
	Withdrawn bool
}

// DesiredStateFor returns the desired state of an engine of pool p with the given role.
func DesiredStateFor(p *sheet.Pool, e *sheet.Engine, role driver.Role) DesiredState {
	desired := DesiredState{Role: role, Withdrawn: e.Withdrawn}
	desired.Loaded = append(desired.Loaded, driver.Loaded{Model: p.Model, Version: p.Version})
	for _, a := range p.Adapters {
		desired.Loaded = append(desired.Loaded, driver.Loaded{Model: p.Model, Version: a.Version, Adapter: a.Name})
	}
	return desired
}

// Diff returns the orders, without IDs and tokens, that bring an engine from its current state to
// the desired one, in the order in which to send them.
//
// New models and adapters are loaded before old ones are unloaded, so that a failure of the weight
// store leaves the engine serving. unloadFirst reverses that for an engine without enough memory
// for both.
func Diff(desired *DesiredState, state *driver.EngineState, unloadFirst bool) []driver.Order {
	var toLoad, toUnload, out []driver.Order
	for _, l := range desired.Loaded {
		if !slices.Contains(state.Loaded, l) {
			toLoad = append(toLoad, driver.Order{Kind: driver.OrderLoad, Load: l})
		}
	}
	for _, l := range state.Loaded {
		if !slices.Contains(desired.Loaded, l) {
			toUnload = append(toUnload, driver.Order{Kind: driver.OrderUnload, Load: l})
		}
	}
	if unloadFirst {
		out = append(toUnload, toLoad...)
	} else {
		out = append(toLoad, toUnload...)
	}
	if desired.Role != "" && desired.Role != state.Role {
		out = append(out, driver.Order{Kind: driver.OrderRole, Role: desired.Role})
	}
	return out
}

// inEffect reports whether an engine's state shows the effect of an order.
func inEffect(o *driver.Order, state *driver.EngineState) bool {
	switch o.Kind {
	case driver.OrderRole:
		return state.Role == o.Role
	case driver.OrderLoad:
		return slices.Contains(state.Loaded, o.Load)
	default:
		return !slices.Contains(state.Loaded, o.Load)
	}
}

// MaxUnavailable returns how many of n engines planned changes may make unavailable at the same
// time. It is at least one, as otherwise a small pool could never change.
func MaxUnavailable(n int, share float64) int { return max(1, int(share*float64(n))) }
