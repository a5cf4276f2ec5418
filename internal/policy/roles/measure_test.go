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

// seeds are the random seeds behind every figure in docs/MEASUREMENTS.md.
var seeds = []uint64{1, 2, 3, 4, 5}

// initialSplit is the split with which a fixed fleet starts.
var initialSplit = loadtest.SplitShare(0.42)

// entryPolicy returns a policy with the admission and routing of this project and
// the given split and role plan.
func entryPolicy(name string, split func(int) []loadtest.Role, plan func(loadtest.Setup) loadtest.RolePlanner) func() loadtest.Policy {
	return func() loadtest.Policy {
		p := policytest.Policy(policytest.Options{Name: name}, split)
		p.Roles = plan
		return p
	}
}

func policyFactory(p loadtest.Policy) func() loadtest.Policy {
	return func() loadtest.Policy { return p }
}

// row holds the results of one policy with all seeds.
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

// stat is the median of a measure and its range.
type stat struct{ low, median, high float64 }

func newStat(results []loadtest.Result, measure func(loadtest.Result) float64) stat {
	var values []float64
	for _, r := range results {
		values = append(values, measure(r))
	}
	slices.Sort(values)
	return stat{values[0], values[len(values)/2], values[len(values)-1]}
}

func (s stat) String() string { return fmt.Sprintf("%.2f (%.2f-%.2f)", s.median, s.low, s.high) }

// runPolicies runs each policy with each seed, concurrently.
func runPolicies(cfg loadtest.Config, policies ...func() loadtest.Policy) []row {
	rows := make([]row, len(policies))
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, p := range policies {
		rows[i] = row{name: p().Name, results: make([]loadtest.Result, len(seeds)), model: cfg.Model}
		for j, seed := range seeds {
			wg.Go(func() {
				slots <- struct{}{}
				rows[i].results[j] = loadtest.Run(cfg, p(), seed)
				<-slots
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

// staticSplits returns the baselines with fixed roles, of which the best is
// reported.
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

// swingRows measures one deployment through the swings of its request mix.
func swingRows(cfg loadtest.Config, sheet roles.Config) []row {
	var all []func() loadtest.Policy
	for _, p := range staticSplits() {
		all = append(all, policyFactory(p))
	}
	staticEnd := len(all)
	for _, share := range []float64{0.33, 0.42, 0.5, 0.58} {
		all = append(all, entryPolicy(fmt.Sprintf("our entries + static %.2f", share), loadtest.SplitShare(share), nil))
	}
	all = append(all, entryPolicy("our entries + all mixed", loadtest.AllMixed, nil))
	ownStaticEnd := len(all)
	for i, c := range loadtest.Clairvoyants() {
		all = append(all, entryPolicy(fmt.Sprintf("our entries + clairvoyant %d", i), initialSplit, c.New))
	}
	clairvoyantEnd := len(all)
	all = append(all, entryPolicy("ours", initialSplit, rolePlanner(sheet, nil)))
	rows := runPolicies(cfg, all...)
	roundRobin, leastLoaded := splitAlternating(rows[:staticEnd-1])
	return []row{
		best(roundRobin), best(leastLoaded), rows[staticEnd-1],
		best(rows[staticEnd : ownStaticEnd-1]), rows[ownStaticEnd-1],
		rows[clairvoyantEnd], best(rows[ownStaticEnd:clairvoyantEnd]),
	}
}

func splitAlternating(rows []row) (even, odd []row) {
	for i, r := range rows {
		if i%2 == 0 {
			even = append(even, r)
		} else {
			odd = append(odd, r)
		}
	}
	return even, odd
}

// printTable prints to standard output, since the log of a benchmark is truncated.
func printTable(title string, rows []row) {
	fmt.Printf("\n%s, seeds %v, median (spread)\n\n%s\n", title, seeds, table(rows))
}

func table(rows []row) string {
	var b strings.Builder
	b.WriteString("| policy | on time /s | work on time, engines | role changes | late, refused % | short, long: on time % | short: first token p95 | gap p95 | long: first token p95 |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %v | %v | %v | %s | %.1f, %.1f | %v | %v | %v |\n",
			r.name, r.goodput(), r.work(), r.changes(), r.lateAndRefused(), r.onTime(0), r.onTime(1), r.firstTokenP95(0), r.betweenTokensP95(0), r.firstTokenP95(1))
	}
	return b.String()
}

// lateAndRefused returns the median percentages of answers that missed the deadline
// or an objective, and of refusals.
func (r row) lateAndRefused() string {
	percent := func(count func(loadtest.ClassResult) int) float64 {
		return newStat(r.results, func(x loadtest.Result) float64 {
			offered := x.Sum(func(c loadtest.ClassResult) int { return c.Offered })
			return 100 * float64(x.Sum(count)) / float64(offered)
		}).median
	}
	late := percent(func(c loadtest.ClassResult) int { return c.Late + c.Slow })
	return fmt.Sprintf("%.1f, %.1f", late, percent(loadtest.ClassResult.RefusedTotal))
}

// onTime returns the median percentage of one class's requests that were answered
// on time.
func (r row) onTime(class int) float64 {
	return newStat(r.results, func(x loadtest.Result) float64 {
		c := x.Classes[class]
		return 100 * float64(c.OnTime) / float64(max(c.Offered, 1))
	}).median
}

func (r row) firstTokenP95(class int) time.Duration {
	return time.Duration(newStat(r.results, func(x loadtest.Result) float64 {
		return float64(x.Classes[class].FirstToken().P95)
	}).median)
}

func (r row) betweenTokensP95(class int) time.Duration {
	return time.Duration(newStat(r.results, func(x loadtest.Result) float64 {
		return float64(x.Classes[class].BetweenTokens().P95)
	}).median)
}

// swingLoads are the offered loads of the swings, as shares of the capacity: with
// some headroom, and nearly full.
var swingLoads = []float64{0.8, 0.9}

// BenchmarkSwings prints the tables of docs/MEASUREMENTS.md for a mix that shifts
// within two minutes and back.
func BenchmarkSwings(b *testing.B) {
	for b.Loop() {
		for _, load := range swingLoads {
			for _, d := range deployments() {
				d.cfg.Workload.Load = load
				rows := swingRows(d.cfg, d.sheet)
				printTable(fmt.Sprintf("swings, %s, load %.1f", d.cfg.Name, load), rows)
				ours, clairvoyant := rows[len(rows)-2], rows[len(rows)-1]
				name := fmt.Sprintf("%s-%.1f", d.cfg.Name, load)
				b.ReportMetric(ours.goodput().median/clairvoyant.goodput().median, name+"-of-clairvoyant")
				b.ReportMetric(ours.goodput().median/best(rows[:3]).goodput().median, name+"-of-best-static")
			}
		}
	}
}

// BenchmarkChangeCost prints the goodput at different costs of a role change.
func BenchmarkChangeCost(b *testing.B) {
	for b.Loop() {
		for _, load := range swingLoads {
			for _, d := range deployments() {
				d.cfg.Workload.Load = load
				var all []func() loadtest.Policy
				for _, cost := range []float64{0, 5, 10, 20, 40, 60, 80, 120} {
					sheet := d.sheet
					sheet.ChangeCost = cost
					all = append(all, entryPolicy(fmt.Sprintf("price %.0f", cost), initialSplit, rolePlanner(sheet, nil)))
				}
				printTable(fmt.Sprintf("prices, %s, load %.1f", d.cfg.Name, load), runPolicies(d.cfg, all...))
			}
		}
	}
}

// BenchmarkOverload prints the goodput at different offered loads.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, load := range []float64{0.6, 0.8, 1, 1.25, 1.5, 2, 3} {
				cfg := d.cfg
				cfg.Workload.Load = load
				cfg.Workload.Length = 10 * time.Minute
				r := runPolicies(cfg, entryPolicy("ours", initialSplit, rolePlanner(d.sheet, nil)), policyFactory(loadtest.LeastLoaded(initialSplit)))
				for i := range r {
					r[i].name = fmt.Sprintf("%s at %.2f", r[i].name, load)
				}
				rows = append(rows, r...)
			}
			printTable("overload, "+d.cfg.Name, rows)
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

// BenchmarkFaults prints the service that callers receive during single failures.
func BenchmarkFaults(b *testing.B) {
	for b.Loop() {
		for _, d := range deployments() {
			var rows []row
			for _, f := range faultScenarios(d.cfg) {
				r := runPolicies(f.cfg, entryPolicy("ours", initialSplit, rolePlanner(d.sheet, nil)), policyFactory(loadtest.LeastLoaded(initialSplit)))
				for i := range r {
					r[i].name = f.name + ": " + r[i].name
				}
				rows = append(rows, r...)
			}
			printTable("faults, "+d.cfg.Name, rows)
		}
	}
}

type faultScenario struct {
	name string
	cfg  loadtest.Config
}

// faultScenarios returns the failures, each from the fourth minute of ten on, when
// the first swing is in progress.
func faultScenarios(cfg loadtest.Config) []faultScenario {
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
	scenario := func(name string, change func(*loadtest.Config)) faultScenario {
		c := cfg
		change(&c)
		return faultScenario{name, c}
	}
	fault := func(f loadtest.Fault) func(*loadtest.Config) {
		return func(c *loadtest.Config) { c.Faults = []loadtest.Fault{f} }
	}
	return []faultScenario{
		scenario("none", func(*loadtest.Config) {}),
		scenario("burst 10x for 5 s", func(c *loadtest.Config) {
			c.Workload.Bursts = []loadtest.Burst{{At: at, Duration: 5 * time.Second, Factor: 10}}
		}),
		scenario("reports 10 s late", func(c *loadtest.Config) {
			c.Reports.MinLag, c.Reports.MaxLag = 8*time.Second, 10*time.Second
		}),
		scenario("half of the reports missing", func(c *loadtest.Config) { c.Reports.LossRate = 0.5 }),
		scenario("no reports for 2 min", fault(loadtest.Fault{Kind: loadtest.NoReports, At: at, Duration: 2 * time.Minute, Engines: all})),
		scenario("a third of the engines lost", fault(loadtest.Fault{Kind: loadtest.Crash, At: at, Duration: time.Hour, Engines: third})),
		scenario("a zone gone for 1 min", fault(loadtest.Fault{Kind: loadtest.Crash, At: at, Duration: time.Minute, Engines: zone})),
		scenario("one engine 10x slow", fault(loadtest.Fault{Kind: loadtest.Slow, At: at, Duration: time.Hour, Engines: []int{1}, Factor: 10})),
		scenario("a hot caller, half of all", func(c *loadtest.Config) { c.Workload.HotCallerShare = 0.5 }),
	}
}
