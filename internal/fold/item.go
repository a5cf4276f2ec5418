// Package fold holds the state machines that are computed from the log streams. A state depends
// only on the records of its stream, not on clocks, randomness or I/O, so every process that has
// read the same prefix has the same state.
//
// Problem: records expire, so a process can seldom read a stream from its first record.
//
// Approach: a reader starts at the oldest record that the log still has, buffers the entries that
// it can't apply yet, and takes the state from the first checkpoint after which it has read every
// record. See Config and Authority.
//
// Concurrency: the types have no locks; each value belongs to one goroutine.
package fold

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuestand/internal/wire"
)

// envelopeFormat is the newest envelope format that this program can read.
const envelopeFormat = 1

// ErrUnknownFormat means that a newer program wrote the record in a format that this one can't
// read.
var ErrUnknownFormat = errors.New("unknown envelope format")

// Item is one entry of a stream together with the fields of its envelope.
type Item struct {
	Offset uint64
	Index  int       // position in the envelope
	Time   time.Time // set by the log service
	Writer string    // incarnation of the writing process
	VM     string
	Seq    uint64
	Entry  *wire.Entry // nil in a Gap marker
	// Gap marks that all records between the previous item and Offset expired before they were
	// read. The state can't be continued, so the fold starts over.
	Gap bool
}

// Decode splits one record of a stream into its items.
func Decode(offset uint64, at time.Time, data []byte) ([]Item, error) {
	var env wire.Envelope
	if err := proto.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("record %d: %w", offset, err)
	}
	if env.Format != envelopeFormat {
		return nil, fmt.Errorf("record %d: %w %d", offset, ErrUnknownFormat, env.Format)
	}
	items := make([]Item, 0, len(env.Entries))
	for i, e := range env.Entries {
		items = append(items, Item{
			Offset: offset, Index: i, Time: at, Writer: env.Writer, VM: env.Vm, Seq: env.Seq, Entry: e,
		})
	}
	return items, nil
}

// Encode returns the record of one append.
func Encode(writer, vm string, seq uint64, entries []*wire.Entry) ([]byte, error) {
	return proto.Marshal(&wire.Envelope{Format: envelopeFormat, Writer: writer, Vm: vm, Seq: seq, Entries: entries})
}

// disabledGuards disables single guards, so that tests can show the failure that each one prevents.
// Only tests set it.
type disabledGuards struct {
	baseCheck    bool // true: a publish is accepted on any base
	dedup        bool // true: records that a later one of their writer has overtaken are applied
	gapCheck     bool // true: a checkpoint is used even if records after it were not read
	renewalCheck bool // true: a claim is checked against the token only
}
