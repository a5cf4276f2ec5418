package roles_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReportsEvery prints what rarer load reports cost in goodput. They
// are most of what an entry spends at rest, so it asks as seldom as callers
// don't feel it.
func BenchmarkReportsEvery(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, every := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
				cfg := d.cfg
				cfg.Workload.Length = 10 * time.Minute
				cfg.Reports.Interval = every
				r := measure(cfg, entries("ours", morning, planned(d.sheet, nil)))
				r[0].name = fmt.Sprintf("reports each %s", every)
				rows = append(rows, r...)
			}
			show("reports, "+d.cfg.Name, rows)
		}
	}
}
