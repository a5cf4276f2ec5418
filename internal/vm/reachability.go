package vm

import (
	"context"
	"errors"

	"fescuestand/internal/catalog"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/reachability"
)

// initReachability sets up the detection that this VM is cut off from all endpoints.
func (n *Node) initReachability() {
	dialer := exchange.NewDialer(n.o.Network)
	engine := n.adapter.Engine(dialer)
	n.reachability = reachability.New()
	n.reachability.Clock, n.reachability.Catalog = n.clock, n.catalog
	n.reachability.Test = func(ctx context.Context, e *catalog.Endpoint) error {
		if e.Stage == catalog.Whole {
			return dialer.Connect(ctx, e.Address)
		}
		_, err := engine.Report(ctx, e)
		if errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrConnectionLost) {
			return err
		}
		return nil // another error is an answer, which shows that the engine was reached
	}
	n.reachability.OnChange = func(cutOff bool) {
		n.announceCutOff()
		n.gossip.SendEarly()
		n.pushUpdates()
		if !cutOff {
			n.recordPendingCrashes()
			return
		}
		n.pool.CloseIdle() // these connections hang, and would go on hanging after the partition
	}
	n.pool.Observer = n.reachability
	n.announceCutOff()
}

// isCutOff reports whether this VM can't serve requests that other VMs may serve: it reaches no endpoint,
// or hasn't read their entries yet. A VM that can't reach the store gets its configuration from other VMs,
// but of the endpoints only what changes.
func (n *Node) isCutOff() bool { return n.reachability.CutOff() || !n.hasReadEndpoints.Load() }

// announceCutOff announces to the other VMs whether this one is cut off.
func (n *Node) announceCutOff() { n.members.SetCutOff(n.isCutOff()) }
