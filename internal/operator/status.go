package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/status"
)

// FleetStatus is the output of `fescuectl status`.
type FleetStatus struct {
	At       time.Time    `json:"at"`
	LogError string       `json:"log_error,omitempty"` // why the holders are missing
	VMs      []VMStatus   `json:"vms"`
	Engines  []EngineView `json:"engines"`
}

// EngineView is the state of one endpoint over all VMs. InFlight is the sum over the VMs; the other
// fields are from the report with the newest sheet version.
type EngineView struct {
	status.Endpoint
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token,omitempty"`
}

// ReadStatus queries every VM of the list. It does not fill in the holders; see addHolders.
func ReadStatus(ctx context.Context, list driver.VMList) (*FleetStatus, error) {
	vms, err := list.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("6011 vm-list-down: %w", err)
	}
	f := &FleetStatus{At: time.Now().UTC(), VMs: fetchReports(ctx, vms)}
	f.Engines = engineViews(f.VMs)
	return f, nil
}

func engineViews(vms []VMStatus) []EngineView {
	newest := newestSheetReport(vms)
	if newest == nil {
		return nil
	}
	inFlight := map[string]int{}
	for _, v := range vms {
		if v.Report == nil {
			continue
		}
		for _, e := range v.Report.Endpoints {
			inFlight[e.Name] += e.InFlight
		}
	}
	views := make([]EngineView, 0, len(newest.Endpoints))
	for _, e := range newest.Endpoints {
		e.InFlight = inFlight[e.Name]
		views = append(views, EngineView{Endpoint: e})
	}
	return views
}

func newestSheetReport(vms []VMStatus) *status.Report {
	var newest *status.Report
	for _, v := range vms {
		if v.Report != nil && (newest == nil || v.Report.SheetVersion > newest.SheetVersion) {
			newest = v.Report
		}
	}
	return newest
}

// addHolders fills in the VM that has the authority over each engine, as read from the log.
func (f *FleetStatus) addHolders(holdings []fold.Holding) {
	byEngine := map[string]fold.Holding{}
	for _, h := range holdings {
		byEngine[h.Scope] = h
	}
	for i := range f.Engines {
		if h, ok := byEngine[f.Engines[i].Name]; ok && !h.Released {
			f.Engines[i].Holder, f.Engines[i].Token = h.VM, h.Token
		}
	}
}

// WriteJSON writes the status as JSON.
func (f *FleetStatus) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(f)
}

// WriteText writes the status as text tables.
func (f *FleetStatus) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "VM\tZONE\tSTATE\tSHEET\tREQUESTS\tLOG")
	for _, v := range f.VMs {
		writeVM(tw, v)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "ENDPOINT\tPOOL\tZONE\tROLE\tPHASE\tIN FLIGHT\tHOLDER\tTOKEN\tNOTE")
	for _, e := range f.Engines {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n",
			e.Name, e.Pool, e.Zone, orDash(e.Role), e.Phase, e.InFlight, orDash(e.Holder), e.Token, e.Reason)
	}
	if f.LogError != "" {
		fmt.Fprintf(tw, "\nno holders: %s\n", f.LogError)
	}
	return tw.Flush()
}

func writeVM(w *tabwriter.Writer, v VMStatus) {
	if v.Report == nil {
		fmt.Fprintf(w, "%s\t%s\tno answer\t-\t-\t%s\n", v.VM.Name, v.VM.Zone, v.Error)
		return
	}
	r := v.Report
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", v.VM.Name, v.VM.Zone, vmState(v), r.SheetVersion, r.Requests, logState(r.Log))
}

func vmState(v VMStatus) string {
	switch {
	case v.Report.Leaving || v.VM.Leaving:
		return "leaving"
	case !v.Report.Ready:
		return "not ready"
	default:
		return "live"
	}
}

func logState(l status.Log) string {
	if l.Healthy {
		return "ok"
	}
	return "down: " + l.LastError
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
