package fold

import (
	"slices"
	"strings"

	"fescuestand/internal/wire"
)

// Dedup drops records that a later record of the same writer has overtaken.
//
// Failure: the answer to an append is lost. The writer retries the record, or abandons it and
// continues with others, and the first copy appears in the log minutes later. It would be applied
// twice, or applied after it was reported as abandoned. Therefore the records of a writer are
// applied only in increasing order of their sequence numbers: a record whose number isn't above the
// last applied one is dropped. Retries are thus harmless, and an abandoned record can't take effect
// any more once a later one of its writer precedes it in the log.
//
// It tracks the writers with the most recent records. The zero value is not usable.
type Dedup struct {
	maxWriters int
	records    map[string]*lastRecord
}

// lastRecord is the last record of a writer that was applied.
type lastRecord struct {
	seq    uint64
	offset uint64
}

// NewDedup returns a filter that tracks up to maxWriters writers.
func NewDedup(maxWriters int) *Dedup {
	return &Dedup{maxWriters: maxWriters, records: map[string]*lastRecord{}}
}

// Accept reports whether the item is to be applied, and records it if so. All items of one envelope
// are accepted together.
func (d *Dedup) Accept(it *Item) bool {
	m, tracked := d.records[it.Writer]
	switch {
	case !tracked:
		d.records[it.Writer] = &lastRecord{seq: it.Seq, offset: it.Offset}
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

// evict removes the writer whose last record is the oldest. It compares offsets, so that every
// reader evicts the same writer.
func (d *Dedup) evict() {
	if len(d.records) <= d.maxWriters {
		return
	}
	var oldest string
	lowest := ^uint64(0)
	for w, m := range d.records {
		if m.offset < lowest {
			oldest, lowest = w, m.offset
		}
	}
	delete(d.records, oldest)
}

// WriterSeqs returns the tracked writers for a checkpoint, sorted by writer.
func (d *Dedup) WriterSeqs() []*wire.WriterSeq {
	out := make([]*wire.WriterSeq, 0, len(d.records))
	for w, m := range d.records {
		out = append(out, &wire.WriterSeq{Writer: w, Seq: m.seq, Offset: m.offset})
	}
	slices.SortFunc(out, func(a, b *wire.WriterSeq) int { return strings.Compare(a.Writer, b.Writer) })
	return out
}

// Restore replaces the tracked writers by those of a checkpoint.
func (d *Dedup) Restore(seqs []*wire.WriterSeq) {
	d.records = make(map[string]*lastRecord, len(seqs))
	for _, m := range seqs {
		d.records[m.Writer] = &lastRecord{seq: m.Seq, offset: m.Offset}
	}
}
