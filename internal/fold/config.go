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
	// maxVerdicts bounds the verdicts kept. At the design size of 11,000
	// changes a day 512 of them reach back an hour, and a publisher that has
	// lost its answer asks within minutes.
	maxVerdicts = 512
	// maxPublishers bounds the writers whose overtaken records are recognised.
	// Every publish comes from a new process.
	maxPublishers = 512
	// maxDetail bounds the reasons kept with a verdict, in bytes: a sheet with
	// thousands of faults must not bloat every checkpoint after it.
	maxDetail = 2048
)

// AcceptedSheet is one accepted version of the sheet. It is immutable.
type AcceptedSheet struct {
	Version uint64 // offset of the publish that was accepted; 0 before the first
	Body    []byte
	Sheet   *sheet.Sheet
}

// Config is the fold of the config stream: which sheet is accepted.
//
// Failure: two operators publish at the same time, each from the version it
// saw, and the later one silently undoes the earlier. A publish is accepted
// iff it is valid and names the current version as its base, so that of any
// number of racing publishes the first in log order wins and the others are
// refused, with the same verdict at every reader.
type Config struct {
	from        uint64 // oldest offset read
	upto        uint64 // newest offset folded
	established bool   // the state is known, not only the records since from
	held        []Item // records that wait for a checkpoint

	cur       AcceptedSheet
	doc       *sheet.Document // of cur, nil until a patch needs it
	verdicts  []*wire.Verdict // oldest first
	dedup     *Dedup
	lastPoint CheckpointPosition
	off       guardsOff
}

// CheckpointPosition is where a checkpoint was last read.
type CheckpointPosition struct {
	Offset uint64
	Time   time.Time
}

// NewConfig returns the fold of a stream that is read from offset from on.
func NewConfig(from uint64) *Config {
	from = max(from, 1)
	return &Config{
		from: from, upto: from - 1, established: from <= 1,
		dedup: NewDedup(maxPublishers),
	}
}

// Established reports whether the state is known: the stream was read from its
// start, or a checkpoint was found whose successors are all read.
func (c *Config) Established() bool { return c.established }

// Current returns the accepted sheet, of version 0 if there is none.
func (c *Config) Current() AcceptedSheet { return c.cur }

// LastApplied returns the newest offset folded.
func (c *Config) LastApplied() uint64 { return c.upto }

// LastCheckpoint returns where the newest checkpoint stands.
func (c *Config) LastCheckpoint() CheckpointPosition { return c.lastPoint }

// Verdict returns what became of a publish, nil if nothing is known of it.
func (c *Config) Verdict(publishID string) *wire.Verdict {
	for _, v := range slices.Backward(c.verdicts) {
		if v.PublishId == publishID {
			return v
		}
	}
	return nil
}

// Verdicts returns the outcome of the newest publishes, oldest first.
func (c *Config) Verdicts() []*wire.Verdict { return slices.Clone(c.verdicts) }

// Apply folds the next item. Items come in the order of the log.
func (c *Config) Apply(it Item) {
	if it.Gap {
		last, off := c.lastPoint, c.off
		*c = *NewConfig(it.Offset)
		c.lastPoint, c.off = last, off
		c.established = false
		return
	}
	c.upto = it.Offset
	if cp := it.Entry.GetConfigCheckpoint(); cp != nil {
		c.checkpoint(&it, cp)
		return
	}
	if !c.established {
		c.held = append(c.held, it)
		return
	}
	c.step(&it)
}

// step folds one item into a known state.
func (c *Config) step(it *Item) {
	if !c.dedup.Accept(it) && !c.off.dedup {
		return
	}
	switch k := it.Entry.GetKind().(type) {
	case *wire.Entry_Sheet:
		c.publish(it.Offset, k.Sheet.Base, k.Sheet.PublishId, func() (*sheet.Document, error) {
			s, err := sheet.Parse("sheet", k.Sheet.Body)
			return sheet.NewDocument(k.Sheet.Body, s), err
		})
	case *wire.Entry_Patch:
		c.publish(it.Offset, k.Patch.Base, k.Patch.PublishId, func() (*sheet.Document, error) {
			if c.doc == nil {
				c.doc = sheet.NewDocument(c.cur.Body, c.cur.Sheet)
			}
			return c.doc.Patch(k.Patch.Body)
		})
	}
}

// publish judges one publish. A base at or above the publish's own offset is
// no version yet; refusing it keeps the verdict from depending on what that
// offset will hold.
func (c *Config) publish(offset, base uint64, id string, build func() (*sheet.Document, error)) {
	if id != "" && c.Verdict(id) != nil {
		return
	}
	if base != c.cur.Version && !c.off.base {
		c.refuse(offset, id, code.RacingPublish, fmt.Sprintf("replaces version %d; version %d is in force", base, c.cur.Version))
		return
	}
	doc, err := build()
	if err != nil {
		why := code.BadSheet
		var bad *sheet.ErrPatch
		if errors.As(err, &bad) {
			why = code.BadPatch
		}
		c.refuse(offset, id, why, err.Error())
		return
	}
	c.doc = doc
	c.cur = AcceptedSheet{Version: offset, Body: doc.Body(), Sheet: doc.Sheet()}
	c.judge(&wire.Verdict{PublishId: id, Offset: offset, Accepted: true})
}

func (c *Config) refuse(offset uint64, id string, why code.Code, detail string) {
	if len(detail) > maxDetail {
		detail = string(bytes.ToValidUTF8([]byte(detail[:maxDetail]), nil)) + "…"
	}
	detail = string(bytes.ToValidUTF8([]byte(detail), []byte("?")))
	c.judge(&wire.Verdict{PublishId: id, Offset: offset, Code: uint32(why), Detail: detail})
}

func (c *Config) judge(v *wire.Verdict) {
	if len(c.verdicts) == maxVerdicts {
		c.verdicts = slices.Delete(c.verdicts, 0, 1)
	}
	c.verdicts = append(c.verdicts, v)
}

// checkpoint takes the state from a checkpoint, unless it is already known.
//
// Failure: a checkpoint whose append was slow appears after newer publishes
// whose records have expired. Taken as the state it would let a reader that
// starts now accept a publish that everyone else refused. It counts only if
// every record after the one it stands for was read; those are folded again
// on top of it.
func (c *Config) checkpoint(it *Item, cp *wire.ConfigCheckpoint) {
	if cp.Upto >= it.Offset {
		return
	}
	c.lastPoint = CheckpointPosition{Offset: it.Offset, Time: it.Time}
	if c.established || cp.Upto+1 < c.from && !c.off.gapCheck {
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
	c.cur, c.verdicts, c.established = next, slices.Clone(cp.Recent), true
	c.dedup.Restore(cp.Writers)
	held := c.held
	c.held = nil
	for i := range held {
		if held[i].Offset > cp.Upto {
			c.step(&held[i])
		}
	}
}

// Checkpoint returns the state for a new reader, nil while it isn't known. It
// may be called after whole records only.
func (c *Config) Checkpoint() *wire.ConfigCheckpoint {
	if !c.established {
		return nil
	}
	return &wire.ConfigCheckpoint{
		Version: c.cur.Version, Body: c.cur.Body, Upto: c.upto,
		Recent: slices.Clone(c.verdicts), Writers: c.dedup.WriterSeqs(),
	}
}
