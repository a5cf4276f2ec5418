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

// WritePage writes one HTML page that needs nothing else: styles and plots are
// in it, scripts there are none. At is printed as given.
func (f Fleet) WritePage(w io.Writer, title, at string) error {
	v := pageView{
		Title:    title,
		At:       at,
		Coverage: f.coverage(),
		Whole:    f.Answered == f.Asked && len(f.Gaps) == 0,
		Gaps:     f.Gaps,
	}
	for _, l := range f.Lines {
		if l.State == Kept {
			v.Quiet = append(v.Quiet, l.card())
			continue
		}
		v.Loud = append(v.Loud, l.card())
	}
	return page.Execute(w, v)
}

type pageView struct {
	Title    string
	At       string
	Coverage string
	Whole    bool
	Gaps     []Gap
	Loud     []card // whatever isn't well, large
	Quiet    []card
}

type card struct {
	Class     string
	Signal    string
	State     State
	Grade     string // the style's name
	Objective string
	Good      string
	Rates     [3]string
	P95       string
	VMs       int
	Plot      plot
}

func (l FleetLine) card() card {
	c := card{
		Class:     l.Class,
		Signal:    strings.ReplaceAll(string(l.Signal), "-", " "),
		State:     l.State,
		Grade:     grades(l.State),
		Objective: l.objective(),
		Good:      l.good(),
		Rates:     [3]string{l.rate(0), l.rate(1), l.rate(2)},
		VMs:       l.VMs,
		Plot:      newPlot(l.Series, l.Target),
	}
	if l.Waits != nil {
		c.P95 = l.Waits.P95.String()
	}
	return c
}

func grades(s State) string {
	switch s {
	case Fast:
		return "fast"
	case Slow, Over:
		return "slow"
	case Silent:
		return "silent"
	}
	return "kept"
}

// The plot's drawing area in its own units, and the burn rate at its top.
const (
	plotWidth  = 720.0
	plotHeight = 200.0
	plotTop    = 8.0
)

// plot is a series of burn rates as SVG coordinates.
type plot struct {
	Lines  []string // one polyline for each stretch with events
	Blanks []blank  // stretches without events
	Budget string   // y of the burn rate 1
	Alert  string   // y of FastRate
}

type blank struct{ X, Width string }

func newPlot(series []Count, target float64) plot {
	p := plot{Budget: coordinate(height(1)), Alert: coordinate(height(FastRate))}
	step := plotWidth / float64(len(series))
	var line []string
	for i, c := range series {
		x := float64(i) * step
		if c.total() == 0 {
			p.Blanks = append(p.Blanks, blank{X: coordinate(x), Width: coordinate(step)})
			p.close(&line)
			continue
		}
		y := height(c.Rate(target))
		line = append(line,
			coordinate(x)+","+coordinate(y),
			coordinate(x+step)+","+coordinate(y))
	}
	p.close(&line)
	return p
}

func (p *plot) close(line *[]string) {
	if len(*line) > 0 {
		p.Lines = append(p.Lines, strings.Join(*line, " "))
	}
	*line = nil
}

// plotMargin keeps half of a line's width inside the area at either end.
const plotMargin = 6.0

func height(rate float64) float64 {
	return plotMargin + (plotHeight-2*plotMargin)*(1-min(rate, plotTop)/plotTop)
}

func coordinate(v float64) string { return fmt.Sprintf("%.1f", v) }
