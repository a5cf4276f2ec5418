package fold

import (
	"slices"
	"strings"

	"fescuestand/internal/wire"
)

// Dedup drops records that a writer's later record has overtaken.
//
// Failure: an append's answer is lost, the writer sends the record again or
// gives it up and goes on, and the first copy appears in the log minutes
// later. It would then count twice, or count after its writer was told to
// forget it. A writer's records count in the order of their numbers only: one
// that isn't above the last that counted is dropped. So a repeat is harmless,
// and a writer that gave a record up knows it dead once a later one of its own
// stands in the log.
//
// It remembers the writers heard most recently. The zero value is not usable.
type Dedup struct {
	limit int
	last  map[string]*mark
}

type mark struct {
	seq    uint64
	offset uint64
}

// NewDedup returns a filter that remembers limit writers.
func NewDedup(limit int) *Dedup {
	return &Dedup{limit: limit, last: map[string]*mark{}}
}

// Accept reports whether the item counts, and remembers it if so. The items of
// one envelope count together.
func (d *Dedup) Accept(it *Item) bool {
	m, known := d.last[it.Writer]
	switch {
	case !known:
		d.last[it.Writer] = &mark{seq: it.Seq, offset: it.Offset}
		d.evict()
		return true
	case it.Offset == m.offset && it.Seq == m.seq:
		return true
	case it.Seq <= m.seq:
		return false
	}
	m.seq, m.offset = it.Seq, it.Offset
	return true
}

// evict forgets the writer that has been silent for longest. Offsets decide,
// so that every reader forgets the same one.
func (d *Dedup) evict() {
	if len(d.last) <= d.limit {
		return
	}
	var oldest string
	low := ^uint64(0)
	for w, m := range d.last {
		if m.offset < low {
			oldest, low = w, m.offset
		}
	}
	delete(d.last, oldest)
}

// WriterSeqs returns what a checkpoint has to carry, in the order of the writers.
func (d *Dedup) WriterSeqs() []*wire.WriterSeq {
	out := make([]*wire.WriterSeq, 0, len(d.last))
	for w, m := range d.last {
		out = append(out, &wire.WriterSeq{Writer: w, Seq: m.seq, Offset: m.offset})
	}
	slices.SortFunc(out, func(a, b *wire.WriterSeq) int { return strings.Compare(a.Writer, b.Writer) })
	return out
}

// Restore replaces the filter's memory by a checkpoint's.
func (d *Dedup) Restore(marks []*wire.WriterSeq) {
	d.last = make(map[string]*mark, len(marks))
	for _, m := range marks {
		d.last[m.Writer] = &mark{seq: m.Seq, offset: m.Offset}
	}
}
