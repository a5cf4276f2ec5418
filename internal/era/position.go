package era

import "cmp"

// Position is the place of a record in one of the store's logs, or the end of a log.
type Position struct {
	Era    Era
	Offset int64
}

// Compare orders positions. Each position of a later era is after all positions of earlier ones: the
// store gives the offsets of the records that a restore has undone to new records.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
