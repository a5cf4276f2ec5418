package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the counts and latencies of one VM. It is sent as JSON.
type Report struct {
	VM                 string            `json:"vm"`
	Zone               string            `json:"zone"`
	Objectives         []ObjectiveReport `json:"lines"`
	UnknownClassEvents uint64            `json:"unknown_class"` // events of classes without an objective
}

// ObjectiveReport holds the counts and latencies of one objective on one VM.
type ObjectiveReport struct {
	Class            string   `json:"class"`
	Signal           Signal   `json:"signal"`
	Target           float64  `json:"target"`
	LimitMS          int64    `json:"limit_ms,omitempty"`
	Windows          [3]Count `json:"windows"`         // in the order of Windows
	Series           []Count  `json:"series"`          // one count per SeriesStep, oldest first
	LatencyHistogram []byte   `json:"waits,omitempty"` // HdrHistogram V2, milliseconds, last hour
}

// VMAnswer is the result of a query of one VM for its report.
type VMAnswer struct {
	VM     string
	Zone   string
	Report *Report // nil if the VM did not answer
	Err    string  // why there is no report
}

// Fleet is the merged report of all VMs.
type Fleet struct {
	Queried            int              `json:"vms_asked"`
	Answered           int              `json:"vms_answered"`
	Missing            []MissingReport  `json:"gaps"`
	Objectives         []FleetObjective `json:"lines"`
	UnknownClassEvents uint64           `json:"unknown_class"`
}

// MissingReport names a VM whose report, or the report of one of its objectives, is missing from the
// sums.
type MissingReport struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
}

// FleetObjective holds the sums of one objective over the VMs that answered.
type FleetObjective struct {
	Class   string       `json:"class"`
	Signal  Signal       `json:"signal"`
	Target  float64      `json:"target"`
	LimitMS int64        `json:"limit_ms,omitempty"`
	State   State        `json:"state"`
	Windows [3]Count     `json:"windows"`
	Rates   [3]float64   `json:"burn_rates"`
	Series  []Count      `json:"series"`
	Latency *Percentiles `json:"waits,omitempty"`
	VMs     int          `json:"vms"`

	histogram *hdrhistogram.Histogram
}

// Percentiles are latency percentiles of the last hour.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Merge adds up the reports of all VMs. Objectives in the worst state come first.
func Merge(answers []VMAnswer) Fleet {
	f := Fleet{Queried: len(answers), Missing: []MissingReport{}, Objectives: []FleetObjective{}}
	for _, a := range answers {
		if a.Report == nil {
			f.Missing = append(f.Missing, MissingReport{VM: a.VM, Zone: a.Zone, Reason: cmp.Or(a.Err, "no answer")})
			continue
		}
		f.Answered++
		f.UnknownClassEvents += a.Report.UnknownClassEvents
		for _, l := range a.Report.Objectives {
			if err := f.add(l); err != nil {
				f.Missing = append(f.Missing, MissingReport{VM: a.VM, Zone: a.Zone, Reason: err.Error()})
			}
		}
	}
	for i := range f.Objectives {
		f.Objectives[i].finish()
	}
	slices.SortFunc(f.Objectives, byState)
	return f
}

// add adds a VM's report of an objective to the sums of the same objective. VMs that still use an
// older sheet have a sum of their own, since their events were compared with another limit or target.
func (f *Fleet) add(l ObjectiveReport) error {
	if l.Target <= 0 || l.Target >= 1 || len(l.Series) != SeriesPoints {
		return fmt.Errorf("%s %s: malformed report", l.Class, l.Signal)
	}
	var h *hdrhistogram.Histogram
	if len(l.LatencyHistogram) > 0 {
		var err error
		if h, err = hdrhistogram.Decode(l.LatencyHistogram); err != nil {
			return fmt.Errorf("%s %s: %w", l.Class, l.Signal, err)
		}
	}
	i := slices.IndexFunc(f.Objectives, func(sum FleetObjective) bool {
		return sum.Class == l.Class && sum.Signal == l.Signal && sum.Target == l.Target && sum.LimitMS == l.LimitMS
	})
	if i < 0 {
		f.Objectives = append(f.Objectives, FleetObjective{
			Class: l.Class, Signal: l.Signal, Target: l.Target, LimitMS: l.LimitMS,
			Series: make([]Count, SeriesPoints),
		})
		i = len(f.Objectives) - 1
	}
	f.Objectives[i].add(l, h)
	return nil
}

func (sum *FleetObjective) add(l ObjectiveReport, h *hdrhistogram.Histogram) {
	sum.VMs++
	for i := range sum.Windows {
		sum.Windows[i] = sum.Windows[i].add(l.Windows[i])
	}
	for i := range sum.Series {
		sum.Series[i] = sum.Series[i].add(l.Series[i])
	}
	switch {
	case h == nil:
	case sum.histogram == nil:
		sum.histogram = h
	default:
		sum.histogram.Merge(h)
	}
}

// finish computes the burn rates, the state and the percentiles from the sums.
func (sum *FleetObjective) finish() {
	for i, w := range sum.Windows {
		sum.Rates[i] = w.BurnRate(sum.Target)
	}
	sum.State = grade(sum.Target, sum.Windows)
	if sum.histogram == nil || sum.histogram.TotalCount() == 0 {
		return
	}
	percentile := func(q float64) time.Duration {
		return time.Duration(sum.histogram.ValueAtQuantile(q)) * time.Millisecond
	}
	sum.Latency = &Percentiles{P50: percentile(50), P95: percentile(95), P99: percentile(99)}
}

// byState compares by state, from worst to best, and then by the fields that identify the objective.
func byState(a, b FleetObjective) int {
	order := []State{BurningFast, Burning, OverBudget, NoTraffic, Met}
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.State), slices.Index(order, b.State)),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Signal, b.Signal),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.LimitMS, b.LimitMS),
	)
}
