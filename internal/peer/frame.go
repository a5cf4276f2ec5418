package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds the size of one message. The largest of the system's own messages is a
// sheet: 4,300 engines at about 200 bytes each stay under 1 MiB. 4 MiB leaves room for forwarded
// bodies and still bounds the memory that a faulty peer can make this process allocate.
const MaxMessageBytes = 4 << 20

const headerBytes = 4

// writeMessage writes one message preceded by its length.
func writeMessage(w io.Writer, m proto.Message) error {
	b := make([]byte, headerBytes, headerBytes+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	size := len(b) - headerBytes
	if size > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes; allowed: %d", size, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(size))
	_, err = w.Write(b)
	return err
}

// claim takes n bytes of memory for a part of a message, or returns an error.
type claim func(n int) error

// unclaimed is a claim that always succeeds, for messages of peers that this process has called.
func unclaimed(int) error { return nil }

// firstPartBytes is what is allocated of a message before any of it has arrived.
const firstPartBytes = 16 << 10

// readMessage reads one message. It allocates memory as the message arrives, twice as much each time.
func readMessage(r io.Reader, m proto.Message, take claim) error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes; allowed: %d", size, MaxMessageBytes)
	}
	var b []byte
	for len(b) < size {
		next := min(max(2*len(b), firstPartBytes), size)
		if err := take(next - len(b)); err != nil {
			return err
		}
		grown := make([]byte, next)
		if _, err := io.ReadFull(r, grown[copy(grown, b):]); err != nil {
			return err
		}
		b = grown
	}
	return proto.Unmarshal(b, m)
}
