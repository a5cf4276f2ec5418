package fold

import (
	"cmp"
	"maps"
	"slices"

	"fescuestand/internal/wire"
)

// Holding is the lease of one process on one scope (an engine).
type Holding struct {
	Scope  string
	Writer string // incarnation of the holding process
	VM     string
	// Token is the fencing token: the offset of the successful claim.
	Token uint64
	// Renewal is the offset of the last claim, heartbeat or release that changed the holding. A
	// claim on the scope must name the current Token and Renewal.
	Renewal  uint64
	Released bool // the holder gave it up: others may claim it immediately
}

// Authority is the state of the control stream: which process holds which engine.
//
// Failure: two processes hold one engine at the same time and send it conflicting orders. Therefore
// a claim succeeds only if the token and the last renewal of the holding are exactly those that the
// claimant saw before it concluded that the lease had expired. A renewal by the holder in the
// meantime, an earlier claim of another process and a claim that appears late in the log all change
// this pair. A pair never recurs, as offsets only grow. No clock is involved, so readers of the
// same prefix agree.
type Authority struct {
	firstOffset uint64
	lastApplied uint64
	established bool
	pending     []Item

	scopes         map[string]*Holding
	writers        map[string]*holder // those that hold a scope
	lastCheckpoint CheckpointPosition
	resetOffset    uint64 // offset of the newest record that reset the state
	disabled       disabledGuards
}

// holder is a writer that holds at least one scope.
type holder struct {
	seq    uint64 // sequence number of the last applied record
	offset uint64 // of that record
	scopes map[string]bool
}

// NewAuthority returns the state of a stream that is read from offset firstOffset.
func NewAuthority(firstOffset uint64) *Authority {
	firstOffset = max(firstOffset, 1)
	return &Authority{
		firstOffset: firstOffset, lastApplied: firstOffset - 1, established: firstOffset <= 1,
		scopes: map[string]*Holding{}, writers: map[string]*holder{},
	}
}

// Established reports whether the state is complete; see Config.Established.
func (a *Authority) Established() bool { return a.established }

// LastApplied returns the newest applied offset.
func (a *Authority) LastApplied() uint64 { return a.lastApplied }

// LastCheckpoint returns the position of the newest checkpoint.
func (a *Authority) LastCheckpoint() CheckpointPosition { return a.lastCheckpoint }

// Get returns the holding of a scope; ok is false if the scope has none.
func (a *Authority) Get(scope string) (h Holding, ok bool) {
	p, ok := a.scopes[scope]
	if !ok {
		return Holding{Scope: scope}, false
	}
	return *p, true
}

// Holds reports whether a writer holds any scope.
func (a *Authority) Holds(writer string) bool { return a.writers[writer] != nil }

// HeldBy returns the scopes that a writer holds, sorted.
func (a *Authority) HeldBy(writer string) []string {
	h := a.writers[writer]
	if h == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(h.scopes))
}

// Holdings returns all holdings, sorted by scope.
func (a *Authority) Holdings() []Holding {
	out := make([]Holding, 0, len(a.scopes))
	for _, name := range slices.Sorted(maps.Keys(a.scopes)) {
		out = append(out, *a.scopes[name])
	}
	return out
}

// Apply applies the next item. Items must come in log order.
func (a *Authority) Apply(it Item) {
	if it.Gap {
		lastCheckpoint, disabled := a.lastCheckpoint, a.disabled
		*a = *NewAuthority(it.Offset)
		a.lastCheckpoint, a.disabled = lastCheckpoint, disabled
		a.established = false
		return
	}
	a.lastApplied = it.Offset
	if cp := it.Entry.GetAuthorityCheckpoint(); cp != nil {
		a.applyCheckpoint(&it, cp)
		return
	}
	if !a.established {
		a.pending = append(a.pending, it)
		return
	}
	a.applyEntry(&it)
}

// applyEntry applies one item to a complete state.
//
// The records of a holder are applied in increasing order of their sequence numbers, as with Dedup.
// Records of other writers need no such filter: without a holding, a heartbeat or release has no
// effect, and a claim is checked by the token and renewal that it names.
func (a *Authority) applyEntry(it *Item) {
	if h := a.writers[it.Writer]; h != nil && !a.disabled.dedup {
		if it.Seq < h.seq || it.Seq == h.seq && it.Offset != h.offset {
			return
		}
		h.seq, h.offset = it.Seq, it.Offset
	}
	switch k := it.Entry.GetKind().(type) {
	case *wire.Entry_Claim:
		for _, s := range k.Claim.Scopes {
			a.applyClaim(it, s)
		}
	case *wire.Entry_Heartbeat:
		a.applyHeartbeat(it)
	case *wire.Entry_Release:
		for _, s := range k.Release.Scopes {
			a.applyRelease(it, s)
		}
	}
}

func (a *Authority) applyClaim(it *Item, s *wire.ScopeClaim) {
	cur := a.scopes[s.Scope]
	if cur == nil {
		cur = &Holding{Scope: s.Scope}
	}
	seen := cur.Token == s.SeenToken && (cur.Renewal == s.SeenRenewal || a.disabled.renewalCheck)
	if s.Scope == "" || !seen {
		return
	}
	a.removeScope(cur.Writer, s.Scope)
	a.scopes[s.Scope] = &Holding{
		Scope: s.Scope, Writer: it.Writer, VM: it.VM, Token: it.Offset, Renewal: it.Offset,
	}
	a.addHolder(it.Writer, it.Seq, it.Offset)[s.Scope] = true
}

// addHolder returns the scopes that a writer holds, and tracks the writer as a holder.
func (a *Authority) addHolder(writer string, seq, offset uint64) map[string]bool {
	h := a.writers[writer]
	if h == nil {
		h = &holder{seq: seq, offset: offset, scopes: map[string]bool{}}
		a.writers[writer] = h
	}
	return h.scopes
}

func (a *Authority) removeScope(writer, scope string) {
	h := a.writers[writer]
	if h == nil {
		return
	}
	delete(h.scopes, scope)
	if len(h.scopes) == 0 {
		delete(a.writers, writer)
	}
}

func (a *Authority) applyHeartbeat(it *Item) {
	h := a.writers[it.Writer]
	if h == nil {
		return
	}
	for scope := range h.scopes {
		a.scopes[scope].Renewal = it.Offset
	}
}

func (a *Authority) applyRelease(it *Item, scope string) {
	cur := a.scopes[scope]
	if cur == nil || cur.Writer != it.Writer || cur.Released {
		return
	}
	cur.Released, cur.Renewal = true, it.Offset
	a.removeScope(it.Writer, scope)
}

// applyCheckpoint takes the state from a checkpoint, unless the state is already complete. See
// Config.applyCheckpoint for the failure that the check of Upto prevents.
func (a *Authority) applyCheckpoint(it *Item, cp *wire.AuthorityCheckpoint) {
	if cp.Upto >= it.Offset {
		return
	}
	a.lastCheckpoint = CheckpointPosition{Offset: it.Offset, Time: it.Time}
	if cp.Begin {
		a.reset(it.Offset)
		return
	}
	if a.established || cp.Upto+1 < a.firstOffset && !a.disabled.gapCheck {
		return
	}
	a.established = true
	a.restore(cp)
	pending := a.pending
	a.pending = nil
	for i := range pending {
		if pending[i].Offset > cp.Upto {
			a.applyEntry(&pending[i])
		}
	}
}

// reset removes all holdings.
//
// Failure: all processes were down or disconnected for longer than the retention, the last
// checkpoint has expired, and no process can ever claim again. A process that finds no state and
// observes no renewals then resets the state. All readers apply the reset, including those with a
// complete state, so that they agree afterwards whatever state each had. The leases must be waited
// out for any orders that a former holder may still send.
func (a *Authority) reset(offset uint64) {
	a.established, a.resetOffset, a.pending = true, offset, nil
	a.scopes, a.writers = map[string]*Holding{}, map[string]*holder{}
}

// ResetOffset returns the offset of the newest record that reset the state, or 0 if there is none.
func (a *Authority) ResetOffset() uint64 { return a.resetOffset }

func (a *Authority) restore(cp *wire.AuthorityCheckpoint) {
	seqs := make(map[string]*wire.WriterSeq, len(cp.Writers))
	for _, w := range cp.Writers {
		seqs[w.Writer] = w
	}
	for _, h := range cp.Holdings {
		a.scopes[h.Scope] = &Holding{
			Scope: h.Scope, Writer: h.Writer, VM: h.Vm, Token: h.Token, Renewal: h.Renewal, Released: h.Released,
		}
		if !h.Released {
			m := seqs[h.Writer]
			a.addHolder(h.Writer, m.GetSeq(), m.GetOffset())[h.Scope] = true
		}
	}
}

// Checkpoint returns the state for new readers, or nil if it isn't complete. It must be called only
// when all items of a record have been applied.
func (a *Authority) Checkpoint() *wire.AuthorityCheckpoint {
	if !a.established {
		return nil
	}
	cp := &wire.AuthorityCheckpoint{Upto: a.lastApplied}
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
