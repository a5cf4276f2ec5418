package roles_test

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/policytest"
	"fescuestand/internal/policy/roles"
)

// seeds of every figure in docs/MEASUREMENTS.md.
var seeds = []uint64{1, 2, 3, 4, 5}

// morning is the split that a fixed fleet starts the day with.
var morning = loadtest.SplitShare(0.42)

// entries returns our admission and routing with a role plan of choice.
func entries(name string, split func(int) []loadtest.Role, plan func(loadtest.Setup) loadtest.RolePlanner) func() loadtest.Policy {
	return func() loadtest.Policy {
		p := policytest.Policy(policytest.Options{Name: name}, split)
		p.Roles = plan
		return p
	}
}

func fixed(p loadtest.Policy) func() loadtest.Policy { return func() loadtest.Policy { return p } }

// row is one policy over all seeds.
type row struct {
	name    string
	results []loadtest.Result
	model   loadtest.EngineModel
}

func (r row) goodput() stat {
	return newStat(r.results, func(x loadtest.Result) float64 { return x.Goodput() })
}

func (r row) work() stat {
	return newStat(r.results, func(x loadtest.Result) float64 { return x.WeightedGoodput(r.model) })
}

func (r row) changes() stat {
	return newStat(r.results, func(x loadtest.Result) float64 { return float64(x.RoleChanges) })
}

// stat is a median and its spread.
type stat struct{ low, median, high float64 }

func newStat(results []loadtest.Result, of func(loadtest.Result) float64) stat {
	var v []float64
	for _, r := range results {
		v = append(v, of(r))
	}
	slices.Sort(v)
	return stat{v[0], v[len(v)/2], v[len(v)-1]}
}

func (s stat) String() string { return fmt.Sprintf("%.2f (%.2f-%.2f)", s.median, s.low, s.high) }

// measure runs each policy with each seed, side by side.
func measure(cfg loadtest.Config, policies ...func() loadtest.Policy) []row {
	rows := make([]row, len(policies))
	var wg sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, p := range policies {
		rows[i] = row{name: p().Name, results: make([]loadtest.Result, len(seeds)), model: cfg.Model}
		for j, seed := range seeds {
			wg.Go(func() {
				free <- struct{}{}
				rows[i].results[j] = loadtest.Run(cfg, p(), seed)
				<-free
			})
		}
	}
	wg.Wait()
	return rows
}

// best returns the row with the highest median goodput.
func best(rows []row) row {
	return slices.MaxFunc(rows, func(a, b row) int { return cmp.Compare(a.goodput().median, b.goodput().median) })
}

// staticSplits are the fixed roles from which the best baseline is taken.
func staticSplits() []loadtest.Policy {
	var out []loadtest.Policy
	for _, share := range []float64{0.33, 0.42, 0.5, 0.58} {
		for _, p := range []loadtest.Policy{
			loadtest.FIFORoundRobin(loadtest.SplitShare(share)),
			loadtest.LeastLoaded(loadtest.SplitShare(share)),
		} {
			p.Name = fmt.Sprintf("%s %.2f", p.Name, share)
			out = append(out, p)
		}
	}
	mixed := loadtest.LeastLoaded(loadtest.AllMixed)
	mixed.Name = "fifo + least loaded + all mixed"
	return append(out, mixed)
}

// swingRows measures one deployment through the swings of its mix.
func swingRows(cfg loadtest.Config, sheet roles.Config) []row {
	var all []func() loadtest.Policy
	for _, p := range staticSplits() {
		all = append(all, fixed(p))
	}
	statics := len(all)
	for _, share := range []float64{0.33, 0.42, 0.5, 0.58} {
		all = append(all, entries(fmt.Sprintf("our entries + static %.2f", share), loadtest.SplitShare(share), nil))
	}
	all = append(all, entries("our entries + all mixed", loadtest.AllMixed, nil))
	ownStatics := len(all)
	for i, c := range loadtest.Clairvoyants() {
		all = append(all, entries(fmt.Sprintf("our entries + clairvoyant %d", i), morning, c.New))
	}
	seeing := len(all)
	all = append(all, entries("ours", morning, planned(sheet, nil)))
	rows := measure(cfg, all...)
	roundRobin, least := split2(rows[:statics-1])
	return []row{
		best(roundRobin), best(least), rows[statics-1],
		best(rows[statics : ownStatics-1]), rows[ownStatics-1],
		rows[seeing], best(rows[ownStatics:seeing]),
	}
}

func split2(rows []row) (even, odd []row) {
	for i, r := range rows {
		if i%2 == 0 {
			even = append(even, r)
		} else {
			odd = append(odd, r)
		}
	}
	return even, odd
}

// show prints to standard output, since a benchmark's log is cut short.
func show(title string, rows []row) {
	fmt.Printf("\n%s, seeds %v, median (spread)\n\n%s\n", title, seeds, table(rows))
}

func table(rows []row) string {
	var b strings.Builder
	b.WriteString("| policy | on time /s | work on time, engines | role changes | late, refused % | short, long: on time % | short: first token p95 | gap p95 | long: first token p95 |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %v | %v | %v | %s | %.1f, %.1f | %v | %v | %v |\n",
			r.name, r.goodput(), r.work(), r.changes(), r.lost(), r.onTime(0), r.onTime(1), r.wait(0), r.gap(0), r.wait(1))
	}
	return b.String()
}

// lost is the median shares of answers that missed the deadline or an
// objective, and of refusals.
func (r row) lost() string {
	of := func(count func(loadtest.ClassResult) int) float64 {
		return newStat(r.results, func(x loadtest.Result) float64 {
			offered := x.Sum(func(c loadtest.ClassResult) int { return c.Offered })
			return 100 * float64(x.Sum(count)) / float64(offered)
		}).median
	}
	late := of(func(c loadtest.ClassResult) int { return c.Late + c.Slow })
	return fmt.Sprintf("%.1f, %.1f", late, of(loadtest.ClassResult.RefusedTotal))
}

// onTime is the share of one class's requests that were answered on time.
func (r row) onTime(class int) float64 {
	return newStat(r.results, func(x loadtest.Result) float64 {
		c := x.Classes[class]
		return 100 * float64(c.OnTime) / float64(max(c.Offered, 1))
	}).median
}

func (r row) wait(class int) time.Duration {
	return time.Duration(newStat(r.results, func(x loadtest.Result) float64 {
		return float64(x.Classes[class].FirstToken().P95)
	}).median)
}

func (r row) gap(class int) time.Duration {
	return time.Duration(newStat(r.results, func(x loadtest.Result) float64 {
		return float64(x.Classes[class].BetweenTokens().P95)
	}).median)
}

// swingLoads are the offered loads of the swings: with some room to spare, and
// nearly full.
var swingLoads = []float64{0.8, 0.9}

// BenchmarkSwings prints the tables of docs/MEASUREMENTS.md for the mix that
// turns within two minutes and back.
func BenchmarkSwings(b *testing.B) {
	for b.Loop() {
		for _, load := range swingLoads {
			for _, d := range deployments() {
				d.cfg.Workload.Load = load
				rows := swingRows(d.cfg, d.sheet)
				show(fmt.Sprintf("swings, %s, load %.1f", d.cfg.Name, load), rows)
				ours, seeing := rows[len(rows)-2], rows[len(rows)-1]
				name := fmt.Sprintf("%s-%.1f", d.cfg.Name, load)
				b.ReportMetric(ours.goodput().median/seeing.goodput().median, name+"-of-clairvoyant")
				b.ReportMetric(ours.goodput().median/best(rows[:3]).goodput().median, name+"-of-best-static")
			}
		}
	}
}

// BenchmarkPrice prints what a price of role changes costs in goodput.
func BenchmarkPrice(b *testing.B) {
	for b.Loop() {
		for _, load := range swingLoads {
			for _, d := range deployments() {
				d.cfg.Workload.Load = load
				var all []func() loadtest.Policy
				for _, price := range []float64{0, 5, 10, 20, 40, 60, 80, 120} {
					sheet := d.sheet
					sheet.Price = price
					all = append(all, entries(fmt.Sprintf("price %.0f", price), morning, planned(sheet, nil)))
				}
				show(fmt.Sprintf("prices, %s, load %.1f", d.cfg.Name, load), measure(d.cfg, all...))
			}
		}
	}
}

// BenchmarkOverload prints goodput over offered load.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, load := range []float64{0.6, 0.8, 1, 1.25, 1.5, 2, 3} {
				cfg := d.cfg
				cfg.Workload.Load = load
				cfg.Workload.Length = 10 * time.Minute
				r := measure(cfg, entries("ours", morning, planned(d.sheet, nil)), fixed(loadtest.LeastLoaded(morning)))
				for i := range r {
					r[i].name = fmt.Sprintf("%s at %.2f", r[i].name, load)
				}
				rows = append(rows, r...)
			}
			show("overload, "+d.cfg.Name, rows)
		}
	}
}

type deployment struct {
	cfg   loadtest.Config
	sheet roles.Config
}

func deployments() []deployment {
	return []deployment{{loadtest.Lakeshore(), lakeshoreSheet()}, {loadtest.Cevallos(), cevallosSheet()}}
}

// BenchmarkFaults prints what callers receive through single failures.
func BenchmarkFaults(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, f := range troubles(d.cfg) {
				r := measure(f.cfg, entries("ours", morning, planned(d.sheet, nil)), fixed(loadtest.LeastLoaded(morning)))
				for i := range r {
					r[i].name = f.name + ": " + r[i].name
				}
				rows = append(rows, r...)
			}
			show("faults, "+d.cfg.Name, rows)
		}
	}
}

type trouble struct {
	name string
	cfg  loadtest.Config
}

// troubles are the failures, each from the fourth minute of ten on: the first
// swing is under way then.
func troubles(cfg loadtest.Config) []trouble {
	cfg.Workload.Length = 10 * time.Minute
	at := 4 * time.Minute
	var all, third, zone []int
	for i := range cfg.Engines {
		all = append(all, i)
		if i%3 == 1 {
			third = append(third, i)
		}
		if i%cfg.Zones == 0 {
			zone = append(zone, i)
		}
	}
	with := func(name string, change func(*loadtest.Config)) trouble {
		c := cfg
		change(&c)
		return trouble{name, c}
	}
	fault := func(f loadtest.Fault) func(*loadtest.Config) {
		return func(c *loadtest.Config) { c.Faults = []loadtest.Fault{f} }
	}
	return []trouble{
		with("none", func(*loadtest.Config) {}),
		with("burst 10x for 5 s", func(c *loadtest.Config) {
			c.Workload.Bursts = []loadtest.Burst{{At: at, Duration: 5 * time.Second, Factor: 10}}
		}),
		with("reports 10 s late", func(c *loadtest.Config) {
			c.Reports.MinLag, c.Reports.MaxLag = 8*time.Second, 10*time.Second
		}),
		with("half of the reports missing", func(c *loadtest.Config) { c.Reports.LossRate = 0.5 }),
		with("no reports for 2 min", fault(loadtest.Fault{Kind: loadtest.NoReports, At: at, Duration: 2 * time.Minute, Engines: all})),
		with("a third of the engines lost", fault(loadtest.Fault{Kind: loadtest.Crash, At: at, Duration: time.Hour, Engines: third})),
		with("a zone gone for 1 min", fault(loadtest.Fault{Kind: loadtest.Crash, At: at, Duration: time.Minute, Engines: zone})),
		with("one engine 10x slow", fault(loadtest.Fault{Kind: loadtest.Slow, At: at, Duration: time.Hour, Engines: []int{1}, Factor: 10})),
		with("a hot caller, half of all", func(c *loadtest.Config) { c.Workload.HotCallerShare = 0.5 }),
	}
}
