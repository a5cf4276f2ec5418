package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// WritePage writes a self-contained HTML page with inline styles and plots and without scripts. It
// prints at as given.
func (f Fleet) WritePage(w io.Writer, title, at string) error {
	v := pageView{
		Title:    title,
		At:       at,
		Coverage: f.coverage(),
		Complete: f.Answered == f.Queried && len(f.Missing) == 0,
		Missing:  f.Missing,
	}
	for _, l := range f.Objectives {
		if l.State == Met {
			v.Met = append(v.Met, l.card())
			continue
		}
		v.NotMet = append(v.NotMet, l.card())
	}
	return page.Execute(w, v)
}

type pageView struct {
	Title    string
	At       string
	Coverage string
	Complete bool
	Missing  []MissingReport
	NotMet   []card // shown as large cards
	Met      []card // shown as small cards
}

type card struct {
	Class     string
	Signal    string
	State     State
	CSSClass  string
	Objective string
	Good      string
	Rates     [3]string
	P95       string
	VMs       int
	Plot      plot
}

func (l FleetObjective) card() card {
	c := card{
		Class:     l.Class,
		Signal:    strings.ReplaceAll(string(l.Signal), "-", " "),
		State:     l.State,
		CSSClass:  cssClass(l.State),
		Objective: l.objective(),
		Good:      l.good(),
		Rates:     [3]string{l.rate(0), l.rate(1), l.rate(2)},
		VMs:       l.VMs,
		Plot:      newPlot(l.Series, l.Target),
	}
	if l.Latency != nil {
		c.P95 = l.Latency.P95.String()
	}
	return c
}

func cssClass(s State) string {
	switch s {
	case BurningFast:
		return "fast"
	case Burning, OverBudget:
		return "slow"
	case NoTraffic:
		return "silent"
	}
	return "kept"
}

// The size of the plot in SVG units, and the burn rate at its upper edge.
const (
	plotWidth  = 720.0
	plotHeight = 200.0
	plotTop    = 8.0
)

// plot is a series of burn rates as SVG coordinates.
type plot struct {
	Lines  []string // one polyline for each run of steps with events
	NoData []span   // steps without events
	Budget string   // y coordinate of burn rate 1
	Alert  string   // y coordinate of FastBurnRate
}

type span struct{ X, Width string }

func newPlot(series []Count, target float64) plot {
	p := plot{Budget: coordinate(yOf(1)), Alert: coordinate(yOf(FastBurnRate))}
	step := plotWidth / float64(len(series))
	var line []string
	for i, c := range series {
		x := float64(i) * step
		if c.total() == 0 {
			p.NoData = append(p.NoData, span{X: coordinate(x), Width: coordinate(step)})
			p.endLine(&line)
			continue
		}
		y := yOf(c.BurnRate(target))
		line = append(line,
			coordinate(x)+","+coordinate(y),
			coordinate(x+step)+","+coordinate(y))
	}
	p.endLine(&line)
	return p
}

// endLine adds the current polyline to the plot and starts a new one.
func (p *plot) endLine(line *[]string) {
	if len(*line) > 0 {
		p.Lines = append(p.Lines, strings.Join(*line, " "))
	}
	*line = nil
}

// plotMargin keeps lines at the upper and lower edge inside the plot with their full width.
const plotMargin = 6.0

// yOf returns the y coordinate of a burn rate.
func yOf(rate float64) float64 {
	return plotMargin + (plotHeight-2*plotMargin)*(1-min(rate, plotTop)/plotTop)
}

func coordinate(v float64) string { return fmt.Sprintf("%.1f", v) }
