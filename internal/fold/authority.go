package fold

import (
	"cmp"
	"maps"
	"slices"

	"fescuestand/internal/wire"
)

// Holding says who has the authority over one scope.
type Holding struct {
	Scope  string
	Writer string // incarnation of the holding process
	VM     string
	// Token is the fencing token: the offset of the claim that won.
	Token uint64
	// Renewal is the offset of the claim, heartbeat or release that last
	// touched the holding. A claim against it has to name Token and Renewal.
	Renewal  uint64
	Released bool // given up: it may be claimed at once
}

// Authority is the fold of the control stream: which process holds which
// engine.
//
// Failure: two processes hold one engine at once and send it conflicting
// orders. A claim wins iff the holding's token and last renewal are exactly
// those that the claimant saw before it concluded that the lease had lapsed.
// A holder that renewed in the meantime, another claimant that came first and
// a claim that appears late in the log all change that pair, which never
// recurs since offsets only grow. No clock takes part, so that readers of the
// same prefix agree.
type Authority struct {
	from        uint64
	upto        uint64
	established bool
	held        []Item

	scopes    map[string]*Holding
	writers   map[string]*holder // those that hold a scope
	lastPoint CheckpointPosition
	begun     uint64 // offset of the newest record that began the state anew
	off       guardsOff
}

type holder struct {
	seq    uint64 // last record that counted
	offset uint64 // of that record
	scopes map[string]bool
}

// NewAuthority returns the fold of a stream that is read from offset from on.
func NewAuthority(from uint64) *Authority {
	from = max(from, 1)
	return &Authority{
		from: from, upto: from - 1, established: from <= 1,
		scopes: map[string]*Holding{}, writers: map[string]*holder{},
	}
}

// Established reports whether the state is known; see Config.Established.
func (a *Authority) Established() bool { return a.established }

// LastApplied returns the newest offset folded.
func (a *Authority) LastApplied() uint64 { return a.upto }

// LastCheckpoint returns where the newest checkpoint stands.
func (a *Authority) LastCheckpoint() CheckpointPosition { return a.lastPoint }

// Get returns the holding of a scope; ok is false if nobody ever held it.
func (a *Authority) Get(scope string) (h Holding, ok bool) {
	p, ok := a.scopes[scope]
	if !ok {
		return Holding{Scope: scope}, false
	}
	return *p, true
}

// Holds reports whether a writer holds any scope.
func (a *Authority) Holds(writer string) bool { return a.writers[writer] != nil }

// HeldBy returns the scopes that a writer holds, in order.
func (a *Authority) HeldBy(writer string) []string {
	h := a.writers[writer]
	if h == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(h.scopes))
}

// Holdings returns every holding by scope.
func (a *Authority) Holdings() []Holding {
	out := make([]Holding, 0, len(a.scopes))
	for _, name := range slices.Sorted(maps.Keys(a.scopes)) {
		out = append(out, *a.scopes[name])
	}
	return out
}

// Apply folds the next item. Items come in the order of the log.
func (a *Authority) Apply(it Item) {
	if it.Gap {
		last, off := a.lastPoint, a.off
		*a = *NewAuthority(it.Offset)
		a.lastPoint, a.off = last, off
		a.established = false
		return
	}
	a.upto = it.Offset
	if cp := it.Entry.GetAuthorityCheckpoint(); cp != nil {
		a.checkpoint(&it, cp)
		return
	}
	if !a.established {
		a.held = append(a.held, it)
		return
	}
	a.step(&it)
}

// step folds one item into a known state.
//
// The records of a holder count in the order of their numbers, like those that
// pass Dedup. Others need no such filter: without a holding a heartbeat and a
// release change nothing, and a claim is judged by the pair it names.
func (a *Authority) step(it *Item) {
	if h := a.writers[it.Writer]; h != nil && !a.off.dedup {
		if it.Seq < h.seq || it.Seq == h.seq && it.Offset != h.offset {
			return
		}
		h.seq, h.offset = it.Seq, it.Offset
	}
	switch k := it.Entry.GetKind().(type) {
	case *wire.Entry_Claim:
		for _, s := range k.Claim.Scopes {
			a.claim(it, s)
		}
	case *wire.Entry_Heartbeat:
		a.renew(it)
	case *wire.Entry_Release:
		for _, s := range k.Release.Scopes {
			a.release(it, s)
		}
	}
}

func (a *Authority) claim(it *Item, s *wire.ScopeClaim) {
	cur := a.scopes[s.Scope]
	if cur == nil {
		cur = &Holding{Scope: s.Scope}
	}
	seen := cur.Token == s.SeenToken && (cur.Renewal == s.SeenRenewal || a.off.renewal)
	if s.Scope == "" || !seen {
		return
	}
	a.drop(cur.Writer, s.Scope)
	a.scopes[s.Scope] = &Holding{
		Scope: s.Scope, Writer: it.Writer, VM: it.VM, Token: it.Offset, Renewal: it.Offset,
	}
	a.hold(it.Writer, it.Seq, it.Offset)[s.Scope] = true
}

// hold returns the scopes of a writer, which counts as a holder from now on.
func (a *Authority) hold(writer string, seq, offset uint64) map[string]bool {
	h := a.writers[writer]
	if h == nil {
		h = &holder{seq: seq, offset: offset, scopes: map[string]bool{}}
		a.writers[writer] = h
	}
	return h.scopes
}

func (a *Authority) drop(writer, scope string) {
	h := a.writers[writer]
	if h == nil {
		return
	}
	delete(h.scopes, scope)
	if len(h.scopes) == 0 {
		delete(a.writers, writer)
	}
}

func (a *Authority) renew(it *Item) {
	h := a.writers[it.Writer]
	if h == nil {
		return
	}
	for scope := range h.scopes {
		a.scopes[scope].Renewal = it.Offset
	}
}

func (a *Authority) release(it *Item, scope string) {
	cur := a.scopes[scope]
	if cur == nil || cur.Writer != it.Writer || cur.Released {
		return
	}
	cur.Released, cur.Renewal = true, it.Offset
	a.drop(it.Writer, scope)
}

// checkpoint takes the state from a checkpoint, unless it is already known;
// see Config.checkpoint for the failure that the test on Upto guards against.
func (a *Authority) checkpoint(it *Item, cp *wire.AuthorityCheckpoint) {
	if cp.Upto >= it.Offset {
		return
	}
	a.lastPoint = CheckpointPosition{Offset: it.Offset, Time: it.Time}
	if cp.Begin {
		a.begin(it.Offset)
		return
	}
	if a.established || cp.Upto+1 < a.from && !a.off.gapCheck {
		return
	}
	a.established = true
	a.restore(cp)
	held := a.held
	a.held = nil
	for i := range held {
		if held[i].Offset > cp.Upto {
			a.step(&held[i])
		}
	}
}

// begin ends every holding.
//
// Failure: every process was gone, or cut off, for longer than the retention;
// the last checkpoint has expired and nobody can ever claim again. A process
// that finds no state and hears nobody renew begins anew. All readers obey,
// those that know a state too, so that all agree afterwards whatever each knew;
// what a former holder may still do is for the leases to wait out.
func (a *Authority) begin(offset uint64) {
	a.established, a.begun, a.held = true, offset, nil
	a.scopes, a.writers = map[string]*Holding{}, map[string]*holder{}
}

// ResetOffset returns the offset of the newest record that began the state anew, 0
// if there is none.
func (a *Authority) ResetOffset() uint64 { return a.begun }

func (a *Authority) restore(cp *wire.AuthorityCheckpoint) {
	marks := make(map[string]*wire.WriterSeq, len(cp.Writers))
	for _, w := range cp.Writers {
		marks[w.Writer] = w
	}
	for _, h := range cp.Holdings {
		a.scopes[h.Scope] = &Holding{
			Scope: h.Scope, Writer: h.Writer, VM: h.Vm, Token: h.Token, Renewal: h.Renewal, Released: h.Released,
		}
		if !h.Released {
			m := marks[h.Writer]
			a.hold(h.Writer, m.GetSeq(), m.GetOffset())[h.Scope] = true
		}
	}
}

// Checkpoint returns the state for a new reader, nil while it isn't known. It
// may be called after whole records only.
func (a *Authority) Checkpoint() *wire.AuthorityCheckpoint {
	if !a.established {
		return nil
	}
	cp := &wire.AuthorityCheckpoint{Upto: a.upto}
	for _, h := range a.Holdings() {
		cp.Holdings = append(cp.Holdings, &wire.Holding{
			Scope: h.Scope, Writer: h.Writer, Vm: h.VM, Token: h.Token, Renewal: h.Renewal, Released: h.Released,
		})
	}
	for w, h := range a.writers {
		cp.Writers = append(cp.Writers, &wire.WriterSeq{Writer: w, Seq: h.seq, Offset: h.offset})
	}
	slices.SortFunc(cp.Writers, func(x, y *wire.WriterSeq) int { return cmp.Compare(x.Writer, y.Writer) })
	return cp
}
