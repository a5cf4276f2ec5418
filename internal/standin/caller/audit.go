package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
)

const auditTimeout = 3 * time.Second

// Audit compares what engines and endpoints executed with the outcomes that callers received.
type Audit struct {
	RoleChanges  int      `json:"role_changes"`
	Loads        int      `json:"loads"`
	Conflicts    int      `json:"conflicts"`     // orders started while another one was being executed
	Stale        int      `json:"stale"`         // orders refused because of an old fencing token
	StreamsCut   int      `json:"streams_cut"`   // streams aborted by role changes
	DoubleRuns   int      `json:"double_runs"`   // commits executed more than once
	FalseNotRuns int      `json:"false_not_run"` // commits executed but reported as not run
	LostRuns     int      `json:"lost_runs"`     // commits reported as done but never executed
	Unreachable  []string `json:"unasked,omitempty"`
}

func (a *Audit) passed() bool {
	return a.Conflicts+a.StreamsCut+a.DoubleRuns+a.FalseNotRuns+a.LostRuns == 0
}

func (a *Audit) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "role changes %d, loads %d, conflicting orders %d, stale orders refused %d, streams cut by role changes %d\n",
		a.RoleChanges, a.Loads, a.Conflicts, a.Stale, a.StreamsCut)
	_, _ = fmt.Fprintf(out, "commits run twice %d, run though told not run %d, told done but never run %d\n",
		a.DoubleRuns, a.FalseNotRuns, a.LostRuns)
	for _, address := range a.Unreachable {
		_, _ = fmt.Fprintln(out, "does not say what it executed:", address)
	}
}

// audit requests from engines and endpoints what they executed.
func (c *caller) audit(ctx context.Context, rep *Report) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	for _, address := range c.cfg.Engines {
		var h engine.HistoryAnswer
		if err := c.fetch(ctx, address, "/history", &h); err != nil {
			rep.Audit.Unreachable = append(rep.Audit.Unreachable, address)
			continue
		}
		for i := range h.Orders {
			rep.Audit.count(&h.Orders[i])
		}
	}
	if len(c.cfg.Endpoints) > 0 {
		c.auditCommits(ctx, rep)
	}
}

func (a *Audit) count(o *engine.HistoryEntry) {
	a.StreamsCut += o.StreamsCut
	switch o.Effect {
	case engine.EffectStale:
		a.Stale++
		return
	case engine.EffectNoChange, engine.EffectDuplicate:
		return
	}
	if o.Overlap {
		a.Conflicts++
	}
	switch o.Kind {
	case driver.OrderRole:
		a.RoleChanges++
	case driver.OrderLoad:
		a.Loads++
	}
}

// auditCommits compares the executions of each commit key with the reported outcome. It counts a lost
// run only if every endpoint answered, since a missing one may have executed it.
func (c *caller) auditCommits(ctx context.Context, rep *Report) {
	runs := map[string]int{}
	complete := true
	for _, address := range c.cfg.Endpoints {
		var e service.Executions
		if err := c.fetch(ctx, address, "/executions", &e); err != nil {
			rep.Audit.Unreachable = append(rep.Audit.Unreachable, address)
			complete = false
			continue
		}
		for key, execution := range e.Keys {
			runs[key] += execution.Count
		}
	}
	for key, notRun := range c.table.notRun {
		if runs[key] > 1 {
			rep.Audit.DoubleRuns++
		}
		if notRun && runs[key] > 0 {
			rep.Audit.FalseNotRuns++
		}
		if c.table.ran[key] && runs[key] == 0 && complete {
			rep.Audit.LostRuns++
		}
	}
}

func (c *caller) fetch(ctx context.Context, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
