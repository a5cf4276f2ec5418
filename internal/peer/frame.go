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

// readMessage reads one message. It checks the length before it allocates memory for the body.
func readMessage(r io.Reader, m proto.Message) error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes; allowed: %d", size, MaxMessageBytes)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}
