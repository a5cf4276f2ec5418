package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is one VM's account. It encodes as JSON.
type Report struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Lines   []Line `json:"lines"`
	Unknown uint64 `json:"unknown_class"` // events of classes without objective
}

// Line is the account of one objective.
type Line struct {
	Class   string   `json:"class"`
	Signal  Signal   `json:"signal"`
	Target  float64  `json:"target"`
	LimitMS int64    `json:"limit_ms,omitempty"`
	Windows [3]Count `json:"windows"`         // as Windows lists them
	Series  []Count  `json:"series"`          // by Step, oldest first
	Waits   []byte   `json:"waits,omitempty"` // HdrHistogram V2, milliseconds, last hour
}

// VMAnswer is what one VM of the list gave when it was asked.
type VMAnswer struct {
	VM     string
	Zone   string
	Report *Report // nil if it did not answer
	Err    string  // why not
}

// Fleet is the account of all VMs.
type Fleet struct {
	Asked    int         `json:"vms_asked"`
	Answered int         `json:"vms_answered"`
	Gaps     []Gap       `json:"gaps"`
	Lines    []FleetLine `json:"lines"`
	Unknown  uint64      `json:"unknown_class"`
}

// Gap is a VM that is missing from the sums, or a line of it that is.
type Gap struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
}

// FleetLine is one objective over all VMs that answered.
type FleetLine struct {
	Class   string     `json:"class"`
	Signal  Signal     `json:"signal"`
	Target  float64    `json:"target"`
	LimitMS int64      `json:"limit_ms,omitempty"`
	State   State      `json:"state"`
	Windows [3]Count   `json:"windows"`
	Rates   [3]float64 `json:"burn_rates"`
	Series  []Count    `json:"series"`
	Waits   *Waits     `json:"waits,omitempty"`
	VMs     int        `json:"vms"`

	histogram *hdrhistogram.Histogram
}

// Waits are percentiles of the last hour.
type Waits struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Merge adds the answers up. The worst state comes first.
func Merge(answers []VMAnswer) Fleet {
	f := Fleet{Asked: len(answers), Gaps: []Gap{}, Lines: []FleetLine{}}
	for _, a := range answers {
		if a.Report == nil {
			f.Gaps = append(f.Gaps, Gap{VM: a.VM, Zone: a.Zone, Reason: cmp.Or(a.Err, "no answer")})
			continue
		}
		f.Answered++
		f.Unknown += a.Report.Unknown
		for _, l := range a.Report.Lines {
			if err := f.add(l); err != nil {
				f.Gaps = append(f.Gaps, Gap{VM: a.VM, Zone: a.Zone, Reason: err.Error()})
			}
		}
	}
	for i := range f.Lines {
		f.Lines[i].finish()
	}
	slices.SortFunc(f.Lines, byState)
	return f
}

// add joins a line to those of the same objective. VMs that still work by an
// older sheet keep a line of their own, since their counts answer another
// question.
func (f *Fleet) add(l Line) error {
	if l.Target <= 0 || l.Target >= 1 || len(l.Series) != Points {
		return fmt.Errorf("%s %s: malformed line", l.Class, l.Signal)
	}
	var h *hdrhistogram.Histogram
	if len(l.Waits) > 0 {
		var err error
		if h, err = hdrhistogram.Decode(l.Waits); err != nil {
			return fmt.Errorf("%s %s: %w", l.Class, l.Signal, err)
		}
	}
	i := slices.IndexFunc(f.Lines, func(x FleetLine) bool {
		return x.Class == l.Class && x.Signal == l.Signal && x.Target == l.Target && x.LimitMS == l.LimitMS
	})
	if i < 0 {
		f.Lines = append(f.Lines, FleetLine{
			Class: l.Class, Signal: l.Signal, Target: l.Target, LimitMS: l.LimitMS,
			Series: make([]Count, Points),
		})
		i = len(f.Lines) - 1
	}
	f.Lines[i].add(l, h)
	return nil
}

func (x *FleetLine) add(l Line, h *hdrhistogram.Histogram) {
	x.VMs++
	for i := range x.Windows {
		x.Windows[i] = x.Windows[i].plus(l.Windows[i])
	}
	for i := range x.Series {
		x.Series[i] = x.Series[i].plus(l.Series[i])
	}
	switch {
	case h == nil:
	case x.histogram == nil:
		x.histogram = h
	default:
		x.histogram.Merge(h)
	}
}

func (x *FleetLine) finish() {
	for i, w := range x.Windows {
		x.Rates[i] = w.Rate(x.Target)
	}
	x.State = grade(x.Target, x.Windows)
	if x.histogram == nil || x.histogram.TotalCount() == 0 {
		return
	}
	at := func(q float64) time.Duration {
		return time.Duration(x.histogram.ValueAtQuantile(q)) * time.Millisecond
	}
	x.Waits = &Waits{P50: at(50), P95: at(95), P99: at(99)}
}

func byState(a, b FleetLine) int {
	order := []State{Fast, Slow, Over, Silent, Kept}
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.State), slices.Index(order, b.State)),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Signal, b.Signal),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.LimitMS, b.LimitMS),
	)
}
