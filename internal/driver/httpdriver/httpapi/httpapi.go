// Package httpapi defines the messages of the HTTP/JSON protocol that the "http" drivers speak to
// engines, plain services, the log service, the VM list and the weight store. docs/STANDINS.md
// describes the paths.
package httpapi

import (
	"time"

	"fescuestand/internal/driver"
)

// Header names.
const (
	HeaderAttempt = "Attempt"         // id of the attempt, repeated in the answer
	HeaderKey     = "Idempotency-Key" // idempotency key of a non-idempotent call
	HeaderClient  = "Client"          // name of the VM that sends the request
)

// Paths of an engine.
const (
	PathState       = "/state"
	PathReport      = "/report" // also of plain services
	PathCacheEvents = "/cache-events"
	PathGenerate    = "/generate"
	PathPrefill     = "/prefill"
	PathExport      = "/export"
	PathKV          = "/kv/"
	PathOrder       = "/order"
)

// Paths of the other external systems.
const (
	PathCall    = "/call/"    // of a plain service; followed by the operation
	PathStreams = "/streams/" // of the log service; followed by the stream
	PathVMs     = "/vms"
	PathSize    = "/size"
	PathRate    = "/rate"
	PathFetch   = "/fetch"
)

// Names of failures for which drivers return errors of their own.
const (
	StaleFence = "stale-fence"
	Expired    = "expired"
)

// Failure is the body of every answer whose status is not 2xx.
type Failure struct {
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
	// Ran reports whether the work was executed before it failed.
	Ran bool `json:"ran"`
	// First and End are set by the log service if the requested offset has expired.
	First uint64 `json:"first,omitempty"`
	End   uint64 `json:"end,omitempty"`
}

// Generate is the body of a generate or prefill request.
type Generate struct {
	Attempt       string           `json:"attempt"`
	Model         string           `json:"model"`
	Version       string           `json:"version"`
	Adapter       string           `json:"adapter,omitempty"`
	Prompt        []byte           `json:"prompt"`
	MaxTokens     int              `json:"max_tokens"`
	Seed          uint64           `json:"seed"`
	FirstPosition int              `json:"from,omitempty"`
	PriorOutput   []byte           `json:"prior,omitempty"`
	Priority      int              `json:"priority,omitempty"`
	KV            *driver.KVHandle `json:"kv,omitempty"`
}

// StreamLine is one line of the answer to a generate request. The last line of a complete answer
// has End set; its Tokens and Sum are the count and checksum of the tokens sent in this attempt.
type StreamLine struct {
	Attempt string `json:"attempt"`
	Pos     int    `json:"pos"`
	Text    []byte `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Sum     uint64 `json:"sum,omitempty"`
}

// Export is the body of a request to export the KV cache of a running attempt.
type Export struct {
	Attempt string `json:"attempt"`
}

// Report is a load report of an engine or a plain service.
type Report struct {
	AgeMS           int64   `json:"age_ms"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	QueuedTokens    int     `json:"queued_tokens"`
	PrefillRate     float64 `json:"prefill_rate"`
	DecodeStepUS    int64   `json:"decode_step_us"`
	FreeCacheBlocks int     `json:"cache_free"`
	PrefillRequests int     `json:"prefill_requests"`
}

// LoadReport converts r to a driver.LoadReport.
func (r *Report) LoadReport() driver.LoadReport {
	return driver.LoadReport{
		Age:             time.Duration(r.AgeMS) * time.Millisecond,
		Running:         r.Running,
		Queued:          r.Queued,
		QueuedTokens:    r.QueuedTokens,
		PrefillRate:     r.PrefillRate,
		DecodeStep:      time.Duration(r.DecodeStepUS) * time.Microsecond,
		FreeCacheBlocks: r.FreeCacheBlocks,
		PrefillRequests: r.PrefillRequests,
	}
}

// CacheEvents is the answer to a read of cache events.
type CacheEvents struct {
	Events []driver.CacheEvent `json:"events"`
}

// Appended is the log service's answer to an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// LogRecord is one record of a Page.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	TimeNS int64  `json:"time_ns"`
	Data   []byte `json:"data"`
}

// Page is the log service's answer to a read.
type Page struct {
	Records []LogRecord `json:"records"`
	First   uint64      `json:"first"`
	End     uint64      `json:"end"`
}

// VM is one entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Caller  string `json:"caller"`
	Peer    string `json:"peer"`
	Status  string `json:"status"`
	Leaving bool   `json:"leaving"`
}

// VMs is the VM list.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Size is the weight store's answer for one model version.
type Size struct {
	Bytes int64 `json:"bytes"`
}

// Rate is the weight store's total bandwidth.
type Rate struct {
	BytesPerSecond int64 `json:"bytes_per_second"`
}
