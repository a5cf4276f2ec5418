package usage

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/network"
	"fescuestand/internal/peerhttp"
	"fescuestand/internal/wire"
)

// Path is the HTTP path at which a VM serves its ledger.
const Path = "/usage"

const (
	// gatherTimeout bounds the query to one VM, and maxConcurrentQueries how many VMs are queried at
	// a time.
	gatherTimeout        = 600 * time.Millisecond
	maxConcurrentQueries = 8
	// maxAnswerBytes bounds the answer of a VM.
	maxAnswerBytes = 4 << 20
)

// Handler is an http.Handler that serves the totals of all processes to other VMs.
type Handler struct {
	Ledger  *Ledger
	Process string // name of this process
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	book := &wire.UsageBook{Decided: Encode(h.Ledger.AllDecided())}
	for process, windows := range h.Ledger.TotalsByProcess(h.Process) {
		book.Processes = append(book.Processes, &wire.UsageTotals{Process: process, Windows: Encode(windows)})
	}
	data, err := proto.Marshal(book)
	if err != nil {
		log.WithError(err).Error("usage encoding failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	peerhttp.Write(w, data)
}

// Gatherer merges the ledgers of other VMs: a VM that becomes leader may not have received the last
// totals of VMs that have stopped since, nor the counts that earlier leaders have decided.
type Gatherer struct {
	Ledger  *Ledger
	Process string          // name of this process
	VMs     func() []string // addresses of the VMs to query
	peers   *peerhttp.Client
}

// NewGatherer returns a gatherer that queries VMs over n and merges into l; process is the name of this process.
func NewGatherer(n network.Network, l *Ledger, process string, vms func() []string) *Gatherer {
	return &Gatherer{Ledger: l, Process: process, VMs: vms, peers: peerhttp.New(n)}
}

// Gather queries all VMs once and merges their answers.
func (g *Gatherer) Gather(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentQueries)
	for _, vm := range g.VMs() {
		group.Go(func() error {
			g.query(ctx, vm)
			return nil
		})
	}
	_ = group.Wait() // other VMs may have the totals of a VM that didn't answer
}

func (g *Gatherer) query(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	err := g.merge(ctx, vm)
	if err != nil {
		log.WithError(err).WithField("vm", vm).Warn("usage query failed")
	}
}

// merge merges the ledger of one VM.
func (g *Gatherer) merge(ctx context.Context, vm string) error {
	data, err := g.peers.Get(ctx, vm, Path, maxAnswerBytes)
	if err != nil {
		return err
	}
	book := &wire.UsageBook{}
	if err := proto.Unmarshal(data, book); err != nil {
		return err
	}
	for _, w := range book.GetDecided() {
		g.Ledger.SetDecided(decode(w))
	}
	for _, p := range book.GetProcesses() {
		if p.GetProcess() != g.Process {
			g.Ledger.MergeWindows(p.GetProcess(), p.GetWindows())
		}
	}
	return nil
}

// Encode returns totals as VMs send them to each other.
func Encode(totals []Totals) []*wire.UsageWindow {
	out := make([]*wire.UsageWindow, 0, len(totals))
	for _, t := range totals {
		w := &wire.UsageWindow{Window: t.Window}
		for name, n := range t.Counts {
			w.Workspace = append(w.Workspace, name)
			w.Requests = append(w.Requests, n)
		}
		out = append(out, w)
	}
	return out
}

func decode(w *wire.UsageWindow) Totals {
	requests := w.GetRequests()
	counts := make(Counts, len(requests))
	for i, name := range w.GetWorkspace() {
		if i < len(requests) {
			counts[name] = requests[i]
		}
	}
	return Totals{w.GetWindow(), counts}
}

// MergeWindows merges totals of another process, as VMs send them to each other.
func (l *Ledger) MergeWindows(process string, windows []*wire.UsageWindow) {
	for _, w := range windows {
		l.MergeTotals(process, decode(w))
	}
}
