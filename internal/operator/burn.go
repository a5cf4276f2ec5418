package operator

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"fescuestand/internal/burn"
	"fescuestand/internal/driver"
	"fescuestand/internal/status"
)

type burnCommand struct {
	command
	JSON bool   `long:"json" description:"print JSON"`
	HTML string `long:"html" value-name:"FILE" description:"write one self-contained page for the control room's screen"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	_, list, err := s.platform()
	if err != nil {
		return err
	}
	vms, err := list.List(c.ctx)
	if err != nil {
		return err
	}
	fleet := burn.Merge(fetchBurnReports(c.ctx, vms))
	switch {
	case c.HTML != "":
		return writePage(c.HTML, s.Deployment, fleet)
	case c.JSON:
		return fleet.WriteJSON(c.out)
	default:
		return fleet.WriteText(c.out)
	}
}

// fetchBurnReports queries all VMs in parallel. A VM that does not answer stays in the result with
// the reason, so that it is shown as missing.
func fetchBurnReports(ctx context.Context, vms []driver.VM) []burn.VMAnswer {
	out := make([]burn.VMAnswer, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { out[i] = fetchBurnReport(ctx, vm) })
	}
	wg.Wait()
	return out
}

func fetchBurnReport(ctx context.Context, vm driver.VM) burn.VMAnswer {
	a := burn.VMAnswer{VM: vm.Name, Zone: vm.Zone}
	b, err := fetchBody(ctx, vm.Status, status.PathBurn)
	if err == nil {
		a.Report = &burn.Report{}
		err = json.Unmarshal(b, a.Report)
	}
	if err != nil {
		a.Report, a.Err = nil, err.Error()
	}
	return a
}

// writePage writes a temporary file and renames it, so that a screen that reloads the page never
// shows a partly written one.
func writePage(file, deployment string, fleet burn.Fleet) error {
	tmp := file + ".new"
	f, err := os.Create(tmp)
	if err != nil {
		return err
	}
	err = fleet.WritePage(f, "Service-level burn: "+deployment, time.Now().UTC().Format("2006-01-02 15:04:05 MST"))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(tmp, file)
}
