package fold

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

const (
	// maxVerdicts bounds the stored verdicts. At the design size of 11,000 changes a day, 512
	// verdicts cover an hour, and a publisher that lost its answer asks within minutes.
	maxVerdicts = 512
	// maxPublishers bounds the writers that are tracked for deduplication. Every publish comes from
	// a new process.
	maxPublishers = 512
	// maxDetailBytes bounds the reason stored with a verdict: a sheet with thousands of errors must
	// not inflate every later checkpoint.
	maxDetailBytes = 2048
)

// AcceptedSheet is one accepted version of the sheet. It is immutable.
type AcceptedSheet struct {
	Version uint64 // offset of the accepted publish; 0 before the first one
	Body    []byte
	Sheet   *sheet.Sheet
}

// Config is the state of the config stream: which sheet is accepted, and the verdicts on the newest
// publishes.
//
// Failure: two operators publish at the same time, each based on the version it read, and the later
// one silently reverts the earlier. Therefore a publish is accepted only if it is valid and names
// the current version as its base. Of several concurrent publishes the first in log order wins and
// the others are rejected, with the same verdict at every reader.
type Config struct {
	firstOffset uint64 // oldest offset that is read
	lastApplied uint64 // newest applied offset
	established bool   // the state is complete, not only built from the records since firstOffset
	pending     []Item // records that wait for a checkpoint

	current        AcceptedSheet
	doc            *sheet.Document // parsed form of current; nil until a patch needs it
	verdicts       []*wire.Verdict // oldest first
	dedup          *Dedup
	lastCheckpoint CheckpointPosition
	disabled       disabledGuards
}

// CheckpointPosition is the place of a checkpoint in the log and the time of its append.
type CheckpointPosition struct {
	Offset uint64
	Time   time.Time
}

// NewConfig returns the state of a stream that is read from offset firstOffset.
func NewConfig(firstOffset uint64) *Config {
	firstOffset = max(firstOffset, 1)
	return &Config{
		firstOffset: firstOffset, lastApplied: firstOffset - 1, established: firstOffset <= 1,
		dedup: NewDedup(maxPublishers),
	}
}

// Established reports whether the state is complete: the stream was read from its start, or from a
// checkpoint after which every record was read.
func (c *Config) Established() bool { return c.established }

// Current returns the accepted sheet; its version is 0 if there is none.
func (c *Config) Current() AcceptedSheet { return c.current }

// LastApplied returns the newest applied offset.
func (c *Config) LastApplied() uint64 { return c.lastApplied }

// LastCheckpoint returns the position of the newest checkpoint.
func (c *Config) LastCheckpoint() CheckpointPosition { return c.lastCheckpoint }

// Verdict returns the verdict on a publish, or nil if none is stored.
func (c *Config) Verdict(publishID string) *wire.Verdict {
	for _, v := range slices.Backward(c.verdicts) {
		if v.PublishId == publishID {
			return v
		}
	}
	return nil
}

// Verdicts returns the verdicts on the newest publishes, oldest first.
func (c *Config) Verdicts() []*wire.Verdict { return slices.Clone(c.verdicts) }

// Apply applies the next item. Items must come in log order.
func (c *Config) Apply(it Item) {
	if it.Gap {
		lastCheckpoint, disabled := c.lastCheckpoint, c.disabled
		*c = *NewConfig(it.Offset)
		c.lastCheckpoint, c.disabled = lastCheckpoint, disabled
		c.established = false
		return
	}
	c.lastApplied = it.Offset
	if cp := it.Entry.GetConfigCheckpoint(); cp != nil {
		c.applyCheckpoint(&it, cp)
		return
	}
	if !c.established {
		c.pending = append(c.pending, it)
		return
	}
	c.applyEntry(&it)
}

// applyEntry applies one item to a complete state.
func (c *Config) applyEntry(it *Item) {
	if !c.dedup.Accept(it) && !c.disabled.dedup {
		return
	}
	switch k := it.Entry.GetKind().(type) {
	case *wire.Entry_Sheet:
		c.applyPublish(it.Offset, k.Sheet.Base, k.Sheet.PublishId, func() (*sheet.Document, error) {
			s, err := sheet.Parse("sheet", k.Sheet.Body)
			return sheet.NewDocument(k.Sheet.Body, s), err
		})
	case *wire.Entry_Patch:
		c.applyPublish(it.Offset, k.Patch.Base, k.Patch.PublishId, func() (*sheet.Document, error) {
			if c.doc == nil {
				c.doc = sheet.NewDocument(c.current.Body, c.current.Sheet)
			}
			return c.doc.Patch(k.Patch.Body)
		})
	}
}

// applyPublish accepts or rejects one publish. A base at or above the offset of the publish itself
// isn't a version yet; it is rejected so that the verdict doesn't depend on the record that will be
// at that offset.
func (c *Config) applyPublish(offset, base uint64, id string, build func() (*sheet.Document, error)) {
	if id != "" && c.Verdict(id) != nil {
		return
	}
	if base != c.current.Version && !c.disabled.baseCheck {
		c.reject(offset, id, code.RacingPublish, fmt.Sprintf("replaces version %d; version %d is in force", base, c.current.Version))
		return
	}
	doc, err := build()
	if err != nil {
		reason := code.BadSheet
		var patchErr *sheet.PatchError
		if errors.As(err, &patchErr) {
			reason = code.BadPatch
		}
		c.reject(offset, id, reason, err.Error())
		return
	}
	c.doc = doc
	c.current = AcceptedSheet{Version: offset, Body: doc.Body(), Sheet: doc.Sheet()}
	c.recordVerdict(&wire.Verdict{PublishId: id, Offset: offset, Accepted: true})
}

func (c *Config) reject(offset uint64, id string, reason code.Code, detail string) {
	if len(detail) > maxDetailBytes {
		detail = string(bytes.ToValidUTF8([]byte(detail[:maxDetailBytes]), nil)) + "…"
	}
	detail = string(bytes.ToValidUTF8([]byte(detail), []byte("?")))
	c.recordVerdict(&wire.Verdict{PublishId: id, Offset: offset, Code: uint32(reason), Detail: detail})
}

func (c *Config) recordVerdict(v *wire.Verdict) {
	if len(c.verdicts) == maxVerdicts {
		c.verdicts = slices.Delete(c.verdicts, 0, 1)
	}
	c.verdicts = append(c.verdicts, v)
}

// applyCheckpoint takes the state from a checkpoint, unless the state is already complete.
//
// Failure: the append of a checkpoint is slow, and it appears in the log after newer publishes
// whose records have since expired. A reader that starts now and uses it as its state would accept
// a publish that all other readers rejected. Therefore a checkpoint is used only if every record
// after the state that it holds was read; those records are then applied on top of it.
func (c *Config) applyCheckpoint(it *Item, cp *wire.ConfigCheckpoint) {
	if cp.Upto >= it.Offset {
		return
	}
	c.lastCheckpoint = CheckpointPosition{Offset: it.Offset, Time: it.Time}
	if c.established || cp.Upto+1 < c.firstOffset && !c.disabled.gapCheck {
		return
	}
	next := AcceptedSheet{Version: cp.Version, Body: cp.Body}
	if cp.Version > 0 {
		s, err := sheet.Parse("checkpoint", cp.Body)
		if err != nil {
			return
		}
		next.Sheet = s
	}
	c.doc = nil
	c.current, c.verdicts, c.established = next, slices.Clone(cp.Recent), true
	c.dedup.Restore(cp.Writers)
	pending := c.pending
	c.pending = nil
	for i := range pending {
		if pending[i].Offset > cp.Upto {
			c.applyEntry(&pending[i])
		}
	}
}

// Checkpoint returns the state for new readers, or nil if it isn't complete. It must be called only
// when all items of a record have been applied.
func (c *Config) Checkpoint() *wire.ConfigCheckpoint {
	if !c.established {
		return nil
	}
	return &wire.ConfigCheckpoint{
		Version: c.current.Version, Body: c.current.Body, Upto: c.lastApplied,
		Recent: slices.Clone(c.verdicts), Writers: c.dedup.WriterSeqs(),
	}
}
