package swim

// Kind tells what a Message asks or answers.
type Kind uint8

// The kinds of messages.
const (
	UpdatesOnly       Kind = iota // nothing is asked
	Ping                   // asks for an Ack
	Ack                    // answers a Ping or a PingOther
	PingReq              // asks to ping Target
	TableRequest               // asks for all records, unless the Digest is the same
	TableChunk             // some of them
)

// Message is what one VM sends another.
type Message struct {
	From    Record
	Kind    Kind
	Seq     uint32 // of a question, repeated by its answer
	Target  string // of PingOther: the address for datagrams
	Digest  uint64 // of AskTable: of the records that the sender has; of TableChunk: the same one, if the sender has the same
	Updates []Record
}

// Outgoing is a message on its way.
type Outgoing struct {
	To string // address for datagrams
	Message
}
