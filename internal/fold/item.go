// Package fold holds the state machines over the log streams. A state is a
// function of the stream's records alone: no clock, no randomness and no I/O,
// so that every process that has read the same prefix holds the same state.
//
// A process seldom reads a stream from its first record, since records expire.
// It starts at the oldest one kept, holds what it can't judge yet, and takes
// the state from the first checkpoint whose gap to the records it has read is
// empty; see Config and Authority.
package fold

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuestand/internal/wire"
)

// formatNow is the newest envelope format that this program understands.
const formatNow = 1

// ErrUnknownFormat means that a newer program wrote the record in a way that this one
// can't read.
var ErrUnknownFormat = errors.New("unknown envelope format")

// Item is one entry of a stream with what its envelope says of it.
type Item struct {
	Offset uint64
	Index  int       // place in the envelope
	Time   time.Time // set by the log service
	Writer string    // incarnation of the writing process
	VM     string
	Seq    uint64
	Entry  *wire.Entry // nil in a Gap marker
	// Gap marks that everything between the previous item and Offset expired
	// unread. The state so far no longer continues; a fold starts again.
	Gap bool
}

// Decode splits one record of a stream into its items.
func Decode(offset uint64, at time.Time, data []byte) ([]Item, error) {
	var env wire.Envelope
	if err := proto.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("record %d: %w", offset, err)
	}
	if env.Format != formatNow {
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
	return proto.Marshal(&wire.Envelope{Format: formatNow, Writer: writer, Vm: vm, Seq: seq, Entries: entries})
}

// guardsOff switches single guards off, so that tests can show what each one
// is for. Nothing outside the tests sets it.
type guardsOff struct {
	base     bool // a publish counts whatever its base
	dedup    bool // overtaken records count
	gapCheck bool // a checkpoint counts whatever lies between
	renewal  bool // a claim is judged by the token alone
}
