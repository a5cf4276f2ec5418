// Package callerapi is the HTTP interface towards callers: it decodes and
// checks their requests, and encodes answers, streams and refusals.
// docs/CALLERS.md describes it for callers.
//
// It decides nothing: a Backend does. Whatever it refuses itself has reached no
// engine and no service.
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
	HeaderCaller    = "Caller"          // who asks
	HeaderWorkspace = "Workspace"       // on whose behalf
	HeaderKey       = "Idempotency-Key" // of a non-idempotent operation
	HeaderIssued    = "Key-Issued-Ms"   // when the key was made, Unix ms
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

// Address is one place where callers are served.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Caller says who sent a request and until when an answer is of use.
type Caller struct {
	RequestID string
	Name      string
	Workspace string
	Deadline  time.Time
}

// Generate asks for a streamed completion.
type Generate struct {
	Caller
	Model     string
	Version   string // empty: the one in force
	Adapter   string
	Prompt    []byte
	MaxTokens int
	Seed      uint64
	Class     string
}

// Call asks for one operation of a plain service.
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

// Sink takes the tokens of one completion, in order and each once. An error
// means that the caller is gone or has read nothing for too long.
type Sink interface {
	Token(t driver.Token) error
	// Flush sends what Token has gathered.
	Flush() error
}

// Backend serves decoded requests. Its errors are *code.Error.
type Backend interface {
	// Ready is nil if requests are taken, or says why not.
	Ready() *code.Error
	// Addresses ranks the addresses for a caller in zone, which may be empty.
	Addresses(zone string) Addresses
	// Generate returns after the last token went to the sink, or with what
	// went wrong.
	Generate(ctx context.Context, g *Generate, out Sink) error
	Call(ctx context.Context, c *Call) (Reply, error)
	CommitStatus(key string) (Reply, error)
	// NeedsKey tells whether the operation is non-idempotent.
	NeedsKey(service, operation string) (bool, error)
	Limits() Limits
}

// Limits bounds one request. The sheet sets them.
type Limits struct {
	MaxBodyBytes   int
	MaxTokens int
}
