package entry

import (
	"encoding/json"

	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/httpserver"
	"fescuestand/internal/peer"
	"fescuestand/internal/policy/route"
)

// Metrics are the figures of one entry that are published by expvar.
type Metrics struct {
	Requests  int                          `json:"requests"` // in progress
	Results   map[string]uint64            `json:"results"`  // counts by code/run since the start
	Pools     map[string]dispatch.Totals   `json:"pools"`
	Queued    map[string]dispatch.Queued   `json:"queued"`
	Streams   dispatch.StreamCounts        `json:"streams"`
	Commits   CommitMetrics                `json:"commits"`
	Endpoints []route.EndpointStats        `json:"endpoints"`
	Servers   map[string]httpserver.Counts `json:"servers"` // events of connections and handlers
	Peers     peer.Counts                  `json:"peers"`   // events of connections of peers
}

// CommitMetrics is the state of the commits and of their table.
type CommitMetrics struct {
	Pending int    `json:"pending"`
	Keys    int    `json:"keys"` // stored in the table
	Offset  uint64 `json:"offset"`
	Ready   bool   `json:"ready"`
}

// Metrics returns the current figures.
func (u *Unit) Metrics() any {
	offset, _ := u.commitTable.Applied()
	return Metrics{
		Requests: int(u.active.Load()), Results: u.instrumented.Results(),
		Pools: u.dispatch.Counts().Snapshot(), Queued: u.dispatch.Queues(), Streams: u.dispatch.Streams(),
		Commits: CommitMetrics{
			Pending: u.commits.Pending(), Keys: u.commitTable.Len(), Offset: offset, Ready: u.commitTable.Ready(),
		},
		Servers:   map[string]httpserver.Counts{"callers": u.server.Counts(), "forwarded": u.forwarded.Counts()},
		Peers:     u.peers.Counts(),
		Endpoints: u.fleet.Router().Snapshot(u.opts.Clock.Now()).Endpoints,
	}
}

// Burn returns the burn-rate report of this entry as JSON.
func (u *Unit) Burn() ([]byte, error) {
	r, err := u.instrumented.burn.Report(u.opts.Clock.Now(), u.opts.Settings.VM, u.opts.Settings.Zone)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}
