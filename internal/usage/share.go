package usage

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/peerhttp"
	"fescuestand/internal/wire"
)

// Path is where a VM answers for the totals that it knows.
const Path = "/usage"

const (
	// gatherTimeout bounds the question to one VM, and gatherers how many are asked
	// at a time.
	gatherTimeout = 600 * time.Millisecond
	gatherers     = 8
	// maxBook bounds an answer.
	maxBook = 4 << 20
)

// Handler is an http.Handler that gives the known totals to other VMs.
type Handler struct {
	Ledger  *Ledger
	Process string // name of this process
}

// ServeHTTP implements http.Handler.
func (s *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	book := &wire.UsageBook{}
	for process, windows := range s.Ledger.TotalsByProcess(s.Process) {
		book.Processes = append(book.Processes, &wire.UsageTotals{Process: process, Windows: Encode(windows)})
	}
	data, err := proto.Marshal(book)
	if err != nil {
		log.WithError(err).Error("usage not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A VM that has gone needs no answer.
	_, _ = w.Write(data)
}

// Gatherer asks other VMs for what they know: a VM that is dealt the duty may not have
// been told what those counted that have stopped since.
type Gatherer struct {
	Ledger  *Ledger
	Process string          // name of this process
	VMs     func() []string // addresses of those that may know
	peers   *peerhttp.Client
}

// NewGatherer returns a gatherer for b.
func NewGatherer(b *Ledger, own string, vms func() []string) *Gatherer {
	return &Gatherer{Ledger: b, Process: own, VMs: vms, peers: peerhttp.New()}
}

// Gather asks all of them once.
func (g *Gatherer) Gather(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(gatherers)
	for _, vm := range g.VMs() {
		group.Go(func() error {
			g.ask(ctx, vm)
			return nil
		})
	}
	_ = group.Wait() // what one doesn't tell another may
}

func (g *Gatherer) ask(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	err := g.peers.Get(ctx, vm, Path, func(body io.Reader) error {
		data, err := io.ReadAll(io.LimitReader(body, maxBook))
		if err != nil {
			return err
		}
		book := &wire.UsageBook{}
		if err := proto.Unmarshal(data, book); err != nil {
			return err
		}
		for _, p := range book.GetProcesses() {
			if p.GetProcess() != g.Process {
				g.Ledger.MergeWindows(p.GetProcess(), p.GetWindows())
			}
		}
		return nil
	})
	if err != nil {
		log.WithError(err).WithField("vm", vm).Warn("usage not gathered")
	}
}

// Encode writes totals as VMs tell them.
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

// MergeWindows takes totals as another process has told them.
func (b *Ledger) MergeWindows(process string, windows []*wire.UsageWindow) {
	for _, w := range windows {
		requests := w.GetRequests()
		counts := make(Counts, len(requests))
		for i, name := range w.GetWorkspace() {
			if i < len(requests) {
				counts[name] = requests[i]
			}
		}
		b.MergeTotals(process, Totals{w.GetWindow(), counts})
	}
}
