// Package reconcile decides what one engine needs next: work taken off it, an
// order, or patience. It compares what the sheet and the role planner want
// with what the engine says of itself, and remembers only what it can't read
// there: the order on its way and the phase of the planned change.
//
// It is level-triggered. Nothing follows from an order having been sent; the
// engine's own state, read after the order, is what counts. So a crash of the
// engine in the middle of a change and a crash of the process that ordered it
// are found in the same way, and the change is finished once.
package reconcile

import (
	"slices"

	"fescuestand/internal/driver"
	"fescuestand/internal/sheet"
)

// Want is what the sheet and the role planner ask of one engine.
type Want struct {
	Role      driver.Role
	Load      []driver.Loaded // the model first, then its adapters
	Withdrawn bool
}

// WantOf returns what a pool asks of its engine in the given role.
func WantOf(p *sheet.Pool, e *sheet.Engine, role driver.Role) Want {
	w := Want{Role: role, Withdrawn: e.Withdrawn}
	w.Load = append(w.Load, driver.Loaded{Model: p.Model, Version: p.Version})
	for _, a := range p.Adapters {
		w.Load = append(w.Load, driver.Loaded{Model: p.Model, Version: a.Version, Adapter: a.Name})
	}
	return w
}

// Diff returns the orders, without ids and tokens, that bring an engine from
// its state to what is wanted, in the order to send them.
//
// What is new is loaded before the old is unloaded, so that a failure of the
// weight store leaves the engine serving. unloadFirst turns that round for an
// engine that has no memory for both.
func Diff(w *Want, s *driver.EngineState, unloadFirst bool) []driver.Order {
	var load, unload, out []driver.Order
	for _, l := range w.Load {
		if !slices.Contains(s.Loaded, l) {
			load = append(load, driver.Order{Kind: driver.OrderLoad, Load: l})
		}
	}
	for _, l := range s.Loaded {
		if !slices.Contains(w.Load, l) {
			unload = append(unload, driver.Order{Kind: driver.OrderUnload, Load: l})
		}
	}
	if unloadFirst {
		out = append(unload, load...)
	} else {
		out = append(load, unload...)
	}
	if w.Role != "" && w.Role != s.Role {
		out = append(out, driver.Order{Kind: driver.OrderRole, Role: w.Role})
	}
	return out
}

// inEffect reports whether an engine's state shows an order's effect.
func inEffect(o *driver.Order, s *driver.EngineState) bool {
	switch o.Kind {
	case driver.OrderRole:
		return s.Role == o.Role
	case driver.OrderLoad:
		return slices.Contains(s.Loaded, o.Load)
	default:
		return !slices.Contains(s.Loaded, o.Load)
	}
}

// AwayLimit returns how many of n engines planned changes may take away at
// once. At least one may always go, or a small pool could never change.
func AwayLimit(n int, share float64) int { return max(1, int(share*float64(n))) }
