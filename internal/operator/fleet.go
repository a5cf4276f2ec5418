package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/status"
)

// fetchTimeout bounds one status request to one VM. A VM that does not answer in time is shown as
// missing.
const fetchTimeout = 2 * time.Second

// maxResponseBytes bounds the response that is read from one VM.
const maxResponseBytes = 8 << 20

// VMStatus is one VM of the VM list with the status report of its entry process.
type VMStatus struct {
	VM     driver.VM      `json:"vm"`
	Report *status.Report `json:"report,omitempty"`
	Error  string         `json:"error,omitempty"` // why there is no report
}

// fetchReports queries all VMs in parallel and returns the answers sorted by VM name.
func fetchReports(ctx context.Context, vms []driver.VM) []VMStatus {
	out := make([]VMStatus, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			out[i] = VMStatus{VM: vm}
			var r status.Report
			if err := fetchJSON(ctx, vm.Status, status.PathStatus, &r); err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Report = &r
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b VMStatus) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return out
}

func fetchJSON(ctx context.Context, addr, path string, v any) error {
	b, err := fetchBody(ctx, addr, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

func fetchBody(ctx context.Context, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return exchange.ReadBody(resp.Body, maxResponseBytes)
}
