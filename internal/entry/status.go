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

// Status returns the state of this process for operators.
func (u *Unit) Status() status.Report {
	v, s := u.o.Replica.View(), u.o.Settings
	r := status.Report{
		VM: s.VM, Zone: s.Zone, Process: processName, Incarnation: u.o.Incarnation,
		Ready: v.Ready, Commits: u.table.Ready(), Leaving: u.leaving.Load(), SheetVersion: v.Version,
		Log:      status.Log{Healthy: v.Log.Healthy, LastError: v.Log.LastError, Offset: v.Offset},
		Requests: int(u.active.Load()), Endpoints: u.endpoints(),
	}
	for _, m := range v.Members {
		r.Members = append(r.Members, status.Member{VM: m.Name, Zone: m.Zone, State: string(m.State)})
	}
	return r
}

func (u *Unit) endpoints() []status.Endpoint {
	figures := map[string]route.EndpointStats{}
	for _, e := range u.fleet.Router().Snapshot(u.o.Clock.Now()).Endpoints {
		figures[e.Name] = e
	}
	var out []status.Endpoint
	for _, e := range u.fleet.Router().Table().Endpoints() {
		f := figures[e.Name]
		one := status.Endpoint{
			Name: e.Name, Pool: e.Pool, Zone: e.Zone, Role: roleNames[e.Role],
			Phase: phaseNames[e.State], InFlight: int(f.InFlight),
		}
		if f.Out {
			one.Reason = "ejected"
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b status.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return out
}
