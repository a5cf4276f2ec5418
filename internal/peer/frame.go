package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message in bytes. The largest is a sheet: 4,300
// engines at about 200 bytes each stay under 1 MiB; 4 MiB leaves room for
// forwarded bodies and still bounds what a broken peer can make us hold.
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

// readMessage reads one message. The length is checked before any memory is
// taken for it.
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
