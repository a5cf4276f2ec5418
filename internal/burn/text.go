package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteJSON writes the merged report as JSON.
func (f Fleet) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(f)
}

// WriteText writes the merged report as a text table.
func (f Fleet) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", f.coverage())
	for _, g := range f.Missing {
		fmt.Fprintf(&b, "  MISSING %s (%s): %s\n", g.VM, g.Zone, g.Reason)
	}
	if f.UnknownClassEvents > 0 {
		fmt.Fprintf(&b, "  %d events of classes without an objective\n", f.UnknownClassEvents)
	}
	if err := f.table(&b); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (f Fleet) table(w io.Writer) error {
	var rows strings.Builder
	rows.WriteString("STATE\tCLASS\tSIGNAL\tOBJECTIVE\tGOOD 1H\tBURN 5M\tBURN 1H\tBURN 6H\tP50\tP95\tP99\tVMS\n")
	for _, l := range f.Objectives {
		fmt.Fprintf(&rows, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", l.State, l.Class, l.Signal, l.objective(),
			l.good(), l.rate(0), l.rate(1), l.rate(2), l.percentiles(), l.VMs)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows.String()); err != nil {
		return err
	}
	return t.Flush()
}

func (f Fleet) coverage() string {
	if f.Answered == f.Queried {
		return fmt.Sprintf("all %d VMs answered", f.Queried)
	}
	return fmt.Sprintf("%d of %d VMs answered: what follows lacks %d", f.Answered, f.Queried, f.Queried-f.Answered)
}

// objective formats the target and the limit, as in "95% <= 39ms".
func (l FleetObjective) objective() string {
	s := strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", 100*l.Target), "0"), ".") + "%"
	if l.LimitMS > 0 {
		s += " <= " + (time.Duration(l.LimitMS) * time.Millisecond).String()
	}
	return s
}

func (l FleetObjective) good() string {
	if l.Windows[1].total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*l.Windows[1].GoodShare())
}

func (l FleetObjective) rate(i int) string {
	if l.Windows[i].total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", l.Rates[i])
}

func (l FleetObjective) percentiles() string {
	if l.Latency == nil {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%v\t%v\t%v", l.Latency.P50, l.Latency.P95, l.Latency.P99)
}
