package entry

import (
	"slices"
	"strings"

	"fescuestand/internal/policy/route"
	"fescuestand/internal/status"
)

var (
	roleNames  = map[route.Role]string{route.Mixed: "mixed", route.Prefill: "prefill", route.Decode: "decode"}
	phaseNames = map[route.State]string{
		route.Open: "open", route.Draining: "draining", route.Unavailable: "away", route.Suspect: "suspect",
	}
)

// Status returns the state of this process as shown to operators.
func (u *Unit) Status() status.Report {
	v, s := u.opts.Replica.View(), u.opts.Settings
	r := status.Report{
		VM: s.VM, Zone: s.Zone, Process: processName, Incarnation: u.opts.Incarnation,
		Ready: v.Ready, CommitsReady: u.commitTable.Ready(), Leaving: u.leaving.Load(), SheetVersion: v.Version,
		Log:      status.Log{Healthy: v.Log.Healthy, LastError: v.Log.LastError, Offset: v.Offset},
		Requests: int(u.active.Load()), Endpoints: u.endpoints(),
	}
	for _, m := range v.Members {
		r.Members = append(r.Members, status.Member{VM: m.Name, Zone: m.Zone, State: string(m.State)})
	}
	return r
}

func (u *Unit) endpoints() []status.Endpoint {
	stats := map[string]route.EndpointStats{}
	for _, e := range u.fleet.Router().Snapshot(u.opts.Clock.Now()).Endpoints {
		stats[e.Name] = e
	}
	var out []status.Endpoint
	for _, e := range u.fleet.Router().Table().Endpoints() {
		stat := stats[e.Name]
		row := status.Endpoint{
			Name: e.Name, Pool: e.Pool, Zone: e.Zone, Role: roleNames[e.Role],
			Phase: phaseNames[e.State], InFlight: int(stat.InFlight),
		}
		if stat.Out {
			row.Reason = "ejected"
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b status.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return out
}
