package entry

import (
	"encoding/json"

	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/policy/route"
)

// Metrics is what expvar shows of one entry.
type Metrics struct {
	Requests  int                        `json:"requests"` // in hand
	Results   map[string]uint64          `json:"results"`  // by code/run, since the start
	Pools     map[string]dispatch.Totals `json:"pools"`
	Queued    map[string]dispatch.Queued `json:"queued"`
	Streams   dispatch.StreamCounts      `json:"streams"`
	Commits   CommitMetrics              `json:"commits"`
	Endpoints []route.EndpointStats      `json:"endpoints"`
}

// CommitMetrics is the state of the commits.
type CommitMetrics struct {
	Pending int    `json:"pending"`
	Keys    int    `json:"keys"` // remembered
	Offset  uint64 `json:"offset"`
	Ready   bool   `json:"ready"`
}

// Metrics returns the present figures.
func (u *Unit) Metrics() any {
	offset, _ := u.table.Applied()
	return Metrics{
		Requests: int(u.active.Load()), Results: u.account.Results(),
		Pools: u.dispatch.Counts().Snapshot(), Queued: u.dispatch.Queues(), Streams: u.dispatch.Streams(),
		Commits: CommitMetrics{
			Pending: u.commits.Pending(), Keys: u.table.Len(), Offset: offset, Ready: u.table.Ready(),
		},
		Endpoints: u.fleet.Router().Snapshot(u.o.Clock.Now()).Endpoints,
	}
}

// Burn returns this entry's service-level account as JSON.
func (u *Unit) Burn() ([]byte, error) {
	r, err := u.account.burn.Report(u.o.Clock.Now(), u.o.Settings.VM, u.o.Settings.Zone)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}
