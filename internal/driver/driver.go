// Package driver defines the interfaces to external systems: engines, plain services, the log
// service, the VM list and the weight store.
//
// Each protocol to one of them is implemented by a package of its own that registers a driver by
// name; settings and the sheet select the driver by that name.
//
// Errors report how far a request got, because retries and the guarantee behind the answer "not
// run" depend only on that: see ErrNotSent, ErrRefused and ErrConnectionLost.
package driver

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNotSent means that no byte of the request reached the endpoint, for
	// example because the connection was refused. The work can't have run.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that the endpoint answered that it did not run the work.
	ErrRefused = errors.New("refused by endpoint")
	// ErrConnectionLost means that the connection broke or timed out after bytes had been sent:
	// the work may or may not have run.
	ErrConnectionLost = errors.New("connection cut after sending")
	// ErrFailed means that the endpoint ran the work and answered with an error.
	ErrFailed = errors.New("endpoint failed")
	// ErrStaleFence means that the engine refused an old fencing token.
	ErrStaleFence = errors.New("stale fencing token")
	// ErrBadAnswer means that the answer belongs to another attempt or failed validation.
	ErrBadAnswer = errors.New("answer fails its check")
	// ErrExpired means that the requested log offset is past its retention.
	ErrExpired = errors.New("offset expired")
)

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	Time   time.Time // set by the log service, never decreases within a stream
	Data   []byte
}

// Page is the answer to one read of a log stream.
type Page struct {
	Records []Record
	First   uint64 // oldest offset still retained
	End     uint64 // offset that the next append would get
}

// Log is a client of the log service, which keeps append-only streams of records. A stream starts at offset 1.
//
// The service must not lose what it has acknowledged before its retention ends: it has no eras, and a reader
// can't tell new records at offsets that were given out before. A reader that finds the end of a stream below
// what it has read applies nothing and reports code.LogStaleRead.
type Log interface {
	// Append adds one record. ErrNotSent and ErrRefused mean that it is not in the log and never
	// will be; after any other error it may be there already or may still appear later.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns up to limit records starting at offset from. It waits up to wait for the first
	// one. It fails with ErrExpired if from < Page.First; First and End of the returned Page are
	// set in that case too.
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

// VMList is the platform's list of live and leaving VMs. It lags behind the actual state.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// WeightStore reports the size of models and the bandwidth for loading them. Engines fetch the
// weights themselves; the system only paces the load orders.
type WeightStore interface {
	// Size returns the size of one model version or adapter in bytes.
	Size(ctx context.Context, model, version string) (bytes int64, err error)
	// Rate returns the store's total bandwidth in bytes per second.
	Rate(ctx context.Context) (bytesPerSecond int64, err error)
}

// Role is the part of a request's processing that an engine does: prefill, decode or both.
type Role string

// The roles that an engine can be ordered into.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Loaded identifies a model version, or an adapter version on top of a model, that an engine has
// in memory.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"` // of the adapter if there is one, else of the model
	Adapter string `json:"adapter,omitempty"`
}

// EngineState is an engine's own current state; unlike a LoadReport it doesn't lag.
type EngineState struct {
	Incarnation string   `json:"incarnation"` // changes when the engine restarts
	Role        Role     `json:"role"`
	Changing    bool     `json:"changing"` // the engine is executing an order
	Loaded      []Loaded `json:"loaded"`
	Running     int      `json:"running"` // requests in the batch
	Queued      int      `json:"queued"`
	Fence       uint64   `json:"fence"`      // highest fencing token received; 0 if the engine ignores them
	LastOrder   string   `json:"last_order"` // id of the last accepted order
}

// LoadReport describes an engine's load some time ago (see Age).
type LoadReport struct {
	Age             time.Duration // age of the values according to the engine
	Running         int
	Queued          int
	QueuedTokens    int     // prompt tokens waiting for prefill
	PrefillRate     float64 // tokens per second, measured by the engine
	DecodeStep      time.Duration
	FreeCacheBlocks int // free blocks of the prefix cache
	PrefillRequests int
}

// CacheEvent reports that a block entered or left an engine's prefix cache. Events arrive with a
// delay. Seq has no gaps within an incarnation, so that the receiver detects lost events.
type CacheEvent struct {
	Seq         uint64
	Incarnation string
	Piece       uint64 // hash of the whole prefix up to the end of the block
	Evicted     bool
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// Order is one command to an engine.
type Order struct {
	ID    string    `json:"id"`
	Fence uint64    `json:"fence"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Load  Loaded    `json:"load"`
}

// Permit reports whether the sender may still send an order. A driver calls it immediately before
// it sends the bytes that complete the order; after an error it doesn't send them, so that the
// engine never receives the whole order. At engines that ignore fencing tokens this is what stops
// the orders of a process that has lost its lease.
type Permit func() error

// GenerateRequest is one attempt at a streamed completion.
type GenerateRequest struct {
	Attempt       string // id of this attempt, repeated in the engine's answer
	Model         string
	Version       string
	Adapter       string
	Prompt        []byte
	MaxTokens     int
	Seed          uint64
	FirstPosition int // first token position to send; above 0 if the request is resumed
	PriorOutput   []byte
	Priority      int
	KV            *KVHandle // imported by the engine before decoding, if set
}

// KVHandle identifies an exported KV cache at the engine that holds it.
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

// TokenStream yields the tokens of one attempt. Next returns io.EOF only after the engine has
// marked the completion as finished; if the stream ends earlier, it returns ErrConnectionLost.
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
	// Export makes the KV cache of a running attempt available to other engines, so that one of
	// them can resume the attempt. The attempt ends at the exporting engine.
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
