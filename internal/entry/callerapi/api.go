// Package callerapi implements the HTTP interface for callers: it decodes and validates their
// requests, and encodes answers, token streams and refusals. docs/CALLERS.md describes the
// interface for callers.
//
// Admission and execution are up to a Backend. A request that this package refuses itself has
// reached no engine and no service.
package callerapi

import (
	"context"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

// Header names.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline-Ms"     // time left for the whole answer
	HeaderCaller    = "Caller"          // name of the calling program
	HeaderWorkspace = "Workspace"       // workspace on whose behalf it calls
	HeaderKey       = "Idempotency-Key" // of a non-idempotent operation
	HeaderIssued    = "Key-Issued-Ms"   // when the key was created, Unix ms
	HeaderResend    = "Resend"          // set when the key may have been sent before
	HeaderCode      = "Result-Code"
	HeaderRun       = "Run"
)

// Paths.
const (
	PathAddresses = "/v1/addresses"
	PathGenerate  = "/v1/generate"
	PathServices  = "/v1/services/"
	PathCommits   = "/v1/commits/"
)

// Addresses is the answer to GET /v1/addresses, the best address first.
type Addresses struct {
	TTLMS     int64     `json:"ttl_ms"`
	Addresses []Address `json:"addresses"`
}

// Address is the address of one VM that serves callers.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Caller identifies the sender of a request and the deadline of the answer.
type Caller struct {
	RequestID string
	Name      string
	Workspace string
	Deadline  time.Time
}

// Generate is a request for a streamed completion.
type Generate struct {
	Caller
	Model     string
	Version   string // empty: the version in force
	Adapter   string
	Prompt    []byte
	MaxTokens int
	Seed      uint64
	Class     string
}

// Call is a request for one operation of a plain service.
type Call struct {
	Caller
	Service   string
	Operation string
	Key       string // empty for idempotent operations
	Issued    time.Time
	Resend    bool
	Body      []byte
}

// Reply is the answer of a plain service.
type Reply struct {
	Code code.Code // OK, or CommitReplayed
	Body []byte
}

// Sink receives the tokens of one completion, each once and in order. An error means that the
// caller has disconnected or has read nothing for too long.
type Sink interface {
	Token(t driver.Token) error
	// Flush sends the tokens that Token has buffered.
	Flush() error
}

// Backend serves decoded requests. Its errors are *code.Error.
type Backend interface {
	// Ready returns nil if requests are accepted, or the reason why not.
	Ready() *code.Error
	// Addresses ranks the addresses for a caller in zone, which may be empty.
	Addresses(zone string) Addresses
	// Generate returns nil after the last token was written to the sink.
	Generate(ctx context.Context, g *Generate, out Sink) error
	Call(ctx context.Context, c *Call) (Reply, error)
	CommitStatus(key string) (Reply, error)
	// NeedsKey reports whether the operation is non-idempotent.
	NeedsKey(service, operation string) (bool, error)
	Limits() Limits
}

// Limits are the bounds of one request, set in the sheet.
type Limits struct {
	MaxBodyBytes int
	MaxTokens    int
}
