// Package driver defines what the system expects of the outside: engines,
// plain services, the log service, the VM list and the weight store. Each
// protocol to one of them is one package that registers itself by name with
// the kernel; settings and the sheet choose by that name.
//
// Errors carry how far the work got, since retries and the "not run" promise
// depend on nothing else: see ErrNotSent, ErrRefused and ErrCut.
package driver

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNotSent means that no byte of the request reached the endpoint, for
	// example a refused connection. The work can't have run.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that the endpoint answered that it did not run the work.
	ErrRefused = errors.New("refused by endpoint")
	// ErrConnectionLost means that the connection broke, or timed out, after bytes had
	// left: the work may or may not have run.
	ErrConnectionLost = errors.New("connection cut after sending")
	// ErrFailed means that the endpoint ran the work and answered an error.
	ErrFailed = errors.New("endpoint failed")
	// ErrStaleFence means that the engine refused an old fencing token.
	ErrStaleFence = errors.New("stale fencing token")
	// ErrBadAnswer means that the answer belongs to another attempt or fails
	// its check.
	ErrBadAnswer = errors.New("answer fails its check")
	// ErrExpired means that the wanted log offset is past its retention.
	ErrExpired = errors.New("offset expired")
)

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	Time   time.Time // set by the log service, monotone within a stream
	Data   []byte
}

// Page is the answer to one read of a log stream.
type Page struct {
	Records []Record
	First   uint64 // oldest offset still kept
	End     uint64 // offset that the next append would get
}

// Log is an append-only service with offsets. A stream starts at offset 1.
type Log interface {
	// Append adds one record. ErrNotSent and ErrRefused mean it is not in the
	// log and never will be; any other error means that it may be there, or
	// may still appear later.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns up to limit records from offset from on. It waits up to wait
	// for the first one. It fails with ErrExpired when from < Page.First; the
	// returned Page then still carries First and End.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name    string
	Zone    string
	Caller  string // address for callers, host:port
	Peer    string // address for the system's own processes, host:port
	Status  string // address of the status endpoint, host:port
	Leaving bool
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// WeightStore tells what loading a model costs. The engines fetch for
// themselves; the system only paces the orders that make them do so.
type WeightStore interface {
	// Size returns the bytes of one model version or adapter.
	Size(ctx context.Context, model, version string) (bytes int64, err error)
	// Rate returns the store's total bytes a second.
	Rate(ctx context.Context) (bytesPerSecond int64, err error)
}

// Role is what an engine does of a request.
type Role string

// The roles that an engine can be ordered into.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Loaded names a model version, or an adapter version on top of a model, in an
// engine's memory.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"` // of the adapter if there is one, else of the model
	Adapter string `json:"adapter,omitempty"`
}

// EngineState is what an engine says of itself right now, without lag.
type EngineState struct {
	Incarnation string   `json:"incarnation"` // changes when the engine restarts
	Role        Role     `json:"role"`
	Changing    bool     `json:"changing"` // an order is being carried out
	Loaded      []Loaded `json:"loaded"`
	Running     int      `json:"running"` // requests in the batch
	Queued      int      `json:"queued"`
	Fence       uint64   `json:"fence"`      // highest token seen; 0 if it ignores them
	LastOrder   string   `json:"last_order"` // id of the last order accepted
}

// LoadReport is an engine's lagged load figure.
type LoadReport struct {
	Age             time.Duration // how old the figures are, as the engine states it
	Running         int
	Queued          int
	QueuedTokens    int     // prompt tokens waiting for prefill
	PrefillRate     float64 // tokens a second, measured by the engine
	DecodeStep      time.Duration
	FreeCacheBlocks int // free prefix cache pieces
	PrefillRequests int
}

// CacheEvent tells that a prefix piece entered or left an engine's cache.
// Events come late; Seq is dense per incarnation, so that a gap shows.
type CacheEvent struct {
	Seq         uint64
	Incarnation string
	Piece       uint64 // hash of the whole prefix up to the end of the piece
	Evicted     bool
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The orders an engine takes.
const (
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order is one instruction to an engine.
type Order struct {
	ID    string    `json:"id"`
	Fence uint64    `json:"fence"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Load  Loaded    `json:"load"`
}

// Permit is asked by a driver immediately before the bytes that complete an
// order leave. An error stops the order, which the engine then never sees
// whole. This is what bounds an old holder's orders at engines that ignore
// fencing tokens.
type Permit func() error

// GenerateRequest is one attempt at a streamed completion.
type GenerateRequest struct {
	Attempt       string // id of this attempt, echoed by the engine
	Model         string
	Version       string
	Adapter       string
	Prompt        []byte
	MaxTokens     int
	Seed          uint64
	FirstPosition int // first token position to send; >0 resumes
	PriorOutput   []byte
	Priority      int
	KV            *KVHandle // imported before decoding, if set
}

// KVHandle names an exported KV cache at the engine that holds it.
type KVHandle struct {
	Endpoint string `json:"endpoint"` // address of the exporting engine
	ID       string `json:"id"`
	Tokens   int    `json:"tokens"`
	Bytes    int64  `json:"bytes"`
}

// Token is one generated token.
type Token struct {
	Attempt string
	Pos     int
	Text    []byte
}

// TokenStream yields the tokens of one attempt. Next returns io.EOF only after
// the engine said that the completion is whole; ErrCut otherwise.
type TokenStream interface {
	Next() (Token, error)
	// Close cancels the attempt at the engine if it still runs.
	Close() error
}

// Engine is a connection to one model engine.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Report(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Prefill(ctx context.Context, req *GenerateRequest) (KVHandle, error)
	Generate(ctx context.Context, req *GenerateRequest) (TokenStream, error)
	// Export makes a running attempt's KV cache fetchable, so that another
	// engine can resume it. The attempt ends at the exporting engine.
	Export(ctx context.Context, attempt string) (KVHandle, error)
	Order(ctx context.Context, o Order, permit Permit) error
	Close() error
}

// Call is one call of a plain service.
type Call struct {
	Attempt   string
	Operation string
	Key       string // idempotency key, empty for idempotent operations
	Body      []byte
}

// Service is a connection to one endpoint of a plain service.
type Service interface {
	Call(ctx context.Context, c *Call) (body []byte, err error)
	Report(ctx context.Context) (LoadReport, error)
	Close() error
}
