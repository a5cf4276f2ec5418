package caller

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/code"
)

const (
	maxRecordedUS     = int64(10 * time.Minute / time.Microsecond) // microseconds
	significantDigits = 3                                          // digits of a histogram value
	maxExamples       = 10
	usPerMS           = 1000.0
	median            = 50
	ninetyFifth       = 95
	ninetyNinth       = 99
	headingRow        = "kind\tsent\ton time\tlate\trefused\tunknown\tfailed\twrong\tcut\tunreachable\tfirst token ms p50/p95/p99\tbetween ms p50/p95/p99\twhole ms p50/p95/p99\t\n"
	kindRowFormat     = "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n"
)

// Percentiles holds percentiles in milliseconds and the number of values.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	N   int64   `json:"n"`
}

func (p Percentiles) String() string {
	if p.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f", p.P50, p.P95, p.P99)
}

// Kind counts the requests of one kind by outcome.
type Kind struct {
	Name          string         `json:"name"`
	Sent          int            `json:"sent"`
	OnTime        int            `json:"on_time"`
	Late          int            `json:"late"`
	Refused       map[string]int `json:"refused"` // reported as not run, by code
	Unknown       map[string]int `json:"unknown"` // may have run, by code
	Failed        map[string]int `json:"failed"`  // ran without a complete answer, by code
	Wrong         int            `json:"wrong"`
	Cut           int            `json:"cut"`
	Unreachable   int            `json:"unreachable"`
	FirstToken    Percentiles    `json:"first_token_ms"`
	BetweenTokens Percentiles    `json:"between_tokens_ms"`
	Duration      Percentiles    `json:"whole_ms"`
}

// Report is the outcome of a run for its callers.
type Report struct {
	Seconds  float64  `json:"seconds"`
	Kinds    []*Kind  `json:"kinds"`
	Goodput  float64  `json:"goodput"` // complete answers on time, per second
	Retries  int      `json:"returns"` // after a refusal that gave a retry delay
	Resends  int      `json:"resends"` // after a cut connection
	Examples []string `json:"examples,omitempty"`
	Audit    Audit    `json:"audit"`
}

// Total returns the sum of one count over all kinds.
func (r *Report) Total(count func(*Kind) int) int {
	n := 0
	for _, k := range r.Kinds {
		n += count(k)
	}
	return n
}

// Good reports whether at least one answer was on time, no answer was wrong or cut, and the audit found
// no fault. Strict also requires that every request that ran has a complete answer, and that no outcome
// is unknown and no request was left unanswered.
func (r *Report) Good(strict bool) bool {
	failures := r.Total(func(k *Kind) int { return k.Wrong + k.Cut })
	if strict {
		failures += r.Total(func(k *Kind) int { return sumOf(k.Unknown) + sumOf(k.Failed) + k.Unreachable })
	}
	onTime := r.Total(func(k *Kind) int { return k.OnTime })
	return failures == 0 && onTime > 0 && r.Audit.passed()
}

func sumOf(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// table collects the results of a run.
type table struct {
	cfg    *Config
	mu     sync.Mutex
	rows   [kindCount]*row
	rep    Report
	notRun map[string]bool // by commit key: reported as not run
	ran    map[string]bool // by commit key: answered with a receipt
}

type row struct {
	Kind
	first, between, whole *hdrhistogram.Histogram
}

func newTable(cfg *Config) *table {
	t := &table{cfg: cfg, notRun: map[string]bool{}, ran: map[string]bool{}}
	for k := range kindCount {
		t.rows[k] = &row{
			Kind: Kind{
				Name: cfg.kindName(k), Refused: map[string]int{}, Unknown: map[string]int{}, Failed: map[string]int{},
			},
			first:   hdrhistogram.New(1, maxRecordedUS, significantDigits),
			between: hdrhistogram.New(1, maxRecordedUS, significantDigits),
			whole:   hdrhistogram.New(1, maxRecordedUS, significantDigits),
		}
	}
	return t
}

func (t *table) add(r *request, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[r.kind]
	row.Sent++
	t.rep.Retries += res.retries
	t.rep.Resends += res.resends
	if r.key != "" {
		t.notRun[r.key] = res.notRun
		t.ran[r.key] = res.err == nil
	}
	if res.err == nil {
		row.count(res, t.cfg.deadline(r.kind))
		return
	}
	row.countError(res.err)
	if len(t.rep.Examples) < maxExamples {
		t.rep.Examples = append(t.rep.Examples, r.id+": "+res.err.Error())
	}
}

func (w *row) count(res result, deadline time.Duration) {
	if res.took <= deadline {
		w.OnTime++
	} else {
		w.Late++
	}
	record(w.whole, res.took)
	if res.times.first > 0 {
		record(w.first, res.times.first)
	}
	for _, d := range res.times.between {
		record(w.between, d)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxRecordedUS, max(1, d.Microseconds())))
}

func (w *row) countError(err error) {
	var ref *refusal
	switch {
	case errors.As(err, &ref):
		name := fmt.Sprintf("%d %s", ref.Code, ref.Name)
		switch code.Run(ref.Run) {
		case code.NotRun:
			w.Refused[name]++
		case code.Ran:
			w.Failed[name]++
		default:
			w.Unknown[name]++
		}
	case errors.Is(err, errUnreachable):
		w.Unreachable++
	case errors.Is(err, errCut):
		w.Cut++
	default:
		w.Wrong++
	}
}

func (t *table) report(took time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rep.Seconds = took.Seconds()
	for _, w := range t.rows {
		if w.Sent == 0 {
			continue
		}
		w.FirstToken, w.BetweenTokens, w.Duration = percentiles(w.first), percentiles(w.between), percentiles(w.whole)
		t.rep.Kinds = append(t.rep.Kinds, &w.Kind)
	}
	t.rep.Goodput = float64(t.rep.Total(func(k *Kind) int { return k.OnTime })) / took.Seconds()
	return &t.rep
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / usPerMS }
	return Percentiles{at(median), at(ninetyFifth), at(ninetyNinth), h.TotalCount()}
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, headingRow)
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(w, kindRowFormat, k.Name, k.Sent, k.OnTime, k.Late, sumOf(k.Refused), sumOf(k.Unknown),
			sumOf(k.Failed), k.Wrong, k.Cut, k.Unreachable, k.FirstToken, k.BetweenTokens, k.Duration)
	}
	_ = w.Flush()
	for _, k := range r.Kinds {
		printCodes(out, k.Name+" refused", k.Refused)
		printCodes(out, k.Name+" unknown", k.Unknown)
		printCodes(out, k.Name+" failed", k.Failed)
	}
	_, _ = fmt.Fprintf(out, "%.1f s, goodput %.1f whole answers on time a second, returned %d, resent %d\n",
		r.Seconds, r.Goodput, r.Retries, r.Resends)
	r.Audit.print(out)
	for _, e := range r.Examples {
		_, _ = fmt.Fprintln(out, "not whole:", e)
	}
}

func printCodes(out io.Writer, title string, codes map[string]int) {
	if len(codes) == 0 {
		return
	}
	parts := make([]string, 0, len(codes))
	for _, name := range slices.Sorted(maps.Keys(codes)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, codes[name]))
	}
	_, _ = fmt.Fprintf(out, "%s by code: %s\n", title, strings.Join(parts, ", "))
}
