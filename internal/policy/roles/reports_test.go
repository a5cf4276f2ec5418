package roles_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReportInterval prints the goodput at different intervals of load reports.
// Polling them is most of the work of an idle entry, so the interval is as long as
// it can be without an effect on callers.
func BenchmarkReportInterval(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, interval := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
				cfg := d.cfg
				cfg.Workload.Length = 10 * time.Minute
				cfg.Reports.Interval = interval
				r := runPolicies(cfg, entryPolicy("ours", initialSplit, rolePlanner(d.sheet, nil)))
				r[0].name = fmt.Sprintf("reports each %s", interval)
				rows = append(rows, r...)
			}
			printTable("reports, "+d.cfg.Name, rows)
		}
	}
}
