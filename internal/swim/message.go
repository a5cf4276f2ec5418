package swim

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages.
const (
	UpdatesOnly  Kind = iota // carries updates only
	Ping                     // requests an Ack
	Ack                      // answers a Ping or a PingReq
	PingReq                  // requests a ping of Target
	TableRequest             // requests all records, unless the Digests are equal
	TableChunk               // carries part of the records
)

// Message is a datagram between two VMs.
type Message struct {
	From    Record
	Kind    Kind
	Seq     uint32 // sequence number of a request, repeated in its answer
	Target  string // of PingReq: the datagram address to ping
	Digest  uint64 // of TableRequest: of the sender's records; of TableChunk: the same value, if the sender's records are equal
	Updates []Record
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To string // datagram address
	Message
}
